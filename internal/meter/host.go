package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// Host holds the metrics of an entry host on a platform of leased targets. It is safe for
// concurrent use.
type Host struct {
	// Registry holds the metrics that /metrics shows.
	Registry *prometheus.Registry

	Answers      *prometheus.CounterVec   // final answers to clients, by outcome and reason
	ResponseTime *prometheus.HistogramVec // seconds from arrival to the answer, by route and outcome
	Stages       *prometheus.HistogramVec // seconds that a job spends in a stage, by route and stage
	Decisions    *prometheus.CounterVec   // decisions of the router, by action
	Orders       *prometheus.CounterVec   // answers of targets to orders, by order and result
	OrderTime    *prometheus.HistogramVec // seconds from an order to its answer, by order
	Messages     *prometheus.CounterVec   // messages between hosts, by direction and kind
	Bytes        *prometheus.CounterVec   // encoded bytes of messages, by direction and kind
	StoreCalls   *prometheus.CounterVec   // calls to the store, by call and result
	Limited      *prometheus.CounterVec   // refused requests and closed connections of clients, by address, action and cause
	HeldBytes    *prometheus.GaugeVec     // bytes that clients' connections hold, by address
	Connections  *prometheus.GaugeVec     // open connections of clients, by address
	Violations   *prometheus.CounterVec   // violations of invariants, by invariant
	Omitted      prometheus.Counter       // log lines left out
	Steps        prometheus.Histogram     // seconds per step of the router

	WaitingTasks  prometheus.Gauge // waiting tasks of the held cells
	RunningTasks  prometheus.Gauge // runs at targets of the held cells
	Utilization   prometheus.Gauge // share of the usable targets' CPU that runs use
	Fragmentation prometheus.Gauge // share of it that is free and fits no waiting task, while tasks wait
	JobMemory     prometheus.Gauge // bytes that the open jobs of the held cells take
	OpenJobs      prometheus.Gauge // jobs of this host's clients without an answer
	HeldCells     prometheus.Gauge // held cells
	KeepsCells    prometheus.Gauge // 1 while the host shuts down and keeps its cells
	Lag           prometheus.Gauge // seconds by which this host was recently late
	Members       prometheus.Gauge // reachable hosts, including this one
	ConfigVersion prometheus.Gauge // version of the current configuration
	DirectoryAge  prometheus.Gauge // seconds since this host read the directory
	Evacuated     prometheus.Gauge // evacuated zones
	EvacuationAge prometheus.Gauge // seconds since this host read the evacuated zones
	SpeedSpread   prometheus.Gauge // learned spread of the speeds of targets of one kind
	LeaseMargin   prometheus.Gauge // shortest time until a lease with runs expires, in seconds

	UnansweredOrders prometheus.Gauge // share of recent orders without an answer
	AvoidedTargets   prometheus.Gauge // targets that get no tasks because they answer no orders
	UnconfirmedRuns  prometheus.Gauge // runs that may have started, or may still start
	UnconfirmedCores prometheus.Gauge // cores that are kept for these runs
}

