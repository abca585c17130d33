package router

import "time"

// Bounds are the limits of a router. Standard returns the usual ones.
type Bounds struct {
	// TickInterval is the longest time between two steps. It bounds how late a timeout
	// is noticed; a fifth of a heartbeat.
	TickInterval time.Duration
	// HeartbeatInterval is the period of heartbeats: four fit into PeerTimeout.
	HeartbeatInterval time.Duration
	// BackgroundInterval is the period at which one of the peers that are not near is sent a
	// heartbeat, one after the other: it bounds what a host spends on peers that it
	// does not depend on, however many there are.
	BackgroundInterval time.Duration
	// FullMeshHosts is the number of hosts up to which all are near to each other.
	FullMeshHosts int
	// PeerTimeout is how long a near peer may be unheard. It covers a pause of a host
	// with a small processor share (100 ms) and a lost packet (200 ms).
	PeerTimeout time.Duration
	// OriginTimeout is how long a holder runs the jobs of a silent host. With a stop
	// it must end before the client sends the job again (1.3 s on the users'
	// platform).
	OriginTimeout time.Duration
	// StartupDelay is how long a starting host listens for holders before it claims
	// a cell: the time of a connection and two heartbeats.
	StartupDelay time.Duration
	// ClaimStagger is what each further successor waits for the one before it.
	ClaimStagger time.Duration
	// MergeDelay is how long two holders must be in touch before one takes the
	// other's cells: four heartbeats. After a cut, hosts of the smaller side have
	// only its targets until then.
	MergeDelay time.Duration
	// ClaimBackoff is the first wait after a claim that was beaten or fenced; it
	// doubles up to sixteen times.
	ClaimBackoff time.Duration
	// MemberExpiry is when an unheard peer no longer counts as a member.
	MemberExpiry time.Duration
	// LeaseDuration is how long a target runs on after the last order. The platform
	// bounds it.
	LeaseDuration time.Duration
	// MaxClockDrift is the greatest relative error of a target's clock. The platform
	// states it.
	MaxClockDrift float64
	// RenewWait is how long a renewal waits for an end: half a lease less an answer.
	RenewWait time.Duration
	// IdleRenewInterval is the period of renewals of a target that runs nothing.
	IdleRenewInterval time.Duration
	// RenewTimeout bounds a renewal beyond its wait: twice a round trip between zones
	// and the share of a tenth of a second that a target may be paused.
	RenewTimeout time.Duration
	// OrderTimeout bounds a Start or a Stop: half of RenewTimeout, so that a job with short
	// tasks can still be in time after a second try.
	OrderTimeout time.Duration
	// StopDuration is how long a target takes to stop a run. The platform states it.
	StopDuration time.Duration
	// OrphanGrace is how long a new holder keeps runs whose job it was not told of:
	// a heartbeat and the offers that it brings about, at hosts with a small
	// processor share.
	OrphanGrace time.Duration
	// QuarantineDuration is how long a job that another holder had is kept from
	// starting anew, unless all targets obey this host before: OriginTimeout, a stop
	// and a lease.
	QuarantineDuration time.Duration
	// VerdictRetention is how long verdicts are remembered for repeated submissions.
	VerdictRetention time.Duration
	// DirectoryInterval is the period of reads of the list of targets: two fit into
	// the time that a leaving target may still be used (2 s).
	DirectoryInterval time.Duration
	// UnlistedGrace is how long a target that the list no longer shows may be used
	// after the store was away.
	UnlistedGrace time.Duration
	// ShutdownTimeout bounds a graceful shutdown. The platform states it.
	ShutdownTimeout time.Duration
	// ShutdownLinger is how long a stopping host takes requests: the balancer looks
	// once a second and needs two misses.
	ShutdownLinger time.Duration
	// MaxOrders bounds the orders to targets under way, but for renewals that wait. When
	// there are many at once, as after a takeover, a small processor share gets to the
	// answers and heartbeats between them: an order takes 0.24 ms of a core (bench,
	// docs/CAPACITY.md), so that they delay an answer by 15 ms at 0.4 cores.
	MaxOrders int
	// OrderWindow is how long an order counts as under way: half of OrderTimeout, so that those to
	// silent targets hold up others for less.
	OrderWindow time.Duration
	// MaxSharedTargets is the number of targets up to which one host holds all cells: three
	// times the 48 of a deployment that takes an eighth of a core.
	MaxSharedTargets int
}

// Standard returns the usual bounds.
func Standard() Bounds {
	return Bounds{
		TickInterval:       20 * time.Millisecond,
		HeartbeatInterval:  80 * time.Millisecond,
		BackgroundInterval: 500 * time.Millisecond,
		FullMeshHosts:      12,
		PeerTimeout:        400 * time.Millisecond,
		OriginTimeout:      500 * time.Millisecond,
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
		MaxSharedTargets:   150,
	}
}
