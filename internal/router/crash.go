package router

import (
	"cmp"
	"slices"
	"time"
)

// Crash is the loss of a target's process while a task ran on it.
type Crash struct {
	Job  string `cbor:"1,keyasint"`
	Task int    `cbor:"2,keyasint"`
	// Target is the target's ID, and StartedAt the start time of the lost process in Unix
	// milliseconds.
	Target    string `cbor:"3,keyasint"`
	StartedAt int64  `cbor:"4,keyasint"`
	// Confirmed is true if the target is known to have started again since. Otherwise the
	// process has only fallen silent: it may be paused or cut off.
	Confirmed bool `cbor:"5,keyasint,omitempty"`
}

const (
	// maxCrashes is the number of crashes under a task at which its job is given up. The platform
	// allows that from two crashes on.
	maxCrashes = 2
	// crashRetention is how long the crashes under a task are kept after the last one. It covers
	// several submissions of a job, each with the longest usual timeout.
	crashRetention = time.Minute
	// maxCrashEntries bounds the tasks in the ledger: those that run at 100 targets, twice over.
	maxCrashEntries = 2000
	// crashPruneInterval is the interval at which expired entries are removed.
	crashPruneInterval = time.Second
	// crashExportPeriod is how long a changed entry is sent with a holder's learned state. It
	// covers three messages.
	crashExportPeriod = 3 * learnedStateInterval
	// maxSentCrashes bounds the crashes in one message, of about 50 bytes each.
	maxSentCrashes = 200
)

// taskKey identifies a task.
type taskKey struct {
	job  string
	task int
}

// crashLedger records the targets that crashed, or fell silent, while they ran a task. It
// outlives the jobs, so that a task that crashes its targets is not started again for another
// submission. The zero value is empty.
type crashLedger struct {
	entries map[taskKey]*crashEntry
	// unconfirmed counts the crashes that are not confirmed, by target, and jobEntries the entries
	// of each job.
	unconfirmed, jobEntries map[string]int
	prunedAt                time.Time
}

// crashEntry lists the crashes under one task, one for each process of a target.
type crashEntry struct {
	crashes   []Crash
	changedAt time.Time
}

// add adds a crash or confirms a known one. It reports whether the ledger has changed.
func (l *crashLedger) add(c Crash, now time.Time) bool {
	if l.entries == nil {
		l.entries, l.unconfirmed, l.jobEntries = make(map[taskKey]*crashEntry), make(map[string]int), make(map[string]int)
	}
	key := taskKey{c.Job, c.Task}
	e := l.entries[key]
	if e == nil {
		if len(l.entries) >= maxCrashEntries {
			l.removeOldest()
		}
		e = &crashEntry{}
		l.entries[key] = e
		l.jobEntries[c.Job]++
	}
	i := slices.IndexFunc(e.crashes, func(known Crash) bool { return known.Target == c.Target && known.StartedAt == c.StartedAt })
	switch {
	case i < 0:
		e.crashes = append(e.crashes, c)
		if !c.Confirmed {
			l.unconfirmed[c.Target]++
		}
	case c.Confirmed && !e.crashes[i].Confirmed:
		e.crashes[i].Confirmed = true
		decrement(l.unconfirmed, c.Target)
	default:
		return false
	}
	e.changedAt = now
	return true
}

// decrement decrements a count and deletes it at zero.
func decrement(counts map[string]int, key string) {
	counts[key]--
	if counts[key] == 0 {
		delete(counts, key)
	}
}

// remove removes the entry of a task.
func (l *crashLedger) remove(key taskKey) {
	e := l.entries[key]
	if e == nil {
		return
	}
	for _, c := range e.crashes {
		if !c.Confirmed {
			decrement(l.unconfirmed, c.Target)
		}
	}
	delete(l.entries, key)
	decrement(l.jobEntries, key.job)
}