// NewHost returns a Host with its own registry.
func NewHost() *Host {
	h := &Host{
		Registry:      prometheus.NewRegistry(),
		Answers:       counters("answers_total", "Final answers to clients.", "outcome", "reason"),
		ResponseTime:  histograms("answer_seconds", "Time from a job's arrival to its answer.", "route", "outcome"),
		Stages:        histograms("stage_seconds", "Time that a job spends in a stage.", "route", "stage"),
		Decisions:     counters("decisions_total", "Decisions of the router.", "action"),
		Orders:        counters("orders_total", "Answers of targets to orders.", "order", "result"),
		OrderTime:     histograms("order_seconds", "Time from an order to the answer of the target.", "order"),
		Messages:      counters("link_messages_total", "Messages between entry hosts.", "direction", "kind"),
		Bytes:         counters("link_bytes_total", "Encoded bytes of messages between entry hosts.", "direction", "kind"),
		StoreCalls:    counters("store_calls_total", "Calls to the platform's store.", "call", "result"),
		Limited:       counters("limited_total", "Requests refused and connections closed to protect the host.", "address", "action", "cause"),
		HeldBytes:     gauges("held_bytes", "Bytes that the connections of clients hold.", "address"),
		Connections:   gauges("connections", "Open connections of clients.", "address"),
		Violations:    counters("violations_total", "Violations of invariants; each is a defect.", "invariant"),
		Omitted:       counter("log_lines_omitted_total", "Log lines left out to limit the log rate."),
		WaitingTasks:  gauge("waiting_tasks", "Tasks of the held cells that wait for capacity."),
		RunningTasks:  gauge("running_tasks", "Runs at the targets of the held cells."),
		Utilization:   gauge("target_utilization", "Share of the processors of usable targets that runs use."),
		Fragmentation: gauge("target_fragmentation", "Share of the processors of usable targets that is free at targets where no waiting task fits, while tasks wait."),
		JobMemory:     gauge("job_memory_bytes", "Estimated memory of the open jobs of the held cells; jobs that would exceed an eighth of the host's memory are refused."),
		OpenJobs:      gauge("open_jobs", "Jobs of this host's clients without an answer."),
		HeldCells:     gauge("held_cells", "Availability zones whose targets this host holds."),
		KeepsCells:    gauge("keeps_cells", "1 while this host shuts down and keeps its cells until a capable host takes them."),
		Lag:           gauge("lag_seconds", "Time by which this host was recently late, at most 0.4; 0 in normal operation."),
		Members:       gauge("members", "Reachable entry hosts, including this one."),
		ConfigVersion: gauge("config_version", "Version of the current configuration."),
		DirectoryAge:  gauge("directory_age_seconds", "Time since this host read the directory of targets."),
		Evacuated:     gauge("evacuated_zones", "Availability zones that are evacuated."),
		EvacuationAge: gauge("evacuations_age_seconds", "Time since this host read the evacuated zones."),
		SpeedSpread:   gauge("target_speed_spread", "Learned standard deviation of the logarithms of the speeds of targets of one kind; 0 while they count as equal."),
		LeaseMargin:   gauge("lease_margin_seconds", "Shortest time until a lease with runs expires."),

		UnansweredOrders: gauge("unanswered_order_ratio", "Share of the recent start and stop orders without an answer."),
		AvoidedTargets:   gauge("avoided_targets", "Targets that get no tasks because they answer renewals but no orders."),
		UnconfirmedRuns:  gauge("unconfirmed_runs", "Runs whose start was not answered and that are not known to be over."),
		UnconfirmedCores: gauge("unconfirmed_cores", "Cores that are kept for unconfirmed runs."),
	}
	h.Steps = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: "step_seconds", Help: "Time of one step of the router.",
		Buckets: prometheus.ExponentialBuckets(firstStepSeconds, 4, bucketCount),
	})
	h.Registry.MustRegister(
		h.Answers, h.ResponseTime, h.Stages, h.Decisions, h.Orders, h.OrderTime, h.Messages, h.Bytes, h.StoreCalls, h.Limited, h.HeldBytes, h.Connections, h.Violations, h.Omitted, h.Steps,
		h.WaitingTasks, h.RunningTasks, h.Utilization, h.Fragmentation, h.JobMemory, h.OpenJobs, h.HeldCells, h.KeepsCells, h.Lag, h.Members, h.ConfigVersion, h.DirectoryAge, h.Evacuated, h.EvacuationAge, h.SpeedSpread, h.LeaseMargin,
		h.UnansweredOrders, h.AvoidedTargets, h.UnconfirmedRuns, h.UnconfirmedCores,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return h
}

func histograms(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(firstBucketSeconds, 2, bucketCount),
	}, labels)
}

func gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// millicoresPerCore converts thousandths of a core into cores.
const millicoresPerCore = 1000

// SetGauges sets the gauges from the state of the router.
func (h *Host) SetGauges(v router.View) {
	h.WaitingTasks.Set(float64(v.Waiting))
	h.RunningTasks.Set(float64(v.Running))
	h.Utilization.Set(v.Utilization)
	h.Fragmentation.Set(v.Fragmentation)
	h.JobMemory.Set(float64(v.JobMemory))
	h.OpenJobs.Set(float64(v.Open))
	h.HeldCells.Set(float64(v.HeldCells))
	h.KeepsCells.Set(0)
	if v.KeepsCells {
		h.KeepsCells.Set(1)
	}
	h.Lag.Set(v.Lag.Seconds())
	h.Members.Set(float64(v.Members))
	h.DirectoryAge.Set(v.DirectoryAge.Seconds())
	h.Evacuated.Set(float64(v.EvacuatedZones))
	h.EvacuationAge.Set(v.EvacuationsAge.Seconds())
	h.SpeedSpread.Set(v.SpeedSpread)
	h.LeaseMargin.Set(v.LeaseMargin.Seconds())
	h.UnansweredOrders.Set(v.Orders.UnansweredShare)
	h.AvoidedTargets.Set(float64(v.Orders.AvoidedTargets))
	h.UnconfirmedRuns.Set(float64(v.Orders.UnconfirmedRuns))
	h.UnconfirmedCores.Set(float64(v.Orders.UnconfirmedCPU) / millicoresPerCore)
	if v.Config != nil {
		h.ConfigVersion.Set(float64(v.Config.Version))
	}
}

// RecordOrder counts the answer to an order and records its duration.
func (h *Host) RecordOrder(order, result string, duration time.Duration) {
	h.Orders.WithLabelValues(order, result).Inc()
	h.OrderTime.WithLabelValues(order).Observe(duration.Seconds())
}

// CountMessage counts a message to or from another host and its encoded bytes.
func (h *Host) CountMessage(direction, kind string, bytes int) {
	h.Messages.WithLabelValues(direction, kind).Inc()
	h.Bytes.WithLabelValues(direction, kind).Add(float64(bytes))
}
