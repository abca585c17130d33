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

// demands draws clients with demands at hosts.
func demands(t *rapid.T) []Demand {
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

// TestDivide requires that nothing is lost or given twice, that no demand gets
// more than it wants, that slots are spare only when all are satisfied, and that
// the order of the demands does not matter.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := float64(rapid.IntRange(0, 300).Draw(t, "slots"))
		list := demands(t)
		shuffled := slices.Clone(list)
		slices.Reverse(shuffled)
		d := Divide(slots, list)
		assert.Equal(t, d, Divide(slots, shuffled))
		sum := d.Spare
		for i, s := range d.Shares {
			sum += s.Slots
			if s.Slots > list[i].Tasks+tolerance || s.Slots < 0 {
				t.Fatalf("%+v of %+v", s, list[i])
			}
			if !s.Satisfied && d.Spare > tolerance {
				t.Fatalf("%v slots are spare and %+v is not satisfied", d.Spare, s)
			}
		}
		assert.InDelta(t, slots, sum, tolerance)
	})
}

// TestDivideIsFair requires that no client that wants more has less a weight
// than another has.
func TestDivideIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := demands(t)
		d := Divide(float64(rapid.IntRange(0, 300).Draw(t, "slots")), list)
		totals := sum(list)
		for i := range totals {
			for _, s := range d.Shares[totals[i].from:totals[i].to] {
				totals[i].given += s.Slots
			}
		}
		for _, a := range totals {
			for _, b := range totals {
				wants := a.given < a.tasks-tolerance
				if wants && b.given/b.weight > a.given/a.weight+tolerance {
					t.Fatalf("%+v wants more, and %+v has more a weight", a, b)
				}
			}
		}
	})
}

// TestLay requires that the ranges cover all slots without overlap.
func TestLay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 300).Draw(t, "slots")
		reserve := rapid.IntRange(0, 3).Draw(t, "reserve")
		holders := []Holder{{Host: "h0", Reserve: reserve}, {Host: "h1"}, {Host: "h2", Reserve: reserve}, {Host: "h3"}}
		next := 0
		for _, r := range Lay(Divide(float64(slots), demands(t)), holders) {
			if r.From != next || r.To < r.From {
				t.Fatalf("%+v after %d", r, next)
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
