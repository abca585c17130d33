// Package explainer reconstructs what happened to a job from the logs of several hosts.
package explainer

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	Time time.Time `json:"time"`
	Host string    `json:"host"`
	// Action is the name of the decision or the change of state.
	Action string         `json:"msg"`
	Fields map[string]any `json:"-"`
}

// text returns the text of a field, or "" if the line does not have it.
func (l Line) text(key string) string {
	if value, ok := l.Fields[key]; ok {
		return fmt.Sprint(value)
	}
	return ""
}

// String returns the line in readable form: time, host, action and the other fields.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-22s %-9s", l.Time.Format("15:04:05.000"), l.Host, l.Action)
	for _, key := range slices.Sorted(maps.Keys(l.Fields)) {
		if key != "time" && key != "level" && key != "msg" && key != "host" && key != "job" {
			fmt.Fprintf(&b, " %s=%v", key, l.Fields[key])
		}
	}
	return b.String()
}

// Story is the explanation of a job's outcome from the logs.
type Story struct {
	Job string `json:"job"`
	// Lines are the lines of the job, oldest first.
	Lines []Line `json:"-"`
	// RelatedLines lists the changes of holders, peers, targets and the store that may have
	// affected the job while it was open.
	RelatedLines []Line `json:"-"`
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason,omitempty"`
	// Cause is a sentence that gives the reason for the outcome, and Evidence lists the
	// lines that show it.
	Cause    string   `json:"cause"`
	Evidence []string `json:"evidence,omitempty"`
	// Skipped counts the lines that could not be parsed, and Omitted the lines that hosts
	// left out to limit the rate of their logs.
	Skipped int `json:"skipped,omitempty"`
	Omitted int `json:"omitted,omitempty"`
}

// timeMargin is the time before and after a job in which changes of state may affect it. It
// covers the time until an unresponsive host or target is detected.
const timeMargin = 1500 * time.Millisecond

// Reader collects lines from several logs. Its zero value is ready for use.
type Reader struct {
	lines   []Line
	skipped int
	omitted int
}

// Read adds the lines of a log. It ignores text before the JSON of a line, so that logs with
// a prefix per line can be read. An error comes from the log.
func (r *Reader) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		_, text, ok := strings.Cut(scanner.Text(), "{")
		if !ok {
			continue
		}
		text = "{" + text
		var l Line
		if json.Unmarshal([]byte(text), &l) != nil || json.Unmarshal([]byte(text), &l.Fields) != nil || l.Action == "" {
			r.skipped++
			continue
		}
		if l.Action == "lines left out" {
			if count, ok := l.Fields["count"].(float64); ok {
				r.omitted += int(count)
			}
		}
		r.lines = append(r.lines, l)
	}
	return scanner.Err()
}

// Explain returns the explanation of a job, or false if no line names the job.
func (r *Reader) Explain(job string) (*Story, bool) {
	s := &Story{Job: job, Skipped: r.skipped, Omitted: r.omitted}
	slices.SortStableFunc(r.lines, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	involved := make(map[string]bool)
	for _, l := range r.lines {
		if l.text("job") != job && !strings.HasPrefix(l.text("task"), job+".") {
			continue
		}
		s.Lines = append(s.Lines, l)
		for _, key := range []string{"target", "holder"} {
			involved[l.text(key)] = true
		}
		involved[l.Host] = true
	}
	if len(s.Lines) == 0 {
		return s, false
	}
	delete(involved, "")
	from, until := s.Lines[0].Time.Add(-timeMargin), s.endTime().Add(timeMargin)
	for _, l := range r.lines {
		if l.Time.Before(from) || l.Time.After(until) || !stateChanges[l.Action] {
			continue
		}
		if involved[l.text("target")] || involved[l.text("peer")] || involved[l.text("holder")] || involved[l.text("before")] || involved[l.Host] && l.text("target") == "" {
			s.RelatedLines = append(s.RelatedLines, l)
		}
	}
	s.explainOutcome()
	return s, true
}

// stateChanges are the actions that record a change in a host's view of the holders, peers,
// targets, store or configuration, or the host's shutdown.
var stateChanges = map[string]bool{
	"holder": true, "claim": true, "claimed": true, "peer": true, "target": true, "store": true, "drain": true, "halt": true, "configure": true, "evacuate": true,
}

// endTime returns the time of the job's answer, or of its last line if there is none.
func (s *Story) endTime() time.Time {
	if l, ok := s.lastLine("answer"); ok {
		return l.Time
	}
	return s.Lines[len(s.Lines)-1].Time
}

// lastLine returns the last line of the job with an action.
func (s *Story) lastLine(action string) (Line, bool) {
	for _, l := range slices.Backward(s.Lines) {
		if l.Action == action {
			return l, true
		}
	}
	return Line{}, false
}

// Write prints the explanation, its evidence and all lines.
func (s *Story) Write(w io.Writer) error {
	fmt.Fprintf(w, "job %s: %s %s\ncause: %s\n", s.Job, s.Outcome, s.Reason, s.Cause)
	for _, e := range s.Evidence {
		fmt.Fprintf(w, "  shown by: %s\n", e)
	}
	fmt.Fprintln(w, "\nthe job")
	for _, l := range s.Lines {
		fmt.Fprintln(w, " ", l)
	}
	if len(s.RelatedLines) > 0 {
		fmt.Fprintln(w, "\nchanges around it")
		for _, l := range s.RelatedLines {
			fmt.Fprintln(w, " ", l)
		}
	}
	_, err := fmt.Fprintf(w, "\n%d lines could not be read, %d were left out by hosts\n", s.Skipped, s.Omitted)
	return err
}
