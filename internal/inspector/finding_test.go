package inspector

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// sound returns the states of two hosts that agree; the first holds the zone.
func sound() []Sight {
	state := func(name, peer string) *router.State {
		return &router.State{
			Host: name, Zone: "north", Slot: 1, Config: 4, DirectoryAge: 300 * time.Millisecond,
			Peers: []router.PeerState{{Host: peer, Reachable: true}},
			Cells: []router.CellState{{Zone: "north", Holder: "a", Reachable: true}},
		}
	}
	return []Sight{{Address: "10.0.0.1:1", State: state("a", "b")}, {Address: "10.0.0.2:1", State: state("b", "a")}}
}

// TestFindings: each thing that is wrong is told once, with the hosts that tell it.
func TestFindings(t *testing.T) {
	for _, c := range []struct {
		spoil func(list []Sight)
		want  []string
	}{
		{func([]Sight) {}, nil},
		{func(list []Sight) { list[1] = Sight{Address: "10.0.0.2:1", Problem: "refused"} }, []string{"10.0.0.2:1 does not answer: refused"}},
		{func(list []Sight) { list[1].State.Slot = 0 }, []string{"b is not registered in the store yet"}},
		{func(list []Sight) { list[0].State.Peers[0].Reachable = false }, []string{"a does not reach b"}},
		{func(list []Sight) {
			list[0].State.Peers[0] = router.PeerState{Host: "b", Leaving: true}
		}, nil},
		{
			func(list []Sight) { list[1].State.Config = 3 },
			[]string{"hosts do not agree on the configuration: version 3 at b; version 4 at a"},
		},
		{
			func(list []Sight) { list[1].State.Cells[0].Holder = "b" },
			[]string{"hosts do not agree on the holder of zone north: a at a; b at b"},
		},
		{
			func(list []Sight) {
				list[1].State.Cells[0] = router.CellState{Zone: "north", Absent: 900 * time.Millisecond}
			},
			[]string{"b has had no holder for zone north for 900ms"},
		},
		{
			func(list []Sight) { list[0].State.DirectoryAge = 3 * time.Second },
			[]string{"a holds targets by a list that it has not read for 3s; look at the store"},
		},
		{func(list []Sight) { list[1].State.DirectoryAge = 3 * time.Second }, nil},
		{
			func(list []Sight) { list[0].State.DirectoryAge = -1 },
			[]string{"a holds targets by a list of another host and has never read it; look at the store"},
		},
	} {
		list := sound()
		c.spoil(list)
		assert.Equal(t, c.want, Findings(list))
	}
}
