// Package divider divides a zone's slots between clients and entry hosts. Every
// host computes the same division from the same reports, so hosts need no
// permission from each other to use slots.
package divider

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// Demand is the demand of one client at one host.
type Demand struct {
	// Host and Client are the names of the host and the client.
	Host   string
	Client string
	// Weight is the client's declared weight. It must be above 0.
	Weight float64
	// Tasks counts the client's running and waiting tasks at the host.
	Tasks float64
}

// Share is the part of the slots that one client has at one host.
type Share struct {
	Host   string
	Client string
	// Slots is the number of slots; it may be fractional.
	Slots float64
	// Satisfied reports whether the client's demand at the host is fully met.
	Satisfied bool
}

// Division is the result of Divide.
type Division struct {
	// Shares are sorted by client, then by host.
	Shares []Share
	// Spare is the number of slots that are left after all demands are met.
	Spare float64
	// Level is the number of slots per unit of weight that a client gets if its
	// demand exceeds its share. If every demand is met, it is the number of all
	// slots, but at least 1.
	Level float64
}

// Divide assigns to each client its weighted max-min fair share of the slots, and
// divides this share between the client's hosts, again max-min fair. A small demand
// at one host therefore does not wait behind a large demand at another. The result
// does not depend on the order of demands. Divide sorts demands in place and does
// not retain the slice.
func Divide(slots float64, demands []Demand) Division {
	slices.SortFunc(demands, func(a, b Demand) int {
		if c := strings.Compare(a.Client, b.Client); c != 0 {
			return c
		}
		return strings.Compare(a.Host, b.Host)
	})
	clients := sumByClient(demands)
	spare, level := assignMaxMin(slots, clients)
	shares := make([]Share, 0, len(demands))
	for _, client := range clients {
		hosts := make([]allotment, 0, client.end-client.first)
		for _, d := range demands[client.first:client.end] {
			hosts = append(hosts, allotment{weight: 1, tasks: d.Tasks})
		}
		assignMaxMin(client.assigned, hosts)
		for i, d := range demands[client.first:client.end] {
			shares = append(shares, Share{
				Host: d.Host, Client: d.Client, Slots: hosts[i].assigned, Satisfied: hosts[i].assigned >= hosts[i].tasks-tolerance,
			})
		}
	}
	return Division{Shares: shares, Spare: spare, Level: level}
}

// allotment is a demand and the slots assigned to it. The demand is that of one
// client at all hosts or that of one client at one host.
type allotment struct {
	first, end int
	weight     float64
	tasks      float64
	assigned   float64
}

func sumByClient(demands []Demand) []allotment {
	var clients []allotment
	for i, d := range demands {
		if i == 0 || demands[i-1].Client != d.Client {
			clients = append(clients, allotment{first: i, weight: d.Weight})
		}
		client := &clients[len(clients)-1]
		client.end = i + 1
		client.tasks += d.Tasks
		client.weight = max(client.weight, d.Weight)
	}
	return clients
}

// assignMaxMin assigns the slots max-min fair by weight. It returns the slots left
// after all demands are met and the slots per unit of weight that unmet demands get.
func assignMaxMin(slots float64, allotments []allotment) (spare, level float64) {
	level = max(slots, 1)
	order := make([]*allotment, 0, len(allotments))
	weight := 0.0
	for i := range allotments {
		if allotments[i].tasks > 0 {
			order = append(order, &allotments[i])
			weight += allotments[i].weight
		}
	}
	slices.SortStableFunc(order, func(a, b *allotment) int {
		return cmp.Compare(a.tasks/a.weight, b.tasks/b.weight)
	})
	for _, t := range order {
		t.assigned = min(t.tasks, slots*t.weight/weight)
		if t.assigned < t.tasks {
			level = min(level, slots/weight)
		}
		slots -= t.assigned
		weight -= t.weight
	}
	return max(slots, 0), level
}

// Holder is a host that holds a range of slots.
type Holder struct {
	Host string
	// Reserve is the number of slots that the host gets in addition to its shares.
	Reserve int
}

// Range is the range of slots that one host holds. The index of a slot refers to
// an order of all slots that is the same at every host.
type Range struct {
	Host     string
	From, To int
}

// Slots returns the number of slots in the range.
func (r Range) Slots() int { return r.To - r.From }

// AssignRanges converts a division into one range of whole slots for each host, by the
// largest remainder method. Spare slots are divided equally between the hosts.
// Holders must be sorted by host and contain every host of the division. A small
// change of the division moves the ends of the ranges only a little.
func AssignRanges(d Division, holders []Holder) []Range {
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
	for i, n := range roundToSlots(exact) {
		to := from + n + holders[i].Reserve
		ranges[i] = Range{Host: holders[i].Host, From: from, To: to}
		from = to
	}
	return ranges
}

// roundToSlots rounds to whole numbers whose sum is the exact sum, rounded down. The
// largest remainders are rounded up.
func roundToSlots(exact []float64) []int {
	whole := make([]int, len(exact))
	order := make([]int, len(exact))
	sum, assigned := 0.0, 0
	for i, e := range exact {
		whole[i] = int(math.Floor(e + tolerance))
		order[i] = i
		sum += e
		assigned += whole[i]
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(exact[b]-float64(whole[b]), exact[a]-float64(whole[a]))
	})
	for _, i := range order {
		if assigned >= int(math.Floor(sum+tolerance)) {
			break
		}
		whole[i]++
		assigned++
	}
	return whole
}

// tolerance is the accepted floating-point error in numbers of slots.
const tolerance = 1e-6
