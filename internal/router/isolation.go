package router

import "slices"

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
