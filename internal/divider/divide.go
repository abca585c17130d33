// Package divider splits a zone's slots between clients and entry hosts. Every
// host computes the same division from the same reports, so no host grants
// anything to another.
package divider

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// Demand is what one client wants at one host.
type Demand struct {
	// Host and Client name the two.
	Host   string
	Client string
	// Weight is the client's declared share, above zero.
	Weight float64
	// Tasks counts the client's running and waiting tasks at the host.
	Tasks float64
}

// Share is the part of the slots that one client has at one host.
type Share struct {
	Host   string
	Client string
	// Slots is a number of slots, with a fraction.
	Slots float64
	// Satisfied tells that the client gets all that it wants.
	Satisfied bool
}

// Division is the result of Divide.
type Division struct {
	// Shares are ordered by client, then host.
	Shares []Share
	// Spare is the number of slots that no demand needs.
	Spare float64
	// Level is the slots a unit of weight that a client with more demand than
	// its share gets; with spare slots it is all slots.
	Level float64
}

// Divide gives each client its weighted max-min share of slots, and each of the
// client's hosts a max-min share of that, so that a small demand at one host does
// not wait behind a large one at another. It does not depend on the order of
// demands and does not keep them; it sorts them in place.
func Divide(slots float64, demands []Demand) Division {
	slices.SortFunc(demands, func(a, b Demand) int {
		if c := strings.Compare(a.Client, b.Client); c != 0 {
			return c
		}
		return strings.Compare(a.Host, b.Host)
	})
	totals := sum(demands)
	left, level := fill(slots, totals)
	shares := make([]Share, 0, len(demands))
	for _, t := range totals {
		hosts := make([]total, 0, t.to-t.from)
		for _, d := range demands[t.from:t.to] {
			hosts = append(hosts, total{weight: 1, tasks: d.Tasks})
		}
		fill(t.given, hosts)
		for i, d := range demands[t.from:t.to] {
			shares = append(shares, Share{
				Host: d.Host, Client: d.Client, Slots: hosts[i].given, Satisfied: hosts[i].given >= hosts[i].tasks-tolerance,
			})
		}
	}
	return Division{Shares: shares, Spare: left, Level: level}
}

// total is one demand to be filled: a client's over all hosts, or a host's.
type total struct {
	from, to int
	weight   float64
	tasks    float64
	given    float64
}

func sum(demands []Demand) []total {
	var totals []total
	for i, d := range demands {
		if i == 0 || demands[i-1].Client != d.Client {
			totals = append(totals, total{from: i, weight: d.Weight})
		}
		t := &totals[len(totals)-1]
		t.to = i + 1
		t.tasks += d.Tasks
		t.weight = max(t.weight, d.Weight)
	}
	return totals
}

// fill raises all clients' levels together until the slots or the demands are
// used up, and returns the slots left over and the level.
func fill(slots float64, totals []total) (left, level float64) {
	level = max(slots, 1)
	order := make([]*total, 0, len(totals))
	weight := 0.0
	for i := range totals {
		if totals[i].tasks > 0 {
			order = append(order, &totals[i])
			weight += totals[i].weight
		}
	}
	slices.SortStableFunc(order, func(a, b *total) int {
		return cmp.Compare(a.tasks/a.weight, b.tasks/b.weight)
	})
	for _, t := range order {
		t.given = min(t.tasks, slots*t.weight/weight)
		if t.given < t.tasks {
			level = min(level, slots/weight)
		}
		slots -= t.given
		weight -= t.weight
	}
	return max(slots, 0), level
}

// Holder is a host that gets slots.
type Holder struct {
	Host string
	// Reserve is a number of slots that the host gets beside its shares.
	Reserve int
}

// Range is the part of the slots, in an order that all hosts share, that one host
// holds.
type Range struct {
	Host     string
	From, To int
}

// Slots returns the length of the range.
func (r Range) Slots() int { return r.To - r.From }

// Lay turns a division into one range a host, by largest remainder. The spare
// slots go to the hosts in equal parts. Holders must be sorted by host and hold
// every host of the division. A small change of the division moves the ends of
// the ranges by little.
func Lay(d Division, holders []Holder) []Range {
	exact := make([]float64, len(holders))
	for i := range holders {
		exact[i] = d.Spare / float64(len(holders))
	}
	for _, s := range d.Shares {
		i, ok := slices.BinarySearchFunc(holders, s.Host, func(h Holder, host string) int { return strings.Compare(h.Host, host) })
		if ok {
			exact[i] += s.Slots
		}
	}
	ranges := make([]Range, len(holders))
	from := 0
	for i, n := range round(exact) {
		to := from + n + holders[i].Reserve
		ranges[i] = Range{Host: holders[i].Host, From: from, To: to}
		from = to
	}
	return ranges
}

// round returns whole numbers close to the exact ones, with the same sum rounded
// down.
func round(exact []float64) []int {
	whole := make([]int, len(exact))
	order := make([]int, len(exact))
	sum, given := 0.0, 0
	for i, e := range exact {
		whole[i] = int(math.Floor(e + tolerance))
		order[i] = i
		sum += e
		given += whole[i]
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(exact[b]-float64(whole[b]), exact[a]-float64(whole[a]))
	})
	for _, i := range order {
		if given >= int(math.Floor(sum+tolerance)) {
			break
		}
		whole[i]++
		given++
	}
	return whole
}

// tolerance absorbs the rounding errors of the division.
const tolerance = 1e-6
