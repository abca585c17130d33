package inspector

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// maxDirectoryAge is the age of a holder's directory above which the holder may use leaving
// targets for longer than the 2 s that their operators allow.
const maxDirectoryAge = 2 * time.Second

// maxEvacuationsAge is the age of a host's evacuated zones above which the host may start
// tasks in an evacuated zone for longer than the 5 s that operators allow.
const maxEvacuationsAge = 5 * time.Second

// Findings returns a sentence for each fault that the states of the hosts show, or none if
// there is no fault.
func Findings(sights []HostState) []string {
	var findings []string
	var states []*router.State
	for _, s := range sights {
		if s.State == nil {
			findings = append(findings, fmt.Sprintf("%s does not answer: %s", s.Address, s.Problem))
			continue
		}
		states = append(states, s.State)
		findings = append(findings, hostFindings(s.State)...)
	}
	findings = append(findings, disagreements("configuration", states, func(s *router.State) map[string]string {
		return map[string]string{"": "version " + strconv.FormatUint(s.Config, 10)}
	})...)
	findings = append(findings, disagreements("set of evacuated zones", states, func(s *router.State) map[string]string {
		return map[string]string{"": cmp.Or(strings.Join(s.Evacuations.Zones, ", "), "none")}
	})...)
	return append(findings, disagreements("holder", states, reachableHolders)...)
}

// hostFindings returns the faults that the state of one host shows.
func hostFindings(s *router.State) []string {
	var findings []string
	add := func(format string, args ...any) { findings = append(findings, s.Host+" "+fmt.Sprintf(format, args...)) }
	if s.Slot == 0 {
		add("is not registered in the store yet")
	}
	if s.Config == 0 {
		add("has no configuration")
	}
	for _, p := range s.Peers {
		if !p.Reachable && !p.Leaving {
			add("does not reach %s", p.Host)
		}
	}
	isHolder := false
	for _, c := range s.Cells {
		isHolder = isHolder || c.Holder == s.Host && c.Reachable
		if !c.Reachable {
			add("has had no holder for zone %s for %v", c.Zone, c.Absent.Round(time.Millisecond))
		}
	}
	if finding := evacuationFinding(s); finding != "" {
		add("%s", finding)
	}
	if isHolder && s.DirectoryAge < 0 {
		add("uses the directory of another host for the targets that it holds, and has never read it itself; check the store")
	}
	if isHolder && s.DirectoryAge > maxDirectoryAge {
		add("has not read the directory of the targets that it holds for %v; check the store", s.DirectoryAge.Round(time.Millisecond))
	}
	return findings
}

// evacuationFinding tells whether a host's knowledge of the evacuated zones is missing or old.
func evacuationFinding(s *router.State) string {
	switch {
	case s.Evacuations.Version == 0:
		return "does not know which zones are evacuated and starts no tasks; check the store"
	case s.Evacuations.Age > maxEvacuationsAge:
		return fmt.Sprintf("has not read the evacuated zones for %v; check the store", s.Evacuations.Age.Round(time.Millisecond))
	}
	return ""
}

// reachableHolders returns the reachable holder of each zone in the state of a host.
func reachableHolders(s *router.State) map[string]string {
	holders := make(map[string]string)
	for _, c := range s.Cells {
		if c.Reachable {
			holders["of zone "+c.Zone] = c.Holder
		}
	}
	return holders
}

// disagreements returns a sentence for each key for which the states of the hosts have
// different values.
func disagreements(subject string, states []*router.State, values func(*router.State) map[string]string) []string {
	hosts := make(map[string]map[string][]string) // hosts, by key and value
	for _, s := range states {
		for key, value := range values(s) {
			if hosts[key] == nil {
				hosts[key] = make(map[string][]string)
			}
			hosts[key][value] = append(hosts[key][value], s.Host)
		}
	}
	var findings []string
	for _, key := range slices.Sorted(maps.Keys(hosts)) {
		if len(hosts[key]) < 2 {
			continue
		}
		var parts []string
		for _, value := range slices.Sorted(maps.Keys(hosts[key])) {
			parts = append(parts, fmt.Sprintf("%s at %s", value, strings.Join(hosts[key][value], ", ")))
		}
		findings = append(findings, strings.TrimSpace(fmt.Sprintf("hosts do not agree on the %s %s", subject, key))+": "+strings.Join(parts, "; "))
	}
	return findings
}
