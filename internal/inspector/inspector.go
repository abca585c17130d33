// Package inspector requests the states of entry hosts that hold leased targets, and compares
// them.
package inspector

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/shallotrouter/shallotrouter/internal/asker"
	"github.com/shallotrouter/shallotrouter/internal/router"
)

// Path is the HTTP path of a host's state, at the addresses of its links and its metrics.
const Path = "/state"

// Inspector requests the states of hosts. Its fields are set before use.
type Inspector struct {
	// Hosts are the addresses of the hosts' links or metrics, for example 10.0.0.1:7102.
	Hosts []string
	// HTTP is the client for the requests.
	HTTP *http.Client
}

// HostState is the state of one host, or the problem that prevented its request.
type HostState struct {
	Address string        `json:"address"`
	State   *router.State `json:"state,omitempty"`
	Problem string        `json:"problem,omitempty"`
}

// FetchAll requests the states of all hosts in parallel and returns them in the order of Hosts.
func (i *Inspector) FetchAll(ctx context.Context) []HostState {
	return asker.QueryFunc[HostState](i.inspect).QueryAll(ctx, i.Hosts)
}

// inspect requests the state of one host.
func (i *Inspector) inspect(ctx context.Context, host string) HostState {
	state, err := i.fetch(ctx, host)
	if err != nil {
		return HostState{Address: host, Problem: err.Error()}
	}
	return HostState{Address: host, State: state}
}

func (i *Inspector) fetch(ctx context.Context, host string) (*router.State, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+Path, nil)
	if err != nil {
		return nil, err
	}
	response, err := i.HTTP.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the host answered %s; use the address of its links or metrics", response.Status)
	}
	state := &router.State{}
	return state, json.NewDecoder(response.Body).Decode(state)
}
