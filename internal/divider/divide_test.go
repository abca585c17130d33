package divider

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func ExampleDivide() {
	d := Divide(12, []Demand{
		{Host: "h1", Client: "small", Weight: 1, Tasks: 2},
		{Host: "h1", Client: "large", Weight: 1, Tasks: 50},
		{Host: "h2", Client: "large", Weight: 1, Tasks: 3},
	})
	for _, s := range d.Shares {
		fmt.Println(s.Host, s.Client, s.Slots)
	}
	// Output:
	// h1 large 7
	// h2 large 3
	// h1 small 2
}

// drawDemands draws random demands of up to 6 clients at up to 4 hosts.
func drawDemands(t *rapid.T) []Demand {
	var list []Demand
	for c := range rapid.IntRange(0, 6).Draw(t, "clients") {
		weight := rapid.Float64Range(0.1, 10).Draw(t, "weight")
		for h := range rapid.IntRange(1, 4).Draw(t, "hosts") {
			list = append(list, Demand{
				Host: fmt.Sprint("h", h), Client: fmt.Sprint("c", c), Weight: weight, Tasks: float64(rapid.IntRange(0, 200).Draw(t, "tasks")),
			})
		}
	}
	return list
}

// TestDivideAssignsEachSlotOnce requires that every slot is assigned or spare, that
// no demand gets more slots than it has tasks, that slots are spare only if all
// demands are satisfied, and that the order of the demands does not matter.
func TestDivideAssignsEachSlotOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := float64(rapid.IntRange(0, 300).Draw(t, "slots"))
		list := drawDemands(t)
		shuffled := slices.Clone(list)
		slices.Reverse(shuffled)
		d := Divide(slots, list)
		assert.Equal(t, d, Divide(slots, shuffled))
		sum := d.Spare
		for i, s := range d.Shares {
			sum += s.Slots
			if s.Slots > list[i].Tasks+tolerance || s.Slots < 0 {
				t.Fatalf("share %+v exceeds the demand %+v or is negative", s, list[i])
			}
			if !s.Satisfied && d.Spare > tolerance {
				t.Fatalf("%v slots are spare and the share %+v is not satisfied", d.Spare, s)
			}
		}
		assert.InDelta(t, slots, sum, tolerance)
	})
}

// TestDivideIsMaxMinFair requires that a client with unmet demand has at least as
// many slots per unit of weight as every other client.
func TestDivideIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := drawDemands(t)
		d := Divide(float64(rapid.IntRange(0, 300).Draw(t, "slots")), list)
		clients := sumByClient(list)
		for i := range clients {
			for _, s := range d.Shares[clients[i].first:clients[i].end] {
				clients[i].assigned += s.Slots
			}
		}
		for _, a := range clients {
			for _, b := range clients {
				wants := a.assigned < a.tasks-tolerance
				if wants && b.assigned/b.weight > a.assigned/a.weight+tolerance {
					t.Fatalf("%+v has unmet demand, and %+v has more slots per unit of weight", a, b)
				}
			}
		}
	})
}

// TestRangesCoverAllSlots requires that the ranges cover all slots without overlap
// or gap.
func TestRangesCoverAllSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 300).Draw(t, "slots")
		reserve := rapid.IntRange(0, 3).Draw(t, "reserve")
		holders := []Holder{{Host: "h0", Reserve: reserve}, {Host: "h1"}, {Host: "h2", Reserve: reserve}, {Host: "h3"}}
		next := 0
		for _, r := range AssignRanges(Divide(float64(slots), drawDemands(t)), holders) {
			if r.From != next || r.To < r.From {
				t.Fatalf("range %+v does not start at slot %d or has a negative length", r, next)
			}
			next = r.To
		}
		assert.Equal(t, slots+2*reserve, next)
	})
}

func BenchmarkDivide(b *testing.B) {
	var list []Demand
	for c := range 150 {
		for h := range 4 {
			list = append(list, Demand{Host: fmt.Sprint("h", h), Client: fmt.Sprint("c", c), Weight: 1, Tasks: float64(c * h)})
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		Divide(688, list)
	}
}
