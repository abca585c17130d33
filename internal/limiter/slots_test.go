package limiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestUnansweredCallsLeaveSlotsToOthers guards against calls that wait while unanswered ones occupy all
// slots: half of the calls unanswered once stopped a host's orders to all targets.
func TestUnansweredCallsLeaveSlotsToOthers(t *testing.T) {
	const limit, answerTime = 24, time.Millisecond
	s, now := Slots{}, time.Unix(0, 0)
	begun, waited := 0, 0
	for range 1000 { // each millisecond, four calls are due, of which two are answered a millisecond later
		now = now.Add(answerTime)
		s.FreeOvertaken(now, limit)
		var answered []*Call
		for i := range 4 {
			if !s.HasFree(limit) {
				waited++
				continue
			}
			begun++
			if c := s.Begin(now); i%2 == 0 {
				answered = append(answered, c)
			}
		}
		for _, c := range answered {
			s.End(c, now.Add(answerTime), limit)
		}
	}
	assert.Equal(t, 4000, begun)
	assert.Zero(t, waited)
}

// TestSlowAnswersKeepTheirSlots guards against a limit that does not hold at a host that lacks processor
// time: calls whose answers arrive in order free their slots only when they end.
func TestSlowAnswersKeepTheirSlots(t *testing.T) {
	const limit = 24
	s, now := Slots{}, time.Unix(0, 0)
	var calls []*Call
	for range limit {
		calls = append(calls, s.Begin(now))
	}
	for i, c := range calls {
		now = now.Add(10 * overtakenAfter)
		s.FreeOvertaken(now, limit)
		assert.Len(t, s, limit-i)
		s.End(c, now, limit)
		s.End(c, now, limit) // once only
		assert.Len(t, s, limit-i-1)
	}
}
