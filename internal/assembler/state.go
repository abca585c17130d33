package assembler

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// stateTimeout bounds the wait for the router's state. It is less than half of shallotctl's
// default timeout of 5 s.
const stateTimeout = 2 * time.Second

// stateSource provides the router's state. driver.Driver implements it.
type stateSource interface {
	Inspect(ctx context.Context) (router.State, error)
}

// stateHandler serves the router's state to operators as JSON.
type stateHandler struct {
	host stateSource
	log  logr.Logger
}

// ServeHTTP responds with the state, or with status 503 when the router does not provide it
// within stateTimeout.
func (h *stateHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), stateTimeout)
	defer cancel()
	state, err := h.host.Inspect(ctx)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(state); err != nil {
		h.log.V(1).Info("state not sent", "error", err.Error())
	}
}
