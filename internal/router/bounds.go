package router

import "time"

// Bounds are the limits of a router. Standard returns the usual ones.
type Bounds struct {
	// Tick is the longest time between two steps. It bounds how late a timeout
	// is noticed; a fifth of a heartbeat.
	Tick time.Duration
	// Beat is the period of heartbeats: four fit into Silence.
	Beat time.Duration
	// Far is the period at which one of the peers that are not near is sent a
	// heartbeat, one after the other: it bounds what a host spends on peers that it
	// does not depend on, however many there are.
	Far time.Duration
	// Mesh is the number of hosts up to which all are near to each other.
	Mesh int
	// Silence is how long a near peer may be unheard. It covers a pause of a host
	// with a small processor share (100 ms) and a lost packet (200 ms).
	Silence time.Duration
	// Trust is how long a holder runs the jobs of a silent host. With a stop
	// it must end before the client sends the job again (1.3 s on the users'
	// platform).
	Trust time.Duration
	// Settle is how long a starting host listens for holders before it claims
	// a cell: the time of a connection and two heartbeats.
	Settle time.Duration
	// Stagger is what each further successor waits for the one before it.
	Stagger time.Duration
	// Merge is how long two holders must be in touch before one takes the
	// other's cells: four heartbeats. After a cut, hosts of the smaller side have
	// only its targets until then.
	Merge time.Duration
	// Backoff is the first wait after a claim that was beaten or fenced; it
	// doubles up to sixteen times.
	Backoff time.Duration
	// Forget is when an unheard peer no longer counts as a member.
	Forget time.Duration
	// Lease is how long a target runs on after the last order. The platform
	// bounds it.
	Lease time.Duration
	// Drift is the greatest relative error of a target's clock. The platform
	// states it.
	Drift float64
	// Wait is how long a renewal waits for an end: half a lease less an answer.
	Wait time.Duration
	// Idle is the period of renewals of a target that runs nothing.
	Idle time.Duration
	// Order bounds a renewal beyond its wait: twice a round trip between zones
	// and the share of a tenth of a second that a target may be paused.
	Order time.Duration
	// Prompt bounds a Start or a Stop: half of Order, so that a job with short
	// tasks can still be in time after a second try.
	Prompt time.Duration
	// Stop is how long a target takes to stop a run. The platform states it.
	Stop time.Duration
	// Orphan is how long a new holder keeps runs whose job it was not told of:
	// a heartbeat and the offers that it brings about, at hosts with a small
	// processor share.
	Orphan time.Duration
	// Quarantine is how long a job that another holder had is kept from
	// starting anew, unless all targets obey this host before: Trust, a stop
	// and a lease.
	Quarantine time.Duration
	// Keep is how long verdicts are remembered for repeated submissions.
	Keep time.Duration
	// Directory is the period of reads of the list of targets: two fit into
	// the time that a leaving target may still be used (2 s).
	Directory time.Duration
	// Absent is how long a target that the list no longer shows may be used
	// after the store was away.
	Absent time.Duration
	// Grace bounds a graceful shutdown. The platform states it.
	Grace time.Duration
	// Linger is how long a stopping host takes requests: the balancer looks
	// once a second and needs two misses.
	Linger time.Duration
	// Orders bounds the orders to targets under way, but for renewals that wait. When
	// there are many at once, as after a takeover, a small processor share gets to the
	// answers and heartbeats between them: an order takes 0.24 ms of a core (bench,
	// docs/CAPACITY.md), so that they delay an answer by 15 ms at 0.4 cores.
	Orders int
	// OrderSpan is how long an order counts as under way: half of Prompt, so that those to
	// silent targets hold up others for less.
	OrderSpan time.Duration
	// Split is the number of targets up to which one host holds all cells: three
	// times the 48 of a deployment that takes an eighth of a core.
	Split int
}

// Standard returns the usual bounds.
func Standard() Bounds {
	return Bounds{
		Tick:       20 * time.Millisecond,
		Beat:       80 * time.Millisecond,
		Far:        500 * time.Millisecond,
		Mesh:       12,
		Silence:    400 * time.Millisecond,
		Trust:      500 * time.Millisecond,
		Settle:     400 * time.Millisecond,
		Stagger:    200 * time.Millisecond,
		Merge:      320 * time.Millisecond,
		Backoff:    250 * time.Millisecond,
		Forget:     15 * time.Second,
		Lease:      time.Second,
		Drift:      0.02,
		Wait:       450 * time.Millisecond,
		Idle:       time.Second,
		Order:      200 * time.Millisecond,
		Prompt:     100 * time.Millisecond,
		Stop:       50 * time.Millisecond,
		Orphan:     150 * time.Millisecond,
		Quarantine: 1650 * time.Millisecond,
		Keep:       5 * time.Second,
		Directory:  700 * time.Millisecond,
		Absent:     2500 * time.Millisecond,
		Grace:      6 * time.Second,
		Linger:     2300 * time.Millisecond,
		Orders:     24,
		OrderSpan:  50 * time.Millisecond,
		Split:      150,
	}
}
