package scheduler

// record is what a host remembers of the failures of one client's tasks of one
// kind, to tell a job that can never run from a target that fails.
type record struct {
	rate   float64 // part of the tasks that failed, smoothed
	target string  // where the last one failed
	spread bool    // the failures are on different targets
}

const (
	// recordGain is the weight of one task in a record's rate.
	recordGain = 0.05
	// hopelessRate is the failure rate from which the client is to blame.
	hopelessRate = 0.3
	// maxRecords bounds the records of a host.
	maxRecords = 4096
)

// fail notes a failure.
func (r *record) fail(target string) {
	r.rate += (1 - r.rate) * recordGain
	r.spread = r.spread || (r.target != "" && r.target != target)
	r.target = target
}

// pass notes a success.
func (r *record) pass() {
	r.rate -= r.rate * recordGain
	if r.rate < hopelessRate/2 {
		r.spread = false
	}
}

// hopeless reports whether the tasks fail wherever they run.
func (r *record) hopeless() bool { return r.spread && r.rate >= hopelessRate }

// blames returns the record of the job's client and service.
func (s *Scheduler) blames(j *job) *record {
	key := j.service + "\x00" + j.client
	r := s.records[key]
	if r == nil {
		if len(s.records) >= maxRecords {
			clear(s.records)
		}
		r = &record{}
		s.records[key] = r
	}
	return r
}
