package router

// process returns the process that sent the newest run list of a target.
func (t *target) process() Process {
	return Process{StartedAt: t.listedProcess, ConfirmedAt: t.lastConfirmedAt}
}
