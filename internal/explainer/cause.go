package explainer

import "fmt"

// explainOutcome sets the outcome, its cause and the evidence.
func (s *Story) explainOutcome() {
	answer, ok := s.lastLine("answer")
	if !ok {
		s.Outcome = "open"
		s.Cause = "no host has logged an answer: the host that received the job ended before it answered, or its log is missing"
		s.addRelatedEvidence("drain", "halt", "peer")
		return
	}
	s.Outcome, s.Reason = answer.text("outcome"), answer.text("reason")
	switch s.Outcome {
	case "complete":
		s.explainComplete(answer)
	case "refused":
		s.explainRefused(answer)
	case "unknown":
		s.explainUnknown()
	default:
		s.explainFailed()
	}
}

// explainRefused explains a job of which no task has run.
func (s *Story) explainRefused(answer Line) {
	refusal, ok := s.lastLine("refuse")
	if !ok {
		refusal, ok = s.lastLine("verdict")
	}
	switch {
	case s.Reason == "unheld":
		s.Cause = "no host held the zone's targets while the job could wait"
		s.addRelatedEvidence("holder", "claim", "claimed")
	case s.Reason == "evacuated":
		s.Cause = "the job fits targets of evacuated zones only"
		s.addRelatedEvidence("evacuate")
	case ok:
		s.Cause = fmt.Sprintf("the queue would have made the job late: it could wait %s, and the client was told to retry after %s; %s jobs were queued",
			refusal.text("slack"), answer.text("after"), refusal.text("queued"))
		if refusal.text("excess") == "true" {
			s.Cause += "; its route exceeded its fair share"
		}
		s.Evidence = append(s.Evidence, refusal.String())
		s.addRelatedEvidence("target")
	default:
		s.Cause = "the host that received the job refused it"
	}
}

// explainUnknown explains a job that may have run.
func (s *Story) explainUnknown() {
	switch {
	case s.Reason == "stopping":
		s.Cause = "its host shut down before the job ended"
	case s.Reason == "unheld":
		s.Cause = "its holder was lost and no other host took over the zone's targets in time"
	default:
		s.Cause = "its holder was lost; the next holder did not find the job running and could not start it again in time"
	}
	s.addRelatedEvidence("holder", "peer", "drain")
}

// explainFailed explains a job that ended before its work was done.
func (s *Story) explainFailed() {
	switch s.Reason {
	case "withdrawn":
		s.Cause = "its client cancelled it or closed the connection"
	case "exhausted":
		s.Cause = "a task failed as often as its route allows"
		s.addEndEvidence("failed")
	case "crashed", "crashes": // as earlier versions have it
		s.Cause = "targets crashed under one of its tasks, so it was given up"
		for _, l := range s.Lines {
			if l.Action == "crash" {
				s.Evidence = append(s.Evidence, l.String())
			}
		}
	case "misfit":
		s.Cause = "a task needs more than any target of the service has"
	default:
		s.explainExpired()
	}
}

// explainExpired explains a job that was aborted after some of its tasks had started.
func (s *Story) explainExpired() {
	if l, ok := s.lastLine("foresee"); ok {
		s.Cause = fmt.Sprintf("the progress of %s showed that it would take %s, longer than the client waits", l.text("task"), l.text("total"))
		s.Evidence = append(s.Evidence, l.String())
		return
	}
	s.Cause = "its time ran out after some of its tasks had started"
	s.addEndEvidence("lapsed", "failed", "stopped")
	s.addRelatedEvidence("target", "holder")
}

// explainComplete explains the response time of a completed job, which may be late.
func (s *Story) explainComplete(answer Line) {
	s.Cause = "it was completed after " + answer.text("spent")
	wasMoved := false
	for _, l := range s.Lines {
		if l.Action == "move" || l.Action == "takeover" {
			wasMoved = true
			s.Evidence = append(s.Evidence, l.String())
		}
	}
	if s.addEndEvidence("lapsed", "failed", "stopped") || wasMoved {
		s.Cause += "; tasks had to be started again"
		s.addRelatedEvidence("target", "holder")
	} else if l, ok := s.lastLine("place"); ok && l.text("waited") != "0s" {
		s.Cause += "; its last task waited " + l.text("waited") + " for capacity"
		s.Evidence = append(s.Evidence, l.String())
	}
}

// addEndEvidence adds the lines of runs that ended for one of the reasons, and reports whether
// there are any.
func (s *Story) addEndEvidence(reasons ...string) bool {
	found := false
	for _, l := range s.Lines {
		for _, reason := range reasons {
			if l.Action == "end" && l.text("how") == reason {
				s.Evidence = append(s.Evidence, l.String())
				found = true
			}
		}
	}
	return found
}

// maxRelatedEvidence bounds the lines that each call of addRelatedEvidence adds. Story.Write
// prints all related lines below.
const maxRelatedEvidence = 5

// addRelatedEvidence adds related lines with one of the actions as evidence.
func (s *Story) addRelatedEvidence(actions ...string) {
	count := 0
	for _, l := range s.RelatedLines {
		for _, action := range actions {
			if l.Action == action && count < maxRelatedEvidence {
				s.Evidence = append(s.Evidence, l.String())
				count++
			}
		}
	}
}
