// Package explainer tells the story of one job from the logs of several hosts.
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

// maxLine bounds a log line in bytes.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	Time time.Time `json:"time"`
	Host string    `json:"host"`
	// Action is the decision or the change of state.
	Action string         `json:"msg"`
	Fields map[string]any `json:"-"`
}

// text returns a field as text, or "".
func (l Line) text(key string) string {
	if value, ok := l.Fields[key]; ok {
		return fmt.Sprint(value)
	}
	return ""
}

// String returns the line for a reader.
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

// Story is what the logs say of a job.
type Story struct {
	Job string `json:"job"`
	// Lines are those of the job, oldest first.
	Lines []Line `json:"-"`
	// Around are changes of holders, peers, targets and the store that touched
	// it while it was open.
	Around  []Line `json:"-"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	// Cause says in a sentence why the job ended so, and Evidence names the
	// lines that show it.
	Cause    string   `json:"cause"`
	Evidence []string `json:"evidence,omitempty"`
	// Skipped counts lines that could not be read, and Omitted those that hosts
	// left out under a flood.
	Skipped int `json:"skipped,omitempty"`
	Omitted int `json:"omitted,omitempty"`
}

// margin is how long before and after a job changes of state may matter: the time
// after which a silent host or target is noticed.
const margin = 1500 * time.Millisecond

// Reader collects lines from several logs. Its zero value is ready.
type Reader struct {
	lines   []Line
	skipped int
	omitted int
}

// Read takes a log. Text before the JSON of a line is passed over, so that logs
// with a prefix can be read as well.
func (r *Reader) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
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

// Explain tells the story of a job; false means that no line names it.
func (r *Reader) Explain(job string) (*Story, bool) {
	s := &Story{Job: job, Skipped: r.skipped, Omitted: r.omitted}
	slices.SortStableFunc(r.lines, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	touched := make(map[string]bool)
	for _, l := range r.lines {
		if l.text("job") != job && !strings.HasPrefix(l.text("task"), job+".") {
			continue
		}
		s.Lines = append(s.Lines, l)
		for _, key := range []string{"target", "holder"} {
			touched[l.text(key)] = true
		}
		touched[l.Host] = true
	}
	if len(s.Lines) == 0 {
		return s, false
	}
	delete(touched, "")
	first, last := s.Lines[0].Time.Add(-margin), s.end().Add(margin)
	for _, l := range r.lines {
		if l.Time.Before(first) || l.Time.After(last) || !changes[l.Action] {
			continue
		}
		if touched[l.text("target")] || touched[l.text("peer")] || touched[l.text("holder")] || touched[l.text("before")] || touched[l.Host] && l.text("target") == "" {
			s.Around = append(s.Around, l)
		}
	}
	s.judge()
	return s, true
}

// changes are the actions that change what hosts believe.
var changes = map[string]bool{
	"holder": true, "claim": true, "claimed": true, "peer": true, "target": true, "store": true, "drain": true, "halt": true, "configure": true,
}

// end returns the time of the job's answer, or of its last line.
func (s *Story) end() time.Time {
	if l, ok := s.find("answer"); ok {
		return l.Time
	}
	return s.Lines[len(s.Lines)-1].Time
}

// find returns the job's last line of an action.
func (s *Story) find(action string) (Line, bool) {
	for _, l := range slices.Backward(s.Lines) {
		if l.Action == action {
			return l, true
		}
	}
	return Line{}, false
}

// Write prints the story.
func (s *Story) Write(w io.Writer) error {
	fmt.Fprintf(w, "job %s: %s %s\ncause: %s\n", s.Job, s.Outcome, s.Reason, s.Cause)
	for _, e := range s.Evidence {
		fmt.Fprintf(w, "  shown by: %s\n", e)
	}
	fmt.Fprintln(w, "\nthe job")
	for _, l := range s.Lines {
		fmt.Fprintln(w, " ", l)
	}
	if len(s.Around) > 0 {
		fmt.Fprintln(w, "\nchanges around it")
		for _, l := range s.Around {
			fmt.Fprintln(w, " ", l)
		}
	}
	_, err := fmt.Fprintf(w, "\n%d lines could not be read, %d were left out by hosts\n", s.Skipped, s.Omitted)
	return err
}
