package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// answerAll answers the claims and renewals among effects, and those that follow, for one tick after
// another. The targets for which rejects returns true obey a higher token than any host's.
func (b *holderBed) answerAll(d time.Duration, rejects func(id string) bool) (starts []Start) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(b.router.Bounds.TickInterval)
		effects := b.step(Tick{})
		for len(effects) > 0 {
			e := effects[0]
			effects = effects[1:]
			switch e := e.(type) {
			case WriteClaims:
				effects = append(effects, b.step(ClaimsWritten{Token: e.Token, Result: ClaimWon, Rows: e.Rows})...)
			case Renew:
				answer := RenewAnswered{Target: e.Target.ID, Token: e.Token, SentAt: b.now, Poll: e.Poll, Result: Running, Clock: Reading{Millis: b.now.UnixMilli() - testEpoch*1000, At: b.now}}
				if rejects(e.Target.ID) {
					answer.Result, answer.Clock = Fenced, Reading{}
				}
				effects = append(effects, b.step(answer)...)
			case Start:
				starts = append(starts, e)
			}
		}
	}
	return starts
}

// TestTargetThatObeysAnOddTokenDoesNotTakeTheCell guards against a cell that is given up again and again,
// since one of its targets obeys a token that no host reaches.
func TestTargetThatObeysAnOddTokenDoesNotTakeTheCell(t *testing.T) {
	for _, odd := range []string{"p", "q", "r"} {
		b := newHolderBed(t, 3, ClaimWon)
		b.answerAll(5*time.Second, func(id string) bool { return id == odd })
		held := 0
		for range 100 {
			b.answerAll(b.router.Bounds.TickInterval, func(id string) bool { return id == odd })
			held += boolToInt(b.router.cells["north"].heldHere)
		}
		assert.Equal(t, 100, held, "target %s", odd)
		effects := b.step(Submit{Request: 1, Job: twoTaskJob("j"), Budget: 5 * time.Second})
		starts := effectsOf[Start](effects)
		require.Len(t, starts, 2, "target %s", odd)
		for _, start := range starts {
			assert.NotEqual(t, odd, start.Target.ID)
		}
	}
}

// TestHolderThatTargetsObeyNoMoreGivesUp: where all targets obey another token, or a second one does, the cell is
// given up each time.
func TestHolderThatTargetsObeyNoMoreGivesUp(t *testing.T) {
	b := newHolderBed(t, 3, ClaimWon)
	b.answerAll(5*time.Second, func(id string) bool { return id == "p" })
	b.answerAll(b.router.Bounds.IdleRenewInterval+b.router.Bounds.TickInterval, func(string) bool { return true })
	assert.False(t, b.router.cells["north"].heldHere)
	b.answerAll(5*time.Second, func(string) bool { return true })
	held := 0
	for range 100 {
		b.answerAll(b.router.Bounds.TickInterval, func(string) bool { return true })
		held += boolToInt(b.router.cells["north"].heldHere)
	}
	assert.Less(t, held, 50)
	b.answerAll(10*time.Second, func(string) bool { return false })
	assert.True(t, b.router.cells["north"].heldHere)
	assert.Len(t, effectsOf[Start](b.step(Submit{Request: 1, Job: twoTaskJob("j"), Budget: 5 * time.Second})), 2)
}

// TestTargetThatObeyedSinceItsLastRejectionTakesTheCell guards against a host that holds on to a cell which another
// one has claimed, since a target that was the first to obey that one was so before.
func TestTargetThatObeyedSinceItsLastRejectionTakesTheCell(t *testing.T) {
	b := newHolderBed(t, 3, ClaimWon)
	for round := range 3 {
		b.answerAll(5*time.Second, func(string) bool { return false })
		require.True(t, b.router.cells["north"].heldHere, "round %d", round)
		c, token := b.router.cells["north"], b.router.cells["north"].claim.Token
		b.step(RenewAnswered{Target: "p", Token: token, SentAt: b.now, Result: Fenced})
		assert.False(t, c.heldHere, "round %d", round)
	}
}
