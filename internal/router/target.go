package router

import (
	"cmp"
	"slices"
	"time"
)

// target is one target of a cell that this host holds.
type target struct {
	Target
	token uint64 // this host's claim
	// fenced tells that the target has taken the token: no other host's order
	// with a lower one does anything there any more.
	fenced  bool
	fresh   time.Time // when the last good answer was asked for
	clock   Reading
	lapses  time.Time // when everything there has lapsed without further orders
	acked   int
	born    int64
	runs    map[string]*run // by task
	used    Resources
	orphan  map[string]int // number of each run listed there that nobody here knows, by task
	swept   time.Time      // when orphans were last stopped
	listing int64          // target's clock of the newest list
	// finished are ends of tasks whose job this host was not told of yet.
	finished map[string]End
	found    time.Time // when it was fenced
	waiting  bool      // a renewal is under way
	looks    int       // renewals under way beside that one
	looked   time.Time // when the last of them was sent
	again    bool      // look once more
	misses   int       // renewals without an answer in a row
	next     time.Time // no renewal before
	listed   bool      // stands in the directory
	unlisted time.Time // since when it does not
	// failures counts jobs in a row that failed here; a target that fails all
	// is left out until a trial succeeds.
	failures int
	slowness float64   // how much longer runs take lately than allowed, see noteSlowdown
	strikes  int       // times in a row that it was left out
	barred   time.Time // no starts before
	trial    bool      // the next start is a trial
}

// run is one start of a task at a target.
type run struct {
	job    *job
	task   int
	number int
	target *target
	need   Resources
	state  runState
	sent   time.Time
	// adopted tells that an earlier holder started the run: its start is not known.
	adopted bool
	// repeated tells that the start was ordered a second time.
	repeated bool
	// clock is the target's clock, in milliseconds, when the run had begun; 0 means
	// that it is not known.
	clock int64
	// settled is when an answer proved what the target's lists must show: a
	// list asked for later that lacks the run means that it is over.
	settled time.Time
	stopAt  time.Time // when the last Stop left
	// expect is the expected run time here; lookAt is when progress is due;
	// percent and total are what progress has shown.
	expect  time.Duration
	lookAt  time.Time
	percent float64
	total   time.Duration
	// rated tells that the run has counted for or against the target, and slow that it
	// was too slow.
	rated, slow bool
}

type runState string

const (
	runStarting runState = "starting"
	runRunning  runState = "running"
	runDoubtful runState = "doubtful" // no answer to the start
	runStopping runState = "stopping"
)

const (
	// renewRetry is the pause after a renewal without an answer.
	renewRetry = 50 * time.Millisecond
	// lapseSlack is added to a lease before its runs count as gone: the time of
	// an order on its way.
	lapseSlack = 50 * time.Millisecond
	// lookPause is the pause between two looks while the first is not answered:
	// half of the tenth of a second that a target may be paused.
	lookPause = 50 * time.Millisecond
	// stopRetry is the pause between two Stops of one run.
	stopRetry = 150 * time.Millisecond
	// failuresToBar is how many jobs in a row must fail at a target before it
	// is left out. Tasks fail by their own fault in 2 of 1,000 runs.
	failuresToBar = 2
	// barFor is how long a failing target is left out before a trial.
	barFor = 1500 * time.Millisecond
	// mostStrikes bounds how often the time doubles for which a target is left out:
	// up to 4.8 to 6 s, the usual length of a fault.
	mostStrikes = 2
	// unhealthyFor is how long a target that refuses as unhealthy is left out.
	unhealthyFor = 500 * time.Millisecond
	// crowdedFor is how long a target that had no room is left out, unless a
	// list of its runs comes first.
	crowdedFor = 100 * time.Millisecond
)

// syncTargets follows the directory and the held cells.
func (r *Router) syncTargets() {
	seen := make(map[string]bool, len(r.directory.Targets))
	for _, entry := range r.directory.Targets {
		seen[entry.ID] = true
		if c := r.cell(entry.Zone); c.mine {
			r.enlist(entry, c)
		}
	}
	for _, id := range sortedKeys(r.former) {
		entry := r.former[id].target
		c := r.cell(entry.Zone)
		if !c.mine || seen[id] || r.targets[id] != nil && r.targets[id].token == c.claim.Token {
			continue
		}
		r.enlist(entry, c)
		seen[id] = false
	}
	for _, id := range sortedKeys(r.targets) {
		t := r.targets[id]
		if !seen[id] && t.listed {
			t.listed, t.unlisted = false, r.now
			r.logTarget(t, "unlisted")
		}
	}
	r.dirty = true
}

