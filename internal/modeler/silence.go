package modeler

import "time"

// silence describes the connections of a host to targets and the store that deliver nothing.
type silence struct {
	since time.Time // when the connections went silent; calls under way then are not answered
	// targets are the numbers of silent connections by target, and store that to the store. Each
	// call takes one, and closes it when the call has timed out.
	targets map[string]int
	store   int
	// answersOnly is true if calls arrive over the silent connections, and only their answers are
	// lost.
	answersOnly bool
}

// maxSilentConnections is the largest number of connections of a host to one target, or to the
// store, that go silent at once.
const maxSilentConnections = 3

// muteAll makes the open connections of all hosts lose all messages until they are replaced.
func (sm *Simulation) muteAll(f Fault) {
	for _, h := range sm.hosts {
		if !h.up {
			continue
		}
		sm.muteLinks(f, h)
		h.silent = silence{
			since: sm.now, targets: make(map[string]int), store: sm.random.IntN(maxSilentConnections + 1), answersOnly: sm.random.IntN(2) == 0,
		}
		for _, id := range sm.targetIDs {
			h.silent.targets[id] = sm.random.IntN(maxSilentConnections + 1)
		}
	}
}

// takeSilentConnection reports whether a call to a target uses a silent connection.
func (h *host) takeSilentConnection(target string) bool {
	if h.silent.targets[target] == 0 {
		return false
	}
	h.silent.targets[target]--
	return true
}

// isMuted reports whether a call that was sent at a moment of simulated time is not answered,
// because its connection has gone silent since.
func (h *host) isMuted(sentAt time.Time) bool { return h.silent.since.After(sentAt) }
