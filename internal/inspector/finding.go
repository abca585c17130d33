package inspector

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// staleAfter is the age of the holder's list of targets from which leaving targets may
// be used for longer than the 2 s that their operators grant.
const staleAfter = 2 * time.Second

// Findings tells in sentences what is wrong by what the hosts believe; there are none
// when all is well.
func Findings(sights []Sight) []string {
	var list []string
	var states []*router.State
	for _, s := range sights {
		if s.State == nil {
			list = append(list, fmt.Sprintf("%s does not answer: %s", s.Address, s.Problem))
			continue
		}
		states = append(states, s.State)
		list = append(list, oneHost(s.State)...)
	}
	list = append(list, differ("configuration", states, func(s *router.State) map[string]string {
		return map[string]string{"": "version " + strconv.FormatUint(s.Config, 10)}
	})...)
	return append(list, differ("holder", states, holders)...)
}

// oneHost tells what is wrong at one host.
func oneHost(s *router.State) []string {
	var list []string
	note := func(format string, args ...any) { list = append(list, s.Host+" "+fmt.Sprintf(format, args...)) }
	if s.Slot == 0 {
		note("is not registered in the store yet")
	}
	if s.Config == 0 {
		note("has no configuration")
	}
	for _, p := range s.Peers {
		if !p.Reachable && !p.Leaving {
			note("does not reach %s", p.Host)
		}
	}
	holds := false
	for _, c := range s.Cells {
		holds = holds || c.Holder == s.Host && c.Reachable
		if !c.Reachable {
			note("has had no holder for zone %s for %v", c.Zone, c.Absent.Round(time.Millisecond))
		}
	}
	if holds && s.DirectoryAge < 0 {
		note("holds targets by a list of another host and has never read it; look at the store")
	}
	if holds && s.DirectoryAge > staleAfter {
		note("holds targets by a list that it has not read for %v; look at the store", s.DirectoryAge.Round(time.Millisecond))
	}
	return list
}

// holders returns the holder of each zone by a host.
func holders(s *router.State) map[string]string {
	list := make(map[string]string)
	for _, c := range s.Cells {
		if c.Reachable {
			list["of zone "+c.Zone] = c.Holder
		}
	}
	return list
}

// differ tells in what the hosts do not agree.
func differ(what string, states []*router.State, values func(*router.State) map[string]string) []string {
	said := make(map[string]map[string][]string) // hosts, by key and value
	for _, s := range states {
		for key, value := range values(s) {
			if said[key] == nil {
				said[key] = make(map[string][]string)
			}
			said[key][value] = append(said[key][value], s.Host)
		}
	}
	var list []string
	for _, key := range slices.Sorted(maps.Keys(said)) {
		if len(said[key]) < 2 {
			continue
		}
		var parts []string
		for _, value := range slices.Sorted(maps.Keys(said[key])) {
			parts = append(parts, fmt.Sprintf("%s at %s", value, strings.Join(said[key][value], ", ")))
		}
		list = append(list, strings.TrimSpace(fmt.Sprintf("hosts do not agree on the %s %s", what, key))+": "+strings.Join(parts, "; "))
	}
	return list
}
