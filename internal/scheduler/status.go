package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/declarer"
)

// InspectHost requests the host's status. It is answered by a HostInspected effect.
type InspectHost struct{ Request uint64 }

func (InspectHost) event() {}

// HostInspected answers an InspectHost request.
type HostInspected struct {
	Request uint64
	Status  Status
}

func (HostInspected) effect() {}

// Status is the status of a host for operators.
type Status struct {
	Host             string `json:"host"`
	Zone             string `json:"zone"`
	Phase            Phase  `json:"phase"`
	ConfigVersion    uint64 `json:"version"`
	Preset           string `json:"preset"`
	DirectoryVersion uint64 `json:"directory"`
	OpenJobs         int    `json:"open"`
	WaitingTasks     int    `json:"waiting"`
	RetainedJobs     int    `json:"kept"`
	RetainedBytes    int    `json:"kept_bytes"`
	TicketRanges     int    `json:"ranges"`
	// PlatformAge is the time since the platform was last read; -1 means never.
	PlatformAge time.Duration  `json:"age"`
	Peers       []PeerStatus   `json:"peers"`
	Targets     []TargetStatus `json:"targets"`
	Clients     []ClientStatus `json:"clients"`
	Quotas      []QuotaStatus  `json:"quotas"`
}

// PeerStatus is the state of one peer as the host sees it.
type PeerStatus struct {
	Host          string        `json:"host"`
	State         PeerState     `json:"state"`
	ReportAge     time.Duration `json:"age"`
	ConfigVersion uint64        `json:"version"`
}

// TargetStatus is the state of one target as the host sees it.
type TargetStatus struct {
	Target       string      `json:"target"`
	Service      string      `json:"service"`
	State        TargetState `json:"state"`
	Slots        int         `json:"slots"`
	OwnTasks     int         `json:"own"`
	PeerTasks    int         `json:"others"`
	RunTimeRatio float64     `json:"ratio"`
	Ejector      string      `json:"ejector,omitempty"`
	// Reason describes what caused the target's state.
	Reason string `json:"why,omitempty"`
}

// ClientStatus is the state of one client of one service at the host.
type ClientStatus struct {
	Service string  `json:"service"`
	Client  string  `json:"client"`
	Waiting int     `json:"waiting"`
	Running int     `json:"running"`
	Weight  float64 `json:"weight"`
	Share   float64 `json:"share"`
}

// QuotaStatus is the host's part of the slots of one service.
type QuotaStatus struct {
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	Quota   int    `json:"quota"`
	Running int    `json:"running"`
}

// handleSurvey answers with the host's status.
func (s *Scheduler) handleSurvey(e InspectHost) {
	st := Status{
		Host: s.Host, Zone: s.Zone, Phase: s.Phase(), DirectoryVersion: s.directory.Version,
		OpenJobs: s.openJobs, WaitingTasks: s.waitingTasks, RetainedJobs: len(s.retained), RetainedBytes: s.retainedBytes, TicketRanges: s.ledger.Ranges(),
	}
	if s.config != nil {
		st.ConfigVersion, st.Preset = s.config.Version, string(s.config.Row.Preset)
	}
	for _, r := range s.peers {
		st.Peers = append(st.Peers, PeerStatus{
			Host: r.report.Host, State: PeerState(r.machine.Current()), ReportAge: s.now.Sub(r.lastReceived), ConfigVersion: r.report.Config,
		})
	}
	slices.SortFunc(st.Peers, func(a, b PeerStatus) int { return strings.Compare(a.Host, b.Host) })
	for _, name := range s.serviceNames {
		s.addPoolStatus(s.pools[name], &st)
	}
	s.emit(HostInspected{Request: e.Request, Status: st})
}

func (s *Scheduler) addPoolStatus(p *pool, st *Status) {
	st.Quotas = append(st.Quotas, QuotaStatus{Service: p.service.Name, Slots: s.usableSlots(p), Quota: p.quota, Running: p.running})
	for _, t := range p.targets {
		st.Targets = append(st.Targets, TargetStatus{
			Target: t.name, Service: p.service.Name, State: t.state(), Slots: t.slots,
			OwnTasks: t.ownTasks, PeerTasks: t.peerTasks, RunTimeRatio: t.runTimeRatio, Ejector: t.ejector, Reason: t.stateReason,
		})
	}
	for _, name := range p.clientNames() {
		f := p.flows[name]
		st.Clients = append(st.Clients, ClientStatus{
			Service: p.service.Name, Client: name, Waiting: f.waiting, Running: f.running, Weight: f.declaredWeight, Share: f.weight,
		})
	}
}

// View is the part of the state that the transports use.
type View struct {
	Phase     Phase
	Config    *declarer.Config
	Directory Directory
	// Hosts is the number of present entry hosts of the zone, including this one.
	Hosts int
}

// View returns the current view. The scheduler does not modify the values that it
// points to.
func (s *Scheduler) View() View {
	hosts := 1
	for _, r := range s.peers {
		if r.isPresent() {
			hosts++
		}
	}
	return View{Phase: s.Phase(), Config: s.config, Directory: s.directory, Hosts: hosts}
}

// OpenJobs returns the number of jobs without a final answer.
func (s *Scheduler) OpenJobs() int { return s.openJobs }

// WaitingTasks returns the number of tasks that wait for a slot.
func (s *Scheduler) WaitingTasks() int { return s.waitingTasks }
