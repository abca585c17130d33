package router

// Policy chooses between ways to queue and to refuse. The zero value is the one to
// serve with; the others are there to be measured against it.
type Policy struct {
	Order     Order
	Admission Admission
	Sharing   Sharing
	Retries   Retries
}

// Order is which of the waiting jobs comes first.
type Order string

const (
	// ByStart places first what must start first, and late jobs last.
	ByStart Order = ""
	// ByArrival places jobs as they came.
	ByArrival Order = "arrival"
)

// Admission is which jobs are refused at once.
type Admission string

const (
	// ByBacklog refuses jobs that cannot be in time behind the work before them.
	ByBacklog Admission = ""
	// AdmitAll refuses none that fits a target.
	AdmitAll Admission = "all"
)

// Sharing is what a route may take while there is not enough for all.
type Sharing string

const (
	// FairShares gives each route what it asks for up to an even level.
	FairShares Sharing = ""
	// Unshared lets routes take what they can get.
	Unshared Sharing = "none"
)

// Retries is how a job is treated whose client has waited for an answer before.
type Retries string

const (
	// AsLate places it after the jobs that can still be in time.
	AsLate Retries = ""
	// AsNew places it as if its client had just come.
	AsNew Retries = "new"
)
