package router

import "time"

// Bounds are the timeouts, intervals and limits of a router. Standard returns the
// default values.
type Bounds struct {
	// TickInterval is the longest time between two steps, a quarter of
	// HeartbeatInterval. It bounds how late an expired timeout is noticed.
	TickInterval time.Duration
	// HeartbeatInterval is the interval of heartbeats to monitored peers. Four
	// heartbeats fit into PeerTimeout.
	HeartbeatInterval time.Duration
	// BackgroundInterval is the interval at which a heartbeat is sent to one of the
	// background peers, in turn. It bounds the cost of peers that a host does not
	// depend on, whatever their number.
	BackgroundInterval time.Duration
	// FullMeshHosts is the number of hosts up to which every host of the cells monitors
	// every other.
	FullMeshHosts int
	// PeerTimeout is the age of the last echo at which a monitored peer counts as
	// unreachable. It covers a scheduling pause of a host with a small processor share
	// (100 ms) and the retransmission of a lost packet (200 ms).
	PeerTimeout time.Duration
	// OriginTimeout is how long a holder continues the jobs of an unresponsive host. It
	// must be shorter than RetryDelay, so that runs can be stopped before clients retry.
	OriginTimeout time.Duration
	// RetryDelay is the time after which a client whose connection has broken submits its
	// job again, to any host. No run goes on for longer after its job's host was last heard
	// or its job has ended, whether or not its target obeys Stop orders. The platform
	// states it.
	RetryDelay time.Duration
	// StartupDelay is how long a starting host waits for messages of existing holders
	// before it claims a cell. It covers setting up a connection and two heartbeats.
	StartupDelay time.Duration
	// ClaimStagger is the additional delay of each further successor before it claims a
	// cell.
	ClaimStagger time.Duration
	// MergeDelay is how long two holders must be reachable to each other before one
	// claims the other's cells: four heartbeats. Until then, the hosts on the smaller
	// side of a partition that has ended can only use the targets of their own holder.
	MergeDelay time.Duration
	// ClaimBackoff is the first delay after a claim that met a conflict or was fenced
	// off. It doubles with each further one, up to sixteen times its first value.
	ClaimBackoff time.Duration
	// MemberExpiry is how long after its last heartbeat a peer is removed.
	MemberExpiry time.Duration
	// LeaseDuration is how long the runs of a target continue after the last order. The
	// platform bounds it.
	LeaseDuration time.Duration
	// MaxClockDrift is the largest relative error of a target's clock. The platform
	// states it.
	MaxClockDrift float64
	// RenewWait is how long the answer to a renewal may wait for a run to end: half of
	// LeaseDuration, less the time of an answer.
	RenewWait time.Duration
	// IdleRenewInterval is the interval of renewals of a target without runs.
	IdleRenewInterval time.Duration
	// RenewTimeout bounds a renewal in addition to its wait: two round trips between
	// zones and the part of 100 ms for which a target may be paused.
	RenewTimeout time.Duration
	// OrderTimeout bounds a Start or a Stop. It is half of RenewTimeout, so that a job
	// with short tasks can still finish in time after a second attempt.
	OrderTimeout time.Duration
	// StopDuration is how long a target takes to stop a run. The platform states it.
	StopDuration time.Duration
	// OrphanGrace is how long a new holder lets orphans run, whose jobs may not have
	// been offered to it yet. It covers a heartbeat and the offers that follow it, at
	// hosts with a small processor share.
	OrphanGrace time.Duration
	// QuarantineDuration is how long a job of a previous holder is kept from starting
	// again, unless all targets obey this host earlier. It covers OriginTimeout, a stop
	// and a lease.
	QuarantineDuration time.Duration
	// VerdictRetention is how long verdicts are retained at least to answer repeated
	// submissions.
	VerdictRetention time.Duration
	// DirectoryInterval is the interval of reads of the directory. Two reads fit into
	// the 2 s for which a leaving target may still be used.
	DirectoryInterval time.Duration
	// UnlistedGrace is how long after a store outage a target that is no longer listed
	// may be used.
	UnlistedGrace time.Duration
	// ShutdownTimeout bounds a graceful shutdown. The platform states it.
	ShutdownTimeout time.Duration
	// ShutdownLinger is how long a host that shuts down still accepts requests. The
	// load balancer checks hosts once a second and needs two failed checks.
	ShutdownLinger time.Duration
	// MaxOrders bounds the orders to targets that are under way, except renewals that
	// wait. After a takeover many orders are due at once; the bound lets a host with a
	// small processor share handle answers and heartbeats between them. An order takes
	// 0.24 ms of a core (docs/CAPACITY.md), so 24 orders delay an answer by 15 ms at
	// 0.4 cores.
	MaxOrders int
	// OrderWindow is how long an order counts as under way. It is half of OrderTimeout,
	// so that orders to unresponsive targets delay other orders for less time.
	OrderWindow time.Duration
	// JobMemory bounds the memory of the open jobs of the held cells, in bytes, but for jobs that may
	// have started before. It is an eighth of the memory of the smallest known host.
	JobMemory int
	// MaxSharedTargets is the number of targets up to which one host holds all cells.
	// It is about three times the 48 targets of a deployment for which one host needs
	// an eighth of a core.
	MaxSharedTargets int
}

// Standard returns the default bounds.
func Standard() Bounds {
	return Bounds{
		TickInterval:       20 * time.Millisecond,
		HeartbeatInterval:  80 * time.Millisecond,
		BackgroundInterval: 500 * time.Millisecond,
		FullMeshHosts:      12,
		PeerTimeout:        400 * time.Millisecond,
		OriginTimeout:      500 * time.Millisecond,
		RetryDelay:         1300 * time.Millisecond,
		StartupDelay:       400 * time.Millisecond,
		ClaimStagger:       200 * time.Millisecond,
		MergeDelay:         320 * time.Millisecond,
		ClaimBackoff:       250 * time.Millisecond,
		MemberExpiry:       15 * time.Second,
		LeaseDuration:      time.Second,
		MaxClockDrift:      0.02,
		RenewWait:          450 * time.Millisecond,
		IdleRenewInterval:  time.Second,
		RenewTimeout:       200 * time.Millisecond,
		OrderTimeout:       100 * time.Millisecond,
		StopDuration:       50 * time.Millisecond,
		OrphanGrace:        150 * time.Millisecond,
		QuarantineDuration: 1650 * time.Millisecond,
		VerdictRetention:   5 * time.Second,
		DirectoryInterval:  700 * time.Millisecond,
		UnlistedGrace:      2500 * time.Millisecond,
		ShutdownTimeout:    6 * time.Second,
		ShutdownLinger:     2300 * time.Millisecond,
		MaxOrders:          24,
		OrderWindow:        50 * time.Millisecond,
		JobMemory:          18 << 20,
		MaxSharedTargets:   150,
	}
}