// enlist takes a directory entry of a held cell.
func (r *Router) enlist(entry Target, c *cell) {
	t := r.targets[entry.ID]
	if t == nil {
		t = &target{Target: entry, runs: make(map[string]*run), orphan: make(map[string]int), finished: make(map[string]End)}
		r.targets[entry.ID] = t
		r.pool = append(r.pool, t)
		slices.SortFunc(r.pool, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
	}
	if entry.Draining != t.Draining {
		r.logTarget(t, "draining")
	}
	restarted := entry.StartedAt > t.StartedAt && t.StartedAt > 0 && entry.StartedAt > t.born
	t.born = max(t.born, t.StartedAt) // its next list tells of the new life
	t.Target, t.listed = entry, true
	if restarted {
		r.look(t)
	}
	if t.token != c.claim.Token {
		t.token, t.fenced, t.next = c.claim.Token, false, time.Time{}
		t.orphan, t.finished = make(map[string]int), make(map[string]End)
		r.renew(t)
	}
}

// logTarget logs a change of what is believed of a target.
func (r *Router) logTarget(t *target, state string, pairs ...any) {
	r.emit(Decision{Action: "target", Target: t.ID, Pairs: append([]any{"state", state, "runs", len(t.runs), "age", r.since(t.fresh)}, pairs...)})
}

// reborn begins a new life of a target. Its list tells what has survived: runs that
// were started after the restart may go on.
func (r *Router) reborn(t *target, born int64) {
	r.logTarget(t, "restarted", "born", born)
	t.born, t.acked, t.clock, t.listing = born, 0, Reading{}, 0
	t.orphan, t.finished = make(map[string]int), make(map[string]End)
	t.failures, t.slowness, t.barred = 0, 0, time.Time{}
	r.look(t) // for starts that were answered after the list was asked for
}

// leave stops using a target whose cell another host holds. The next holder
// takes over its runs or stops them.
func (r *Router) leave(t *target) {
	gone := r.now.Add(r.Bounds.LeaseDuration + r.Bounds.OrphanGrace + 2*r.Bounds.StopDuration)
	for _, name := range sortedKeys(t.runs) {
		n := t.runs[name]
		r.detach(n.job, n.task, gone)
		delete(t.runs, name)
	}
	r.drop(t)
}

// drop forgets a target.
func (r *Router) drop(t *target) {
	delete(r.targets, t.ID)
	r.pool = slices.DeleteFunc(r.pool, func(other *target) bool { return other == t })
}

// usable reports whether a target may be given a task now.
func (r *Router) usable(t *target) bool {
	if !t.fenced || !t.listed || t.Draining || r.now.Before(t.barred) || r.quiet(t) {
		return false
	}
	if t.trial && len(t.runs) > 0 {
		return false
	}
	return len(t.orphan) == 0
}

// quiet reports whether a target has not answered lately.
func (r *Router) quiet(t *target) bool {
	return t.misses > 0 || r.now.Sub(t.fresh) > r.Bounds.IdleRenewInterval+r.Bounds.RenewTimeout
}

// until returns the end of a lease that begins now, on the target's clock.
func (t *target) until(now time.Time, lease time.Duration) int64 {
	if t.clock.At.IsZero() {
		return 0
	}
	return t.clock.Millis + (now.Sub(t.clock.At) + lease).Milliseconds()
}

// hold notes that an order extends the target's lease.
func (r *Router) hold(t *target) {
	end := r.now.Add(r.Bounds.LeaseDuration + time.Duration(float64(r.Bounds.LeaseDuration)*r.Bounds.MaxClockDrift) + lapseSlack)
	if end.After(t.lapses) {
		t.lapses = end
	}
}

// read takes the target's clock.
func (t *target) read(clock Reading) {
	if !clock.At.IsZero() && clock.At.After(t.clock.At) {
		t.clock = clock
	}
}

// renew sends the renewal that waits for an end.
func (r *Router) renew(t *target) {
	if t.waiting || r.now.Before(t.next) {
		return
	}
	wait := r.Bounds.RenewWait
	if !t.fenced || t.misses > 0 || len(t.runs) == 0 {
		wait = 0
	}
	t.waiting = true
	r.sendRenew(t, wait, false)
}

// look asks at once what runs at a target, or a moment after the last time if that
// was not answered yet: the answer may be lost.
func (r *Router) look(t *target) {
	if t.looks > 0 && r.now.Sub(t.looked) < lookPause {
		t.again = true
		return
	}
	t.looks++
	t.looked, t.again = r.now, false
	r.sendRenew(t, 0, true)
}

func (r *Router) sendRenew(t *target, wait time.Duration, look bool) {
	until := int64(0)
	if len(t.orphan) == 0 && t.misses == 0 {
		// Orphans would run on, and what runs at a silent target could not
		// start elsewhere.
		until = t.until(r.now, r.Bounds.LeaseDuration)
		r.hold(t)
	}
	r.emit(Renew{
		Target: t.Target, Token: t.token, Acked: t.acked, LeaseEnd: until,
		Wait: wait, Timeout: wait + r.Bounds.RenewTimeout, Poll: look,
	})
}

// renewed takes the answer to a renewal.
func (r *Router) renewed(e RenewAnswered) {
	t := r.targets[e.Target]
	if t == nil {
		return
	}
	if e.Poll {
		t.looks = max(t.looks-1, 0)
	} else {
		t.waiting = false
	}
	if e.Token != t.token {
		r.renew(t)
		return
	}
	switch e.Result {
	case Running:
		r.listing(t, e)
	case Fenced:
		r.handleFence(t, e.Token)
		return
	case Replaced:
		r.replaced(t)
	default:
		r.missed(t, e.SentAt)
	}
	if t.again {
		r.look(t)
	}
	r.schedule(t)
}

// schedule sets when the next renewal is due.
func (r *Router) schedule(t *target) {
	switch {
	case t.misses > 0:
		t.next = r.now.Add(renewRetry * time.Duration(min(t.misses, 10)))
	case len(t.runs) > 0 || len(t.orphan) > 0:
		t.next = time.Time{}
	default:
		t.next = r.now.Add(r.Bounds.IdleRenewInterval)
	}
	r.renew(t)
}

// missed notes a renewal without an answer, unless a later order was answered.
func (r *Router) missed(t *target, sent time.Time) {
	if t.fenced && t.fresh.After(sent) {
		return
	}
	t.misses++
	if t.misses == 1 {
		r.logTarget(t, "silent", "lapses", t.lapses.Sub(r.now).String())
	}
	r.emit(CloseIdle{ID: t.ID})
}

// replaced notes that another process answers at a target's address.
func (r *Router) replaced(t *target) {
	r.logTarget(t, "replaced")
	for _, name := range sortedKeys(t.runs) {
		r.over(t.runs[name], EndLeaseExpired)
	}
	t.fenced, t.misses = false, t.misses+1
}

// watchTargets sends renewals that are due, ends runs whose lease has lapsed and
// forgets targets that are gone.
func (r *Router) watchTargets() {
	r.forgetFormer()
	for _, id := range sortedKeys(r.targets) {
		t := r.targets[id]
		if r.now.After(t.lapses) && len(t.runs) > 0 {
			r.lapse(t)
		}
		if !t.listed && len(t.runs) == 0 && r.now.Sub(t.unlisted) > r.Bounds.LeaseDuration && r.former[id] == nil {
			r.logTarget(t, "forgotten")
			r.drop(t)
			r.emit(CloseIdle{ID: id, Gone: true})
			continue
		}
		r.renew(t)
		if t.again {
			r.look(t)
		}
		r.watchRuns(t)
		r.retryStops(t)
		r.clearOrphans(t)
	}
}

// lapse ends all runs of a target that no order has reached for a lease.
func (r *Router) lapse(t *target) {
	r.logTarget(t, "lapsed")
	t.fenced = false
	for _, name := range sortedKeys(t.runs) {
		r.over(t.runs[name], EndLeaseExpired)
	}
	r.emit(CloseIdle{ID: t.ID})
}

// retryStops repeats orders that have had no effect yet.
func (r *Router) retryStops(t *target) {
	for _, name := range sortedKeys(t.runs) {
		n := t.runs[name]
		if (n.state == runStopping || n.state == runDoubtful) && r.now.Sub(n.stopAt) >= stopRetry {
			r.halt(n)
		}
	}
}