// clear removes a crash that was none.
func (l *crashLedger) clear(c Crash, now time.Time) {
	key := taskKey{c.Job, c.Task}
	e := l.entries[key]
	e.crashes = slices.DeleteFunc(e.crashes, func(known Crash) bool { return known == c })
	e.changedAt = now
	decrement(l.unconfirmed, c.Target)
	if len(e.crashes) == 0 {
		l.remove(key)
	}
}

func (l *crashLedger) removeOldest() {
	var oldest taskKey
	for key, e := range l.entries {
		if o := l.entries[oldest]; o == nil || compareEntries(key, e, oldest, o) < 0 {
			oldest = key
		}
	}
	l.remove(oldest)
}

// compareEntries orders entries by the time of their last change.
func compareEntries(a taskKey, ea *crashEntry, b taskKey, eb *crashEntry) int {
	return cmp.Or(ea.changedAt.Compare(eb.changedAt), compareTaskKeys(a, b))
}

func compareTaskKeys(a, b taskKey) int {
	return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.task, b.task))
}

// prune removes the entries whose last change is longer ago than crashRetention.
func (l *crashLedger) prune(now time.Time) {
	if now.Sub(l.prunedAt) < crashPruneInterval {
		return
	}
	l.prunedAt = now
	for key, e := range l.entries {
		if now.Sub(e.changedAt) > crashRetention {
			l.remove(key)
		}
	}
}

// keysOf returns the keys of the entries that satisfy a condition, in order.
func (l *crashLedger) keysOf(isWanted func(*crashEntry) bool) []taskKey {
	var keys []taskKey
	for key, e := range l.entries {
		if isWanted(e) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareTaskKeys)
	return keys
}

// crashesOf returns the crashes under a task.
func (l *crashLedger) crashesOf(job string, task int) []Crash {
	if e := l.entries[taskKey{job, task}]; e != nil {
		return e.crashes
	}
	return nil
}

// crashesOfJob returns the crashes under the tasks of a job.
func (l *crashLedger) crashesOfJob(job string, count int) []Crash {
	var list []Crash
	if l.jobEntries[job] == 0 {
		return nil
	}
	for i := range count {
		list = append(list, l.crashesOf(job, i)...)
	}
	return list[:min(len(list), maxSentCrashes)]
}

// recentCrashes returns the crashes of the entries that have changed since a time.
func (l *crashLedger) recentCrashes(since time.Time) []Crash {
	var list []Crash
	for _, key := range l.keysOf(func(e *crashEntry) bool { return e.changedAt.After(since) }) {
		list = append(list, l.entries[key].crashes...)
	}
	return list[:min(len(list), maxSentCrashes)]
}

// recordLostRun records that a run was lost with the process of its target, or that this process
// does not answer. That a draining target ends is no crash.
func (r *Router) recordLostRun(n *run, replaced bool) {
	t := n.target
	if n.process == 0 || t.Draining {
		return
	}
	r.addCrash(Crash{Job: n.job.spec.ID, Task: n.task, Target: t.ID, StartedAt: n.process, Confirmed: replaced || n.process < t.incarnation}, n.job.origin, "", "run", n.number, "state", n.state)
}

// addCrash adds a crash to the ledger and reports it to the host of the job's client, unless
// origin is empty. source is the address of the host that has told of the crash, or empty for this
// host; pairs are logged.
func (r *Router) addCrash(c Crash, origin, source string, pairs ...any) {
	if !r.crashes.add(c, r.now) {
		return
	}
	if origin != "" {
		progress := r.progressFor(origin)
		progress.Crashes = append(progress.Crashes, c)
	}
	action := "suspect"
	if c.Confirmed {
		action = "crash"
	}
	if source != "" {
		pairs = append(pairs, "source", source)
	}
	r.logCrash(action, c, pairs...)
}

// logCrash logs a change of the ledger. Only holders do, so that a crash is not counted once for
// each host that hears of it.
func (r *Router) logCrash(action string, c Crash, pairs ...any) {
	if !r.holdsAnyCell() {
		return
	}
	known := int64(0)
	if t := r.targets[c.Target]; t != nil {
		known = t.incarnation
	}
	r.emit(Decision{Action: action, Job: c.Job, Task: taskName(c.Job, c.Task), Target: c.Target, Pairs: append([]any{
		"born", c.StartedAt, "known", known, "crashes", len(r.crashes.crashesOf(c.Job, c.Task)),
	}, pairs...)})
}

