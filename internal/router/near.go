package router

import (
	"cmp"
	"slices"
	"time"
)

const (
	// successorCount is how many of the next holders of a cell all its hosts stay in
	// close touch with, so that a takeover starts from fresh knowledge: two fail
	// together now and then.
	successorCount = 2
	// holderlessSuccessorCount is how many they are while the cell lacks a holder: after the
	// loss of half of all hosts, five in a row are lost in one of 32 cases.
	holderlessSuccessorCount = 5
	// heartbeatRequestDuration is how long a peer is sent the heartbeats that it has asked for: several
	// of its own.
	heartbeatRequestDuration = time.Second
	// successorExclusionPeriod is how long a host that did not answer is passed over as a successor,
	// unless it is heard of.
	successorExclusionPeriod = 5 * time.Second
	// maxMissedBackgroundRounds is how many heartbeats in a row a peer that is not near may miss.
	maxMissedBackgroundRounds = 3
	// claimsInterval is the period at which claims are told that have not changed: a
	// heartbeat that was lost is made up for before its sender counts as silent.
	claimsInterval = 400 * time.Millisecond
	// learnedStateInterval is the period at which a holder tells what it has learned.
	learnedStateInterval = time.Second
)

// sharesCells reports whether a cell is shared with the hosts of a zone: with all
// while one host holds every cell, otherwise with those of this host's zone.
func (r *Router) sharesCells(zone string) bool { return zone == r.Self.Zone || !r.zonesSplit }

// cellHostCount counts the known hosts of this host's cells, itself included.
func (r *Router) cellHostCount() int {
	count := 1
	for _, p := range r.peers {
		if r.sharesCells(p.member.Zone) {
			count++
		}
	}
	return count
}

// peerTimeout returns how long a peer may be unheard. One that has only just become near
// is given the time of an answer first.
func (r *Router) peerTimeout(p *peer) time.Duration {
	if p.monitored && r.hasHadTimeToAnswer(p) {
		return r.Bounds.PeerTimeout
	}
	return r.backgroundPeerTimeout()
}

// hasHadTimeToAnswer reports whether a near peer has had the time to answer.
func (r *Router) hasHadTimeToAnswer(p *peer) bool {
	return r.now.Sub(p.monitoredSince) >= r.Bounds.PeerTimeout/2
}

// backgroundPeerTimeout returns how long peers that are not near may be unheard.
func (r *Router) backgroundPeerTimeout() time.Duration {
	return max(r.Bounds.PeerTimeout, maxMissedBackgroundRounds*time.Duration(len(r.peers))*r.Bounds.BackgroundInterval)
}

// memberExpiry returns when an unheard peer no longer counts as a member.
func (r *Router) memberExpiry() time.Duration {
	return max(r.Bounds.MemberExpiry, r.backgroundPeerTimeout())
}

// isPresumedAlive reports whether a peer may be alive as far as is known.
func (r *Router) isPresumedAlive(p *peer) bool {
	return !p.leaving && !p.exited && p.member.Slot > 0 && (p.unresponsiveSince.IsZero() || r.now.Sub(p.unresponsiveSince) > successorExclusionPeriod)
}

// compareCandidates orders candidates for cells: strong hosts first.
func compareCandidates(a, b Member) int {
	return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(b.LinkRate, a.LinkRate), cmp.Compare(a.Slot, b.Slot), cmp.Compare(a.Address, b.Address))
}

// hubAddresses returns the addresses of the hosts that all hosts of a cell stay in close
// touch with: its holder and those that would hold it next. Other hosts need not
// hear of each other often, so a host's heartbeats do not grow with their number.
func (r *Router) hubAddresses() map[string]bool {
	hubs := make(map[string]bool)
	for zone, c := range r.cells {
		if c.claim.Token > 0 && r.sharesCells(zone) {
			hubs[c.claim.Holder.Address] = true
		}
	}
	maxSuccessors := successorCount
	if c := r.cells[r.Self.Zone]; c != nil && !c.holderlessSince.IsZero() {
		maxSuccessors = holderlessSuccessorCount
	}
	candidates := make([]Member, 0, len(r.peers)+1)
	if r.Self.Slot > 0 && r.leavingSince.IsZero() {
		candidates = append(candidates, r.Self)
	}
	for _, p := range r.peers {
		if r.isPresumedAlive(p) && r.sharesCells(p.member.Zone) && !hubs[p.member.Address] {
			candidates = append(candidates, p.member)
		}
	}
	slices.SortFunc(candidates, compareCandidates)
	for _, m := range candidates[:min(maxSuccessors, len(candidates))] {
		hubs[m.Address] = true
	}
	return hubs
}

