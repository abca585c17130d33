package router

import (
	"cmp"
	"slices"
	"time"
)

// Crash is the loss of a run with the process of its target, which may have crashed under the run.
type Crash struct {
	Job  string `cbor:"1,keyasint"`
	Task int    `cbor:"2,keyasint"`
	// Target is the target's ID, and StartedAt the start time of the lost process in Unix
	// milliseconds.
	Target    string `cbor:"3,keyasint"`
	StartedAt int64  `cbor:"4,keyasint"`
	// Confirmed is true if another process has answered before the lease of the run can have expired;
	// see Router.recordProcessEnd. Otherwise the process may have been paused or cut off, and have
	// outlived the run. Hosts of earlier versions, which name no run, also confirm the end of a
	// process at any later time.
	Confirmed bool `cbor:"5,keyasint,omitempty"`
	// Run is the number of the run; 0 from hosts of earlier versions.
	Run int `cbor:"6,keyasint,omitempty"`
	// Replaced is true once a later process of the target is known here, so that the lost one
	// cannot answer any more.
	Replaced bool `cbor:"-"`
}

// isSettled reports whether no answer of the lost process is to be expected any more.
func (c Crash) isSettled() bool { return c.Confirmed || c.Replaced }

// isSame reports whether two crashes are the same loss. Without the number of a run, a process is
// lost once under a task.
func (c Crash) isSame(other Crash) bool {
	return c.Target == other.Target && c.StartedAt == other.StartedAt && (c.Run == other.Run || c.Run == 0 || other.Run == 0)
}

// isClearedBy reports whether the acquittal of a process covers a crash: that of the same run, or an
// older copy that does not name its run.
func (c Crash) isClearedBy(acquittal Crash) bool {
	return c.Target == acquittal.Target && c.StartedAt == acquittal.StartedAt && (c.Run == acquittal.Run || c.Run == 0)
}

const (
	// maxCrashes is the number of confirmed crashes under a task at which its job is given up. The
	// platform allows that from two crashes on; see docs/QUESTIONS.md.
	maxCrashes = 2
	// maxLostRuns is the number of processes lost under a task, confirmed or not, at which it is not started
	// again. The platform allows two more starts after three crashes; these are left to holders that
	// do not know of all crashes yet.
	maxLostRuns = 3
	// crashRetention is how long the crashes under a task are kept after the last one. It covers
	// several submissions of a job, each with the longest usual timeout. heldRetention is how long they
	// are kept if they keep the task from starting: a client that comes back then starts as many again.
	crashRetention = time.Minute
	heldRetention  = 10 * time.Minute
	// maxCrashEntries bounds the tasks in the ledger: those that run at 100 targets, twice over.
	maxCrashEntries = 2000
	// maxAcquittals bounds the acquittals that are kept of one task.
	maxAcquittals = 8
	// crashPruneInterval is the interval at which expired entries are removed.
	crashPruneInterval = time.Second
	// crashExportPeriod is how long a changed entry is sent again with a holder's learned state. It
	// covers three messages.
	crashExportPeriod = 3 * learnedStateInterval
	// maxSentCrashes bounds the crashes in one message, of about 50 bytes each.
	maxSentCrashes = 200
)

// taskKey identifies a task.
type taskKey struct {
	job  string
	task int
}

// crashLedger records the targets that crashed, or fell silent, while they ran a task. It
// outlives the jobs, so that a task that crashes its targets is not started again for another
// submission. The zero value is empty.
type crashLedger struct {
	entries map[taskKey]*crashEntry
	// unsettled counts the crashes whose process may still answer, by target, and jobEntries the
	// entries of each job.
	unsettled, jobEntries map[string]int
	changedAt, prunedAt   time.Time
}

// crashEntry lists the crashes under one task, one for each lost run, and the acquittals: crashes
// that were none, since the process has answered later. Copies of these may still arrive from other
// hosts.
type crashEntry struct {
	crashes, acquittals []Crash
	changedAt           time.Time
}

// entryOf returns the entry of a crash's task, which it creates if there is none.
func (l *crashLedger) entryOf(c Crash) *crashEntry {
	if l.entries == nil {
		l.entries, l.unsettled, l.jobEntries = make(map[taskKey]*crashEntry), make(map[string]int), make(map[string]int)
	}
	key := taskKey{c.Job, c.Task}
	e := l.entries[key]
	if e == nil {
		if len(l.entries) >= maxCrashEntries {
			l.removeOldest()
		}
		e = &crashEntry{}
		l.entries[key] = e
		l.jobEntries[c.Job]++
	}
	return e
}

// add adds a crash, or adds what it tells to a known one, unless the process was acquitted of it. It
// reports whether the ledger has changed.
func (l *crashLedger) add(c Crash, now time.Time) bool {
	e := l.entryOf(c)
	if slices.ContainsFunc(e.acquittals, c.isClearedBy) {
		return false
	}
	i := slices.IndexFunc(e.crashes, c.isSame)
	if i < 0 {
		e.crashes = append(e.crashes, c)
		l.recordChange(e, now)
		l.countUnsettled(c, 1)
		return true
	}
	known := e.crashes[i]
	merged := known
	merged.Run, merged.Confirmed, merged.Replaced = max(known.Run, c.Run), known.Confirmed || c.Confirmed, known.Replaced || c.Replaced
	if merged == known {
		return false
	}
	l.countUnsettled(known, -1)
	l.countUnsettled(merged, 1)
	e.crashes[i] = merged
	l.recordChange(e, now)
	return true
}

