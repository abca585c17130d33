package modeler

import "github.com/shallotrouter/shallotrouter/internal/router"

// ResetClients breaks the connections of a random TargetShare of the clients that wait for an answer, at
// moments within the Duration. The clients resend their jobs after resendDelay.
const ResetClients FaultKind = "reset-clients"

// resetClients injects ResetClients.
func (sm *Simulation) resetClients(f Fault) {
	for _, id := range sortedKeys(sm.clients) {
		c := sm.clients[id]
		if c.ended || c.host == nil || sm.random.Float64() >= f.TargetShare {
			continue
		}
		h, requestID := c.host, c.requestID
		sm.schedule(sm.drawDuration(0, f.Duration), func() { c.reset(h, requestID) })
	}
}

// reset breaks the connection on which the client waits for an answer to a request.
func (c *client) reset(h *host, requestID uint64) {
	if c.ended || c.host != h || c.requestID != requestID {
		return
	}
	h.schedule(clientDelay, func() { h.step(router.ClientGone{Request: requestID}) })
	c.scheduleResend()
}
