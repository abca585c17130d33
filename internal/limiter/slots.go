package limiter

import (
	"slices"
	"time"
)

// Slots are the calls that occupy a slot of a Limiter, in the order of their begin. A call frees its slot
// when it ends, when Expire is called for it, or once it is overtaken: when calls that began later
// have ended while it has not, its answer is missing rather than late. The limit, which is the same for
// all methods, is the number of slots.
type Slots []*Call

// Call is a call that occupies a slot or did so before.
type Call struct {
	beganAt   time.Time
	overtaken int // number of calls that began later and have ended
}

const (
	// overtakenAfter is the age from which an overtaken call frees its slot: the time of an answer
	// from another zone.
	overtakenAfter = 4 * time.Millisecond
	// overtakersPerLimit is the part of the limit that must have begun later and ended: one in this
	// number. Answers in another order seldom reach a quarter. With half of the calls unanswered,
	// these occupy about a quarter of the slots.
	overtakersPerLimit = 4
)

// HasFree reports whether a slot is free.
func (s *Slots) HasFree(limit int) bool { return len(*s) < limit }

// Begin lets a call occupy a slot.
func (s *Slots) Begin(now time.Time) *Call {
	c := &Call{beganAt: now}
	*s = append(*s, c)
	return c
}

// End frees the slot of a call that has ended, and the slots of the calls that are overtaken by then. A
// call that has freed its slot before changes nothing.
func (s *Slots) End(c *Call, now time.Time, limit int) {
	i := slices.Index(*s, c)
	if i < 0 {
		return
	}
	for _, earlier := range (*s)[:i] {
		earlier.overtaken++
	}
	*s = slices.Delete(*s, i, i+1)
	s.FreeOvertaken(now, limit)
}

// FreeOvertaken frees the slots of the calls that are overtaken.
func (s *Slots) FreeOvertaken(now time.Time, limit int) {
	*s = slices.DeleteFunc(*s, func(c *Call) bool {
		return c.overtaken >= max(limit/overtakersPerLimit, 1) && now.Sub(c.beganAt) >= overtakenAfter
	})
}

// Expire frees the slot of a call that has not ended in time.
func (s *Slots) Expire(c *Call) {
	*s = slices.DeleteFunc(*s, func(other *Call) bool { return other == c })
}