func (l *crashLedger) recordChange(e *crashEntry, now time.Time) { e.changedAt, l.changedAt = now, now }

// countUnsettled adds to the number of a target's unsettled crashes if c is one of them.
func (l *crashLedger) countUnsettled(c Crash, change int) {
	if c.isSettled() {
		return
	}
	l.unsettled[c.Target] += change
	if l.unsettled[c.Target] == 0 {
		delete(l.unsettled, c.Target)
	}
}

// acquit removes a crash that was none, and keeps the acquittal if there is room. It reports whether
// the ledger has changed.
func (l *crashLedger) acquit(c Crash, now time.Time) bool {
	if l.entries[taskKey{c.Job, c.Task}] == nil && len(l.entries) >= maxCrashEntries {
		return false // it must not replace crashes
	}
	e := l.entryOf(c)
	c.Confirmed, c.Replaced = false, false
	before := len(e.crashes) + len(e.acquittals)
	e.crashes = slices.DeleteFunc(e.crashes, func(known Crash) bool {
		isCleared := known.isClearedBy(c)
		if isCleared {
			l.countUnsettled(known, -1)
		}
		return isCleared
	})
	hasChanged := len(e.crashes)+len(e.acquittals) < before
	if !slices.Contains(e.acquittals, c) && len(e.acquittals) < maxAcquittals {
		e.acquittals, hasChanged = append(e.acquittals, c), true
	}
	if hasChanged {
		l.recordChange(e, now)
	}
	return hasChanged
}

// remove removes the entry of a task.
func (l *crashLedger) remove(key taskKey) {
	e := l.entries[key]
	if e == nil {
		return
	}
	for _, c := range e.crashes {
		l.countUnsettled(c, -1)
	}
	delete(l.entries, key)
	l.jobEntries[key.job]--
	if l.jobEntries[key.job] == 0 {
		delete(l.jobEntries, key.job)
	}
}

func (l *crashLedger) removeOldest() {
	var oldest taskKey
	for key, e := range l.entries {
		if o := l.entries[oldest]; o == nil || compareEntries(key, e, oldest, o) < 0 {
			oldest = key
		}
	}
	l.remove(oldest)
}

// compareEntries orders entries by the time of their last change.
func compareEntries(a taskKey, ea *crashEntry, b taskKey, eb *crashEntry) int {
	return cmp.Or(ea.changedAt.Compare(eb.changedAt), compareTaskKeys(a, b))
}

func compareTaskKeys(a, b taskKey) int {
	return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.task, b.task))
}

// expiresAt returns when an entry is forgotten.
func (e *crashEntry) expiresAt() time.Time {
	if countProcesses(e.crashes, isAnyCrash) >= maxLostRuns {
		return e.changedAt.Add(heldRetention)
	}
	return e.changedAt.Add(crashRetention)
}

// countProcesses returns the number of lost processes in the crashes that satisfy a condition.
func countProcesses(crashes []Crash, isCounted func(Crash) bool) int {
	count := 0
	for i, c := range crashes {
		isRepeated := slices.ContainsFunc(crashes[:i], func(other Crash) bool {
			return other.Target == c.Target && other.StartedAt == c.StartedAt && isCounted(other)
		})
		if isCounted(c) && !isRepeated {
			count++
		}
	}
	return count
}

func isAnyCrash(Crash) bool { return true }

// prune removes the entries that have expired.
func (l *crashLedger) prune(now time.Time) {
	if now.Sub(l.prunedAt) < crashPruneInterval {
		return
	}
	l.prunedAt = now
	for key, e := range l.entries {
		if now.After(e.expiresAt()) {
			l.remove(key)
		}
	}
}

// keysOf returns the keys of the entries that satisfy a condition, in order.
func (l *crashLedger) keysOf(isWanted func(*crashEntry) bool) []taskKey {
	var keys []taskKey
	for key, e := range l.entries {
		if isWanted(e) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareTaskKeys)
	return keys
}

// crashesOf returns the crashes under a task.
func (l *crashLedger) crashesOf(job string, task int) []Crash {
	if e := l.entries[taskKey{job, task}]; e != nil {
		return e.crashes
	}
	return nil
}

// reportOfJob returns the crashes and acquittals of the tasks of a job.
func (l *crashLedger) reportOfJob(job string, count int) (crashes, acquittals []Crash) {
	if l.jobEntries[job] == 0 {
		return nil, nil
	}
	for i := range count {
		if e := l.entries[taskKey{job, i}]; e != nil {
			crashes, acquittals = append(crashes, e.crashes...), append(acquittals, e.acquittals...)
		}
	}
	return limitReport(crashes, acquittals)
}

// recentReport returns the crashes and acquittals of the entries that have changed since a time, those
// that have changed last first.
func (l *crashLedger) recentReport(since time.Time) (crashes, acquittals []Crash) {
	keys := l.keysOf(func(e *crashEntry) bool { return e.changedAt.After(since) })
	slices.SortStableFunc(keys, func(a, b taskKey) int { return l.entries[b].changedAt.Compare(l.entries[a].changedAt) })
	for _, key := range keys {
		e := l.entries[key]
		crashes, acquittals = append(crashes, e.crashes...), append(acquittals, e.acquittals...)
	}
	return limitReport(crashes, acquittals)
}

func limitReport(crashes, acquittals []Crash) ([]Crash, []Crash) {
	return crashes[:min(len(crashes), maxSentCrashes)], acquittals[:min(len(acquittals), maxSentCrashes)]
}
