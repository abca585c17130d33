// Package meter defines the Prometheus metrics of the daemon and of entry hosts.
package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/shallotrouter/shallotrouter/internal/scheduler"
)

// Meter holds the metrics of a daemon. It is safe for concurrent use.
type Meter struct {
	// Registry holds the metrics that /metrics shows.
	Registry *prometheus.Registry

	Jobs          *prometheus.CounterVec   // final answers, by client, outcome and reason
	ResponseTime  *prometheus.HistogramVec // seconds from admission to the answer, by outcome
	Starts        prometheus.Counter       // tasks sent to targets
	Ends          *prometheus.CounterVec   // ends of starts, by result
	Messages      *prometheus.CounterVec   // control messages, by cause
	Bytes         prometheus.Counter       // bytes of reports sent to peers
	Polls         *prometheus.CounterVec   // reads of the platform, by result
	Violations    *prometheus.CounterVec   // violations of invariants, by invariant
	Omitted       prometheus.Counter       // log lines left out
	WaitingTasks  prometheus.Gauge         // waiting tasks
	OpenJobs      prometheus.Gauge         // jobs without an answer
	ConfigVersion prometheus.Gauge         // version of the current configuration
	PlatformAge   prometheus.Gauge         // seconds since the last read of the platform, or -1 before the first read
	Steps         prometheus.Histogram     // seconds per step of the scheduler
}

// New returns a Meter with its own registry.
func New() *Meter {
	m := &Meter{
		Registry:      prometheus.NewRegistry(),
		Jobs:          counters("jobs_total", "Final answers.", "client", "outcome", "reason"),
		Starts:        counter("starts_total", "Tasks sent to targets."),
		Ends:          counters("ends_total", "Ends of starts by result.", "result"),
		Messages:      counters("control_messages_total", "Control messages beyond one request and one answer per task.", "cause"),
		Bytes:         counter("report_bytes_total", "Bytes of reports sent to peers."),
		Polls:         counters("polls_total", "Reads of the platform.", "result"),
		Violations:    counters("violations_total", "Violations of invariants; each is a defect.", "invariant"),
		Omitted:       counter("log_lines_omitted_total", "Decision lines left out to limit the log rate."),
		WaitingTasks:  gauge("waiting_tasks", "Tasks that wait for a slot."),
		OpenJobs:      gauge("open_jobs", "Jobs without a final answer."),
		ConfigVersion: gauge("config_version", "Version of the current configuration."),
		PlatformAge:   gauge("platform_age_seconds", "Time since the last read of the platform; -1 before the first read."),
	}
	m.ResponseTime = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "response_seconds", Help: "Time from admission to the answer.",
		Buckets: prometheus.ExponentialBuckets(firstBucketSeconds, 2, bucketCount),
	}, []string{"outcome"})
	m.Steps = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: "step_seconds", Help: "Time of one step of the scheduler.",
		Buckets: prometheus.ExponentialBuckets(firstStepSeconds, 4, bucketCount),
	})
	m.Registry.MustRegister(
		m.Jobs, m.ResponseTime, m.Starts, m.Ends, m.Messages, m.Bytes, m.Polls, m.Violations, m.Omitted,
		m.WaitingTasks, m.OpenJobs, m.ConfigVersion, m.PlatformAge, m.Steps,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

const (
	namespace          = "shallotrouter"
	firstBucketSeconds = 0.01
	firstStepSeconds   = 1e-6
	bucketCount        = 12
)

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

// CountEffect counts one effect of the scheduler.
func (m *Meter) CountEffect(e scheduler.Effect) {
	switch e := e.(type) {
	case scheduler.Start:
		m.Starts.Inc()
	case scheduler.Reply:
		m.ResponseTime.WithLabelValues(string(e.Answer.Outcome)).Observe(time.Duration(e.Answer.Elapsed).Seconds())
	case scheduler.Decision:
		if e.Action == scheduler.Finalize {
			m.Jobs.WithLabelValues(e.Client, string(e.Outcome), e.Reason).Inc()
		}
	case scheduler.Violation:
		m.Violations.WithLabelValues(e.Invariant).Inc()
	}
}

// CountEnd counts the end of a start. If the task was not started, its request and answer count
// as two control messages.
func (m *Meter) CountEnd(result scheduler.Result) {
	m.Ends.WithLabelValues(string(result)).Inc()
	if !result.Started() {
		m.Messages.WithLabelValues(string(result)).Add(2)
	}
}

// CountReport counts a report to a peer and its bytes.
func (m *Meter) CountReport(bytes int) {
	m.Messages.WithLabelValues("report").Inc()
	m.Bytes.Add(float64(bytes))
}

// CountPoll counts a poll of the platform, which consists of four messages: it reads the row
// and the host list.
func (m *Meter) CountPoll(failed bool) {
	m.Messages.WithLabelValues("poll").Add(4)
	result := "ok"
	if failed {
		result = "failed"
	}
	m.Polls.WithLabelValues(result).Inc()
}
