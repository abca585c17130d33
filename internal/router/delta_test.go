package router

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestDirectoryChangesLeadToSameDirectory applies the changes between random versions, over one
// version and over two, and compares the results with the directories themselves.
func TestDirectoryChangesLeadToSameDirectory(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	newVersion := func(version uint64) Directory {
		d := Directory{Version: version}
		for i := range 30 {
			if random.IntN(3) > 0 {
				d.Targets = append(d.Targets, Target{ID: fmt.Sprintf("t%02d", i), Zone: "north", Draining: random.IntN(4) == 0})
			}
		}
		d.Total = len(d.Targets)
		return d
	}
	sorted := func(d Directory) Directory {
		slices.SortFunc(d.Targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
		return d
	}
	for range 200 {
		a, b, c := newVersion(3), newVersion(5), newVersion(9)
		log := directoryLog{}.add(a, b)
		first, known := log.since(a.Version, b)
		require.True(t, known)
		assert.Equal(t, b, sorted(a.apply(first)))
		log = log.add(b, c)
		both, known := log.since(a.Version, c)
		require.True(t, known)
		assert.Equal(t, c, sorted(a.apply(both)))
		second, known := log.since(b.Version, c)
		require.True(t, known)
		assert.Equal(t, c, sorted(b.apply(second)))
		_, known = log.since(4, c)
		assert.False(t, known)
	}
}

// TestPeerWithRecentDirectoryReceivesChanges: a holder sends a peer that has a recent version
// of the directory only the changes, and any other peer the whole directory. The peer ignores
// changes that do not start from its version.
func TestPeerWithRecentDirectoryReceivesChanges(t *testing.T) {
	b := newHolderBed(t, 6, ClaimWon)
	listed := newTargets(6)
	listed[2].Draining = true
	b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 4, Targets: listed[1:]}})
	sent := func(version uint64) Message {
		for _, e := range effectsOf[Send](b.receiveDirectoryHeartbeat("north", fmt.Sprint("10.0.0.", version), version, 6)) {
			if e.Message.Directory != nil || e.Message.DirectoryChanges != nil {
				return e.Message
			}
		}
		return Message{}
	}
	changes := sent(1).DirectoryChanges
	require.NotNil(t, changes)
	assert.Equal(t, []string{"p"}, changes.Removed)
	require.Len(t, changes.Changed, 1)
	assert.True(t, changes.Changed[0].Draining)
	require.NotNil(t, sent(2).Directory, "version 2 is not known here")

	peer := newOriginBed(t)
	receive := func(m Message) { peer.step(Receive{From: peer.peer.Address, Message: m}) }
	receive(Message{DirectoryChanges: changes})
	assert.Empty(t, peer.router.directory.Targets)
	receive(Message{Directory: &Directory{Version: 1, Targets: newTargets(6), Total: 6}})
	receive(Message{DirectoryChanges: changes})
	assert.EqualValues(t, 4, peer.router.directory.Version)
	assert.Len(t, peer.router.directory.Targets, 5)
	assert.Contains(t, peer.router.previousTargets, "p")
}

// TestPreviousTargetsAreSentWhereUnknown: an origin that offers a job again must tell the new
// holder the targets that it may not know, and no others.
func TestPreviousTargetsAreSentWhereUnknown(t *testing.T) {
	b := newOriginBed(t)
	b.step(Receive{From: b.peer.Address, Message: Message{Directory: &Directory{Version: 1, Targets: newTargets(6), Total: 6}}})
	p := b.router.peers[b.peer.Address]
	assert.Len(t, b.router.targetsUnknownTo(p, []string{"north"}), 6)
	p.directoryVersion = 1
	assert.Empty(t, b.router.targetsUnknownTo(p, []string{"north"}))
	b.step(Receive{From: b.peer.Address, Message: Message{PreviousTargets: []Target{{ID: "z", Zone: "north"}}}})
	assert.Len(t, b.router.targetsUnknownTo(p, []string{"north"}), 1)
}
