package router

import "slices"

// recordLostRun records that a run was lost with the process of its target, or that this process
// does not answer. replaced is set if the process is known not to answer any more. That a draining
// target ends is no crash.
func (r *Router) recordLostRun(n *run, replaced bool) {
	t := n.target
	if n.process == 0 || t.Draining {
		return
	}
	c := Crash{Job: n.job.spec.ID, Task: n.task, Target: t.ID, StartedAt: n.process, Run: n.number}
	c.Confirmed, c.Replaced = t.hasEndedUnder(n), replaced || n.process < t.incarnation || n.process == t.endedProcess
	r.addCrash(c, n.job.origin, "", "state", n.state)
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
	switch {
	case c.Confirmed:
		action = "crash"
	case c.Replaced:
		action = "undecided"
	}
	r.logCrash(action, c, source, pairs...)
}

// acquit records that a crash was none, and tells the host of the job's client if that is known.
// source is the address of the host that has told it, or empty for this host.
func (r *Router) acquit(c Crash, source string) {
	if !r.crashes.acquit(c, r.now) {
		return
	}
	if j := r.jobs[c.Job]; j != nil {
		progress := r.progressFor(j.origin)
		progress.Acquittals = append(progress.Acquittals, c)
	}
	r.logCrash("acquit", c, source)
	r.placementNeeded = true
}

// logCrash logs a change of the ledger. Only holders do, so that a crash is not counted once for
// each host that hears of it.
func (r *Router) logCrash(action string, c Crash, source string, pairs ...any) {
	if !r.holdsAnyCell() {
		return
	}
	known := int64(0)
	if t := r.targets[c.Target]; t != nil {
		known = t.incarnation
	}
	if source != "" {
		pairs = append(pairs, "source", source)
	}
	r.emit(Decision{Action: action, Job: c.Job, Task: taskName(c.Job, c.Task), Target: c.Target, Pairs: append([]any{
		"run", c.Run, "born", c.StartedAt, "known", known, "crashes", len(r.crashes.crashesOf(c.Job, c.Task)),
	}, pairs...)})
}

// mergeCrashes adds crashes and acquittals that the host with an address has recorded.
func (r *Router) mergeCrashes(crashes, acquittals []Crash, source string) {
	for _, c := range acquittals {
		r.acquit(c, source)
	}
	for _, c := range crashes {
		c.Confirmed = c.Confirmed && c.Run > 0
		if t := r.targets[c.Target]; t != nil {
			if t.incarnation == c.StartedAt && t.fenced && t.missedRenewals == 0 {
				continue // the process answers here
			}
			c.Replaced = t.incarnation > c.StartedAt
		}
		r.addCrash(c, "", source)
		r.endJobOfCrashes(r.jobs[c.Job])
	}
}

// updateCrashes settles the crashes of a target's earlier processes once a later one is known, from
// the directory or from its list of runs. If the list of the process lacks a run that was lost with
// it, the process has outlived the run, and the crash was none. The list is nil for the directory.
func (r *Router) updateCrashes(target string, startedAt int64, list *RenewAnswered) {
	if r.crashes.unsettled[target] == 0 {
		return
	}
	isUnsettled := func(c Crash) bool { return c.Target == target && !c.isSettled() }
	for _, key := range r.crashes.keysOf(func(e *crashEntry) bool { return slices.ContainsFunc(e.crashes, isUnsettled) }) {
		for _, c := range slices.Clone(r.crashes.crashesOf(key.job, key.task)) {
			switch {
			case !isUnsettled(c):
			case c.StartedAt < startedAt || list != nil && c.StartedAt != startedAt: // the clock may have been set back
				c.Replaced = true
				r.addCrash(c, "", "")
				r.endJobOfCrashes(r.jobs[c.Job])
			case c.StartedAt == startedAt && list != nil && !list.Partial && !list.hasRun(taskName(c.Job, c.Task), c.Run):
				r.acquit(c, "")
			}
		}
	}
}

// acquitProcess clears all crashes of a process that has listed its runs after it had counted as
// ended.
func (r *Router) acquitProcess(target string, startedAt int64) {
	isOfProcess := func(c Crash) bool { return c.Target == target && c.StartedAt == startedAt }
	for _, key := range r.crashes.keysOf(func(e *crashEntry) bool { return slices.ContainsFunc(e.crashes, isOfProcess) }) {
		for _, c := range slices.Clone(r.crashes.crashesOf(key.job, key.task)) {
			if isOfProcess(c) {
				r.acquit(c, "")
			}
		}
	}
}

// hasRun reports whether a list has a run of a task, or any if number is 0.
func (e *RenewAnswered) hasRun(task string, number int) bool {
	return slices.ContainsFunc(e.Running, func(run RunningTask) bool { return run.Task == task && (run.Run == number || number == 0) })
}

// endJobOfCrashes gives a job up if crashVerdict says so. Its successors are told of the crashes
// first, because the client may come again once this host is lost.
func (r *Router) endJobOfCrashes(j *job) {
	if j == nil || j.ended {
		return
	}
	if v, isOver := r.crashVerdict(j); isOver {
		r.sendHeartbeats()
		r.endJob(j, v)
	}
}

// crashVerdict returns the verdict on a job that is given up for the crashes under one of its tasks.
// The job has failed only if maxCrashes of them are confirmed. If the task may not start again for
// doubts that no answer can clear any more, the job cannot end in time until these are forgotten.
func (r *Router) crashVerdict(j *job) (v Verdict, isOver bool) {
	if r.crashes.jobEntries[j.spec.ID] == 0 {
		return Verdict{}, false
	}
	for i := range j.spec.Count {
		e := r.crashes.entries[taskKey{j.spec.ID, i}]
		if e == nil || i < len(j.tasks) && j.tasks[i].state == taskDone {
			continue
		}
		if countProcesses(e.crashes, func(c Crash) bool { return c.Confirmed }) >= maxCrashes {
			return Verdict{Outcome: Failed, Reason: Crashes}, true
		}
		if countProcesses(e.crashes, Crash.isSettled) >= maxLostRuns {
			v, isOver = Verdict{Outcome: Failed, Reason: Expired, RetryAfter: e.expiresAt().Sub(r.now)}, true
		}
	}
	return v, isOver
}

// isHeldForCrashes reports whether a task may not start, because too many of its runs were lost with
// their targets.
func (r *Router) isHeldForCrashes(j *job, task int) bool {
	return countProcesses(r.crashes.crashesOf(j.spec.ID, task), isAnyCrash) >= maxLostRuns
}
