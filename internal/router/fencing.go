package router

// fencing counts the claims of this host under which a target has answered that it obeys a higher
// token.
type fencing struct {
	claims int
	token  uint64 // of the last of these claims
}

// minFencedClaims is the number of claims in a row from which a target that rejects their tokens, and
// is alone in that, counts as one that obeys the token of no host.
const minFencedClaims = 2

// isFencedAlone records that a target rejects the token of a cell's claim. It reports whether only
// this target does, and did so before, so that another holder is not the cause. The target then
// counts as unresponsive: its runs end with their leases, and it gets no starts.
//
// The other targets obey this host, and none of them starts what another host orders under a lower
// token. Another target that rejects the token makes this host release the cell, until it counts as such a
// target too.
func (r *Router) isFencedAlone(c *cell, t *target) bool {
	f := r.fencings[t.ID]
	if f.token != c.claim.Token {
		f = fencing{claims: f.claims + 1, token: c.claim.Token}
	}
	r.fencings[t.ID] = f
	if f.claims < minFencedClaims || !r.hasOtherObeyingTarget(c, t) {
		return false
	}
	t.fenced, t.missedRenewals = false, t.missedRenewals+1
	if t.missedRenewals == 1 {
		r.logTarget(t, "foreign", "token", t.token, "claims", f.claims)
	}
	return true
}

// hasOtherObeyingTarget reports whether another target of the cell has accepted the claim's token, or
// may do so, as it has not had the time to answer.
func (r *Router) hasOtherObeyingTarget(c *cell, t *target) bool {
	recentlyAcquired := r.now.Sub(c.acquiredAt) < r.Bounds.RenewTimeout
	for _, other := range r.sortedTargets {
		if other != t && other.Zone == c.zone && (other.fenced || recentlyAcquired && r.fencings[other.ID].token != c.claim.Token) {
			return true
		}
	}
	return false
}