// updateMonitoredPeers decides which peers are near.
func (r *Router) updateMonitoredPeers() {
	r.updateZonesSplit()
	r.hubs = r.hubAddresses()
	r.fullMesh = r.cellHostCount() <= r.Bounds.FullMeshHosts
	for _, p := range r.peers {
		r.updateMonitored(p)
	}
}

// updateMonitored decides whether a peer is near: it has asked to be, or one of the two holds
// the other's cell or would hold it next.
func (r *Router) updateMonitored(p *peer) {
	monitored := !p.heartbeatsRequestedAt.IsZero() && r.now.Sub(p.heartbeatsRequestedAt) < heartbeatRequestDuration || r.needsHeartbeatsFrom(p)
	if monitored && !p.monitored {
		p.monitoredSince = r.now
		r.dial(p)
	}
	p.monitored = monitored
}

// needsHeartbeatsFrom reports whether this host needs a peer's heartbeats at the short period.
func (r *Router) needsHeartbeatsFrom(p *peer) bool {
	if c := r.cells[p.member.Zone]; c != nil && c.heldHere || r.hubs[p.member.Address] {
		return true
	}
	return r.sharesCells(p.member.Zone) && (r.fullMesh || r.hubs[r.Self.Address])
}

// sendDueHeartbeats sends heartbeats when they are due.
func (r *Router) sendDueHeartbeats() {
	if r.now.Sub(r.lastHeartbeatAt) >= r.Bounds.HeartbeatInterval {
		r.sendHeartbeats()
	}
	if r.now.Sub(r.lastBackgroundHeartbeatAt) >= r.Bounds.BackgroundInterval {
		r.lastBackgroundHeartbeatAt = r.now
		r.sendBackgroundHeartbeat()
	}
}

// sendHeartbeats sends a heartbeat to every near peer.
func (r *Router) sendHeartbeats() {
	r.lastHeartbeatAt = r.now
	r.updateMonitoredPeers()
	heartbeat := r.newHeartbeat()
	if r.holdsAnyCell() && r.now.Sub(r.learnedStateSentAt) >= learnedStateInterval {
		r.learnedStateSentAt = r.now
		heartbeat.Routes, heartbeat.Speeds = r.routes()
	}
	claims := r.knownClaims()
	for _, p := range r.sortedPeers() {
		if !p.monitored {
			continue
		}
		r.dial(p)
		peerHeartbeat := heartbeat
		peerHeartbeat.Echo, peerHeartbeat.WantsHeartbeats = p.lastPeerTimestamp, r.needsHeartbeatsFrom(p)
		if !p.claimsSentAt.After(r.lastClaimChangeAt) || r.now.Sub(p.claimsSentAt) >= claimsInterval {
			peerHeartbeat.Claims, p.claimsSentAt = claims, r.now
		} else {
			peerHeartbeat.Member = Member{Incarnation: r.Self.Incarnation}
		}
		r.send(p, Message{Heartbeat: &peerHeartbeat})
	}
}

// sendBackgroundHeartbeat sends a heartbeat to the related peer that has waited for one longest.
func (r *Router) sendBackgroundHeartbeat() {
	var longestWaiting *peer
	for _, p := range r.sortedPeers() {
		if !p.monitored && r.sharesCells(p.member.Zone) && (longestWaiting == nil || p.claimsSentAt.Before(longestWaiting.claimsSentAt)) {
			longestWaiting = p
		}
	}
	if longestWaiting != nil {
		r.dial(longestWaiting)
		r.sendFullHeartbeat(longestWaiting)
	}
}

// knownClaims returns the cells whose holders are known and matter to this host's zone.
func (r *Router) knownClaims() []Claim {
	var claims []Claim
	for _, zone := range sortedKeys(r.cells) {
		if c := r.cells[zone]; c.claim.Token > 0 && (c.heldHere || r.sharesCells(zone)) {
			claim := c.claim
			claim.RowVersion = c.rowVersion
			claims = append(claims, claim)
		}
	}
	return claims
}

// sendFullHeartbeat sends a whole heartbeat to one peer.
func (r *Router) sendFullHeartbeat(p *peer) {
	heartbeat := r.newHeartbeat()
	heartbeat.Echo, heartbeat.Claims, heartbeat.WantsHeartbeats = p.lastPeerTimestamp, r.knownClaims(), r.needsHeartbeatsFrom(p)
	p.claimsSentAt = r.now
	r.send(p, Message{Heartbeat: &heartbeat})
}

// isDirectoryDue reports whether a peer that lacks the directory in force is sent it now:
// those that might hold the cell next at once, and others in turn.
func (r *Router) isDirectoryDue(p *peer) bool {
	sinceSent := r.now.Sub(p.directorySentAt)
	if p.directoryVersion == 0 || r.fullMesh || r.hubs[p.member.Address] {
		return p.sentDirectoryVersion < r.directory.Version || sinceSent >= stateResendInterval
	}
	return sinceSent >= directoryResendInterval
}