// mergeCrashes adds crashes that the host with an address has recorded.
func (r *Router) mergeCrashes(crashes []Crash, source string) {
	for _, c := range crashes {
		if t := r.targets[c.Target]; t != nil && !c.Confirmed {
			if t.incarnation == c.StartedAt && t.fenced && t.missedRenewals == 0 {
				continue // the process answers here
			}
			c.Confirmed = t.incarnation > c.StartedAt
		}
		r.addCrash(c, "", source)
		r.endJobOfCrashes(c.Job)
	}
}

// updateCrashes confirms the crashes of the earlier processes of a target once a later one is
// known, and clears those of the present process if it has answered.
func (r *Router) updateCrashes(target string, startedAt int64, answered bool) {
	if r.crashes.unconfirmed[target] == 0 {
		return
	}
	isUnconfirmed := func(c Crash) bool { return c.Target == target && !c.Confirmed }
	for _, key := range r.crashes.keysOf(func(e *crashEntry) bool { return slices.ContainsFunc(e.crashes, isUnconfirmed) }) {
		for _, c := range slices.Clone(r.crashes.crashesOf(key.job, key.task)) {
			switch {
			case !isUnconfirmed(c):
			case c.StartedAt < startedAt:
				r.confirmCrash(c)
			case c.StartedAt == startedAt && answered:
				r.crashes.clear(c, r.now)
				r.logCrash("acquit", c)
				r.placementNeeded = true
			}
		}
	}
}

// confirmCrash confirms a crash, and tells the host of the job's client if that is known.
func (r *Router) confirmCrash(c Crash) {
	c.Confirmed = true
	origin := ""
	if j := r.jobs[c.Job]; j != nil {
		origin = j.origin
	}
	r.addCrash(c, origin, "")
	r.endJobOfCrashes(c.Job)
}

// endJobOfCrashes gives a job up if targets have crashed under one of its tasks too often.
func (r *Router) endJobOfCrashes(id string) {
	if j := r.jobs[id]; j != nil && !j.ended && r.hasCrashingTask(j) {
		r.endJob(j, Verdict{Outcome: Failed, Reason: Crashes})
	}
}

// hasCrashingTask reports whether maxCrashes crashes under one task of a job are confirmed.
func (r *Router) hasCrashingTask(j *job) bool {
	if r.crashes.jobEntries[j.spec.ID] == 0 {
		return false
	}
	for i := range j.spec.Count {
		confirmed := 0
		for _, c := range r.crashes.crashesOf(j.spec.ID, i) {
			if c.Confirmed {
				confirmed++
			}
		}
		if confirmed >= maxCrashes && (i >= len(j.tasks) || j.tasks[i].state != taskDone) {
			return true
		}
	}
	return false
}

// isHeldForCrashes reports whether a task may not start before it is known whether the targets
// that fell silent under it have crashed.
func (r *Router) isHeldForCrashes(j *job, task int) bool {
	return len(r.crashes.crashesOf(j.spec.ID, task)) >= maxCrashes
}

// isolationPenalty is the penalty of a target where a task under which a target has crashed would
// run beside others, or where such a task has crashed before. It outweighs all other penalties.
const isolationPenalty = 8_000_000

// crashPenalty returns isolationPenalty if a task should rather not be placed at a target, so
// that a crash affects no other tasks and tells which one has caused it.
func (r *Router) crashPenalty(crashes []Crash, t *target) int {
	if !r.isEnabled(CrashIsolation) {
		return 0
	}
	if len(crashes) > 0 {
		if len(t.runs) > 0 || slices.ContainsFunc(crashes, func(c Crash) bool { return c.Target == t.ID }) {
			return isolationPenalty
		}
		return 0
	}
	if t.suspectCount > 0 {
		return isolationPenalty
	}
	return 0
}
