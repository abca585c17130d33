package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// previousTargetsSent returns the IDs of the previous targets that effects tell a host.
func previousTargetsSent(effects []Effect, to string) []string {
	var ids []string
	for _, e := range effectsOf[Send](effects) {
		for _, t := range e.Message.PreviousTargets {
			if e.To == to {
				ids = append(ids, t.ID)
			}
		}
	}
	return ids
}

// newUnlistedBed returns a holder whose only target runs a task of a peer's job and leaves the directory.
func newUnlistedBed(t *testing.T) (b *holderBed, task RunningTask) {
	t.Helper()
	b = newHolderBed(t, 1, ClaimWon)
	b.peer = Member{Name: "b", Zone: "north", Address: "10.0.0.2:1", Incarnation: 1, Slot: 1}
	b.receiveHeartbeat(0)
	j := twoTaskJob("j")
	j.Count = 1
	offer := &Offer{Job: j, TimeLeft: 20 * time.Second, SubmissionID: b.now.UnixNano(), Token: b.router.cells["north"].claim.Token}
	starts := effectsOf[Start](b.step(Receive{From: b.peer.Address, Message: Message{Offer: offer}}))
	require.Len(t, starts, 1)
	task = RunningTask{Task: starts[0].Task, Run: starts[0].Run}
	b.answerRenewals(b.step(StartAnswered{Target: "p", Task: task.Task, Run: task.Run, Result: Running}), task)
	b.answerRenewals(b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 2}}), task)
	return b, task
}

// answerRenewals answers all renewals among effects and those that follow.
func (b *holderBed) answerRenewals(effects []Effect, running ...RunningTask) {
	for _, e := range effectsOf[Renew](effects) {
		b.now = b.now.Add(time.Millisecond)
		b.answerRenewal(e, running...)
	}
}

// TestUnlistedTargetIsReportedWhileItHasRuns guards against a second run of a task whose target left the
// directory so long ago that only the holder knows of it when the holder is replaced.
func TestUnlistedTargetIsReportedWhileItHasRuns(t *testing.T) {
	b, task := newUnlistedBed(t)
	reportedAt := b.now
	for end := b.now.Add(2 * previousTargetRetention); b.now.Before(end); {
		effects := b.originBed.advance(b.router.Bounds.TickInterval, 0)
		b.answerRenewals(effects, task)
		if len(previousTargetsSent(effects, b.peer.Address)) > 0 {
			reportedAt = b.now
		}
		require.LessOrEqual(t, b.now.Sub(reportedAt), previousTargetRetention-2*b.router.Bounds.LeaseDuration, "time since the last report")
	}
	assert.NotEmpty(t, b.router.targets["p"].runs)
	assert.Contains(t, b.router.previousTargets, "p", "this host may offer the job to the next holder")
}

// TestHolderReportsReleasedTargets guards against a second run of a task whose target left the directory
// while a host that never had the target in its own directory became the holder.
func TestHolderReportsReleasedTargets(t *testing.T) {
	b, _ := newUnlistedBed(t)
	assert.Contains(t, previousTargetsSent(b.receiveHeartbeat(1000), b.peer.Address), "p")
}

// TestChangesDoNotLeadFromListOfOneZone guards against a target that stays in the directories of a zone's
// hosts after its entry has gone: when one holder takes all cells, a host of another zone, which never had
// the target, must send them the whole directory instead of its changes.
func TestChangesDoNotLeadFromListOfOneZone(t *testing.T) {
	b := newHolderBed(t, 2, ClaimWon)
	b.router.Bounds.MaxSharedTargets = 7
	targets := newTargets(8)
	for i := 4; i < 8; i++ {
		targets[i].Zone = "south"
	}
	b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 2, Targets: targets}})
	require.Len(t, b.router.directory.Targets, 4, "each zone has a holder")
	b.step(DirectoryRead{RequestedAt: b.now, Directory: Directory{Version: 3, Targets: targets[:7]}})
	require.Len(t, b.router.directory.Targets, 7, "one holder has all cells")
	assert.NotNil(t, b.router.directoryMessage(2).Directory)
}
