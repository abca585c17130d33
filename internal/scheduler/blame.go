package scheduler

// failureRecord holds failure statistics of one client's tasks for one service. It
// serves to attribute a failure to the client or to the target.
type failureRecord struct {
	failureRate    float64 // smoothed fraction of the tasks that failed
	lastTarget     string  // target of the last failure
	severalTargets bool    // the failures occurred at different targets
}

const (
	// failureRateGain is the weight of one task in the smoothed failure rate.
	failureRateGain = 0.05
	// alwaysFailingRate is the failure rate at or above which failures at several
	// targets are attributed to the client.
	alwaysFailingRate = 0.3
	// maxFailureRecords limits the records of a host; at the limit all are dropped.
	maxFailureRecords = 4096
)

// addFailure records a failed task at the target.
func (r *failureRecord) addFailure(target string) {
	r.failureRate += (1 - r.failureRate) * failureRateGain
	r.severalTargets = r.severalTargets || (r.lastTarget != "" && r.lastTarget != target)
	r.lastTarget = target
}

// addSuccess records a task that ended well.
func (r *failureRecord) addSuccess() {
	r.failureRate -= r.failureRate * failureRateGain
	if r.failureRate < alwaysFailingRate/2 {
		r.severalTargets = false
	}
}

// failsEverywhere reports whether the client's tasks fail at any target.
func (r *failureRecord) failsEverywhere() bool {
	return r.severalTargets && r.failureRate >= alwaysFailingRate
}

// failureRecordOf returns the record of the job's client and service. It creates
// the record if there is none.
func (s *Scheduler) failureRecordOf(j *job) *failureRecord {
	key := j.service + "\x00" + j.client
	r := s.failureRecords[key]
	if r == nil {
		if len(s.failureRecords) >= maxFailureRecords {
			clear(s.failureRecords)
		}
		r = &failureRecord{}
		s.failureRecords[key] = r
	}
	return r
}
