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

	Jobs       *prometheus.CounterVec   // final answers, by client, outcome and reason
	Response   *prometheus.HistogramVec // seconds from admission to the answer, by outcome
	Starts     prometheus.Counter       // tasks sent to targets
	Ends       *prometheus.CounterVec   // ends of starts, by result
	Messages   *prometheus.CounterVec   // control messages, by cause
	Bytes      prometheus.Counter       // bytes of reports sent to peers
	Polls      *prometheus.CounterVec   // reads of the platform, by result
	Violations *prometheus.CounterVec   // violations of invariants, by invariant
	Omitted    prometheus.Counter       // log lines left out
	Waiting    prometheus.Gauge         // waiting tasks
	Open       prometheus.Gauge         // jobs without an answer
	Version    prometheus.Gauge         // version of the current configuration
	Age        prometheus.Gauge         // seconds since the last read of the platform, or -1 before the first read
	Steps      prometheus.Histogram     // seconds per step of the scheduler
}

// New returns a Meter with its own registry.
func New() *Meter {
	m := &Meter{
		Registry:   prometheus.NewRegistry(),
		Jobs:       counters("jobs_total", "Final answers.", "client", "outcome", "reason"),
		Starts:     counter("starts_total", "Tasks sent to targets."),
		Ends:       counters("ends_total", "Ends of starts by result.", "result"),
		Messages:   counters("control_messages_total", "Control messages beyond one request and one answer per task.", "cause"),
		Bytes:      counter("report_bytes_total", "Bytes of reports sent to peers."),
		Polls:      counters("polls_total", "Reads of the platform.", "result"),
		Violations: counters("violations_total", "Violations of invariants; each is a defect.", "invariant"),
		Omitted:    counter("log_lines_omitted_total", "Decision lines left out to limit the log rate."),
		Waiting:    gauge("waiting_tasks", "Tasks that wait for a slot."),
		Open:       gauge("open_jobs", "Jobs without a final answer."),
		Version:    gauge("config_version", "Version of the current configuration."),
		Age:        gauge("platform_age_seconds", "Time since the last read of the platform; -1 before the first read."),
	}
	m.Response = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "response_seconds", Help: "Time from admission to the answer.",
		Buckets: prometheus.ExponentialBuckets(firstBucketSeconds, 2, bucketCount),
	}, []string{"outcome"})
	m.Steps = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: "step_seconds", Help: "Time of one step of the scheduler.",
		Buckets: prometheus.ExponentialBuckets(firstStepSeconds, 4, bucketCount),
	})
	m.Registry.MustRegister(
		m.Jobs, m.Response, m.Starts, m.Ends, m.Messages, m.Bytes, m.Polls, m.Violations, m.Omitted,
		m.Waiting, m.Open, m.Version, m.Age, m.Steps,
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

// Effect counts one effect of the scheduler.
func (m *Meter) Effect(e scheduler.Effect) {
	switch e := e.(type) {
	case scheduler.Start:
		m.Starts.Inc()
	case scheduler.Reply:
		m.Response.WithLabelValues(string(e.Answer.Outcome)).Observe(time.Duration(e.Answer.Elapsed).Seconds())
	case scheduler.Decide:
		if e.Action == scheduler.Finalize {
			m.Jobs.WithLabelValues(e.Client, string(e.Outcome), e.Reason).Inc()
		}
	case scheduler.Violate:
		m.Violations.WithLabelValues(e.Invariant).Inc()
	}
}

// Finish counts the end of a start. If the task was not started, its request and answer count
// as two control messages.
func (m *Meter) Finish(result scheduler.Result) {
	m.Ends.WithLabelValues(string(result)).Inc()
	if !result.Started() {
		m.Messages.WithLabelValues(string(result)).Add(2)
	}
}

// Report counts a report to a peer and its bytes.
func (m *Meter) Report(bytes int) {
	m.Messages.WithLabelValues("report").Inc()
	m.Bytes.Add(float64(bytes))
}

// Poll counts a poll of the platform, which consists of four messages: it reads the row and the
// host list.
func (m *Meter) Poll(failed bool) {
	m.Messages.WithLabelValues("poll").Add(4)
	result := "ok"
	if failed {
		result = "failed"
	}
	m.Polls.WithLabelValues(result).Inc()
}
