package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/shallotrouter/shallotrouter/internal/asker"
	"github.com/shallotrouter/shallotrouter/internal/scheduler"
)

// HostClient sends operators' requests to entry hosts. Its fields are set before use.
type HostClient struct {
	// Hosts are the base URLs of the entry hosts.
	Hosts []string
	// Token is the operators' bearer token.
	Token string
	// HTTP sends the requests.
	HTTP  *http.Client
	Clock clockwork.Clock
}

// HostStatus is the status of one host. If the status is unknown, Status is nil and Problem
// is the reason.
type HostStatus struct {
	Address string            `json:"address"`
	Status  *scheduler.Status `json:"status,omitempty"`
	Problem string            `json:"problem,omitempty"`
}

// ReadAll reads the status of all hosts concurrently. The answers are in the order of Hosts.
func (s *HostClient) ReadAll(ctx context.Context) []HostStatus {
	return asker.QueryFunc[HostStatus](s.queryHost).QueryAll(ctx, s.Hosts)
}

// queryHost reads the status of one host.
func (s *HostClient) queryHost(ctx context.Context, host string) HostStatus {
	status, err := s.readStatus(ctx, host)
	if err != nil {
		return HostStatus{Address: host, Problem: err.Error()}
	}
	return HostStatus{Address: host, Status: &status}
}

func (s *HostClient) readStatus(ctx context.Context, host string) (scheduler.Status, error) {
	var v scheduler.Status
	response, err := s.send(ctx, http.MethodGet, host+"/v1/status")
	if err != nil {
		return v, err
	}
	defer response.Body.Close()
	return v, json.NewDecoder(response.Body).Decode(&v)
}

// send sends a request. It returns an error unless the response has a 2xx status.
func (s *HostClient) send(ctx context.Context, method, url string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+s.Token)
	response, err := s.HTTP.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode/100 != 2 {
		response.Body.Close()
		return nil, fmt.Errorf("the host answered %s; check the operators' token", response.Status)
	}
	return response, nil
}

// DrainHost requests a graceful shutdown of a host.
func (s *HostClient) DrainHost(ctx context.Context, host string) error {
	response, err := s.send(ctx, http.MethodPost, host+"/v1/drain")
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// WaitForVersion polls the hosts until each has at least the given version active or the
// context is done. After each round it calls progress with the number of these hosts and of
// all hosts. It returns the state of the hosts that do not have the version.
func (s *HostClient) WaitForVersion(ctx context.Context, version uint64, progress func(updated, all int)) []HostStatus {
	const pollInterval = 200 * time.Millisecond
	for {
		var outdated []HostStatus
		for _, f := range s.ReadAll(ctx) {
			if f.Status == nil || f.Status.ConfigVersion < version {
				outdated = append(outdated, f)
			}
		}
		progress(len(s.Hosts)-len(outdated), len(s.Hosts))
		if len(outdated) == 0 {
			return nil
		}
		timer := s.Clock.NewTimer(pollInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return outdated
		case <-timer.Chan():
		}
	}
}

// Targets returns the host's view of the targets, nil when its status is unknown.
func (f HostStatus) Targets() []scheduler.TargetStatus {
	if f.Status == nil {
		return nil
	}
	return f.Status.Targets
}

// Clients returns the host's clients, nil when its status is unknown.
func (f HostStatus) Clients() []scheduler.ClientStatus {
	if f.Status == nil {
		return nil
	}
	return f.Status.Clients
}
