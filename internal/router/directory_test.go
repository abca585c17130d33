package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// directoriesTo returns the directories and changes of the directory that are sent to a host.
func directoriesTo(address string, effects []Effect) []Message {
	var list []Message
	for _, e := range effectsOf[Send](effects) {
		if e.To == address && (e.Message.Directory != nil || e.Message.DirectoryChanges != nil) {
			list = append(list, e.Message)
		}
	}
	return list
}

// TestHolderWithoutStoreReceivesDirectory: a holder that cannot reach the store must learn from
// a host that can when the capacity of a target shrinks.
func TestHolderWithoutStoreReceivesDirectory(t *testing.T) {
	b := newOriginBed(t)
	b.step(Receive{From: b.peer.Address, Message: Message{Directory: &Directory{Version: 1, Targets: newTargets(3)}}})
	receiveHeartbeat := func(age time.Duration) []Message {
		heartbeat := &Heartbeat{Member: b.peer, Sent: b.now.UnixNano(), Echo: b.now.UnixNano(), Directory: 1, DirectoryAge: age}
		return directoriesTo(b.peer.Address, b.step(Receive{From: b.peer.Address, Message: Message{Heartbeat: heartbeat}}))
	}
	require.Empty(t, receiveHeartbeat(time.Second))
	shrunk := newTargets(3)
	shrunk[1].Capacity.CPU = 500
	read := b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 4, Targets: shrunk}})
	assert.Empty(t, directoriesTo(b.peer.Address, read), "the holder reads the directory itself")
	sent := receiveHeartbeat(3 * time.Second)
	require.Len(t, sent, 1)
	require.NotNil(t, sent[0].DirectoryChanges)
	assert.Equal(t, []Target{shrunk[1]}, sent[0].DirectoryChanges.Changed)
}

// TestNewerVersionOfSameDirectoryIsAdopted: a peer sends its directory until this host reports
// the version, which it must do even if its targets do not differ.
func TestNewerVersionOfSameDirectoryIsAdopted(t *testing.T) {
	b := newHolderBed(t, 3, ClaimWon)
	b.receiveHeartbeatFrom("10.0.0.9:1")
	b.step(Receive{From: "10.0.0.9:1", Message: Message{Directory: &Directory{Version: 4, Targets: newTargets(3)}}})
	assert.EqualValues(t, 4, b.router.newHeartbeat().Directory)
	b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 7, Targets: newTargets(3)}})
	assert.EqualValues(t, 4, b.router.newHeartbeat().Directory, "a read that finds no change is not sent to all hosts")
}
