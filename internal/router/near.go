package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/profiler"
	"github.com/shallotrouter/shallotrouter/internal/separator"
)

const (
	// successorCount is how many likely successors of a holder all hosts of the cell
	// monitor, so that a takeover starts from a recent view of the hosts. It is two
	// because two hosts occasionally fail together.
	successorCount = 2
	// holderlessSuccessorCount replaces successorCount while the cell lacks a holder.
	// After the loss of half of all hosts, the first five successors are all lost in
	// one of 32 cases.
	holderlessSuccessorCount = 5
	// heartbeatRequestDuration is how long a request for heartbeats at the short
	// interval stays valid. It covers several heartbeats of the peer, each of which
	// repeats the request.
	heartbeatRequestDuration = time.Second
	// successorExclusionPeriod is how long an unresponsive host is not considered a
	// successor, unless a heartbeat of it arrives.
	successorExclusionPeriod = 5 * time.Second
	// maxMissedBackgroundRounds is how many rounds of background heartbeats a
	// background peer may miss.
	maxMissedBackgroundRounds = 3
	// claimsInterval is the interval at which unchanged claims are sent again, so that
	// a peer that missed a heartbeat with claims receives them before the sender's
	// PeerTimeout expires.
	claimsInterval = 400 * time.Millisecond
	// distantHeartbeats is the number of heartbeat intervals after which a distant peer is sent a
	// heartbeat. Two leave time for one that is late within PeerTimeout.
	distantHeartbeats = 2
	// learnedStateInterval is the interval at which a holder sends its learned state.
	learnedStateInterval = time.Second
)

// sharesCells reports whether this host shares cells with the hosts of a zone: with all
// hosts while one host holds every cell, otherwise with those of its own zone.
func (r *Router) sharesCells(zone string) bool { return zone == r.Self.Zone || !r.holderPerZone }

// cellHostCount returns the number of known hosts that share cells with this one, this
// host included.
func (r *Router) cellHostCount() int {
	count := 1
	for _, p := range r.peers {
		if r.sharesCells(p.member.Zone) {
			count++
		}
	}
	return count
}

// peerTimeout returns the age of the last echo from which on a peer counts as
// unreachable. A peer that has just become monitored keeps the longer timeout of
// background peers until it has had time to answer.
func (r *Router) peerTimeout(p *peer) time.Duration {
	if p.monitored && r.hasHadTimeToAnswer(p) {
		return r.Bounds.PeerTimeout + r.lagAllowance(p)
	}
	return r.backgroundPeerTimeout()
}

// hasHadTimeToAnswer reports whether a monitored peer has had the time to answer a
// heartbeat since it became monitored.
func (r *Router) hasHadTimeToAnswer(p *peer) bool {
	return r.now.Sub(p.monitoredSince) >= r.Bounds.PeerTimeout/2
}

// backgroundPeerTimeout returns the timeout of background peers.
func (r *Router) backgroundPeerTimeout() time.Duration {
	return max(r.Bounds.PeerTimeout, maxMissedBackgroundRounds*time.Duration(len(r.peers))*r.Bounds.BackgroundInterval)
}

// memberExpiry returns how long after its last heartbeat a peer is removed.
func (r *Router) memberExpiry() time.Duration {
	return max(r.Bounds.MemberExpiry, r.backgroundPeerTimeout())
}

// isPresumedAlive reports whether a peer may become a holder as far as is known: it is
// registered, is not leaving, has not exited, and was not found unresponsive within
// successorExclusionPeriod.
func (r *Router) isPresumedAlive(p *peer) bool {
	return !p.leaving && !p.exited && p.member.Slot > 0 && (p.unresponsiveSince.IsZero() || r.now.Sub(p.unresponsiveSince) > successorExclusionPeriod)
}

// compareCandidates orders candidates for cells by strength, strongest first. Slot and
// address break ties.
func compareCandidates(a, b Member) int {
	return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(b.LinkRate, a.LinkRate), cmp.Compare(a.Slot, b.Slot), cmp.Compare(a.Address, b.Address))
}

// hubAddresses returns the addresses of the hubs: the holders and their likely
// successors, which all hosts of the cells monitor. Other hosts need not monitor each
// other, so the heartbeats of a host do not grow with the number of hosts.
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

// updateMonitoredPeers recomputes the hubs and which peers are monitored.
func (r *Router) updateMonitoredPeers() {
	r.updateHolderPerZone()
	r.hubs = r.hubAddresses()
	r.fullMesh = r.cellHostCount() <= r.Bounds.FullMeshHosts
	for _, p := range r.peers {
		r.updateMonitored(p)
	}
}

// updateMonitored decides whether a peer is monitored: it has asked for heartbeats
// recently, or this host needs heartbeats from it.
func (r *Router) updateMonitored(p *peer) {
	monitored := !p.heartbeatsRequestedAt.IsZero() && r.now.Sub(p.heartbeatsRequestedAt) < heartbeatRequestDuration || r.needsHeartbeatsFrom(p)
	if monitored && !p.monitored {
		p.monitoredSince = r.now
		r.dial(p)
	}
	p.monitored = monitored
}

// needsHeartbeatsFrom reports whether this host needs heartbeats from a peer at the
// short interval: it holds the peer's cell, the peer is a hub, or the two share cells
// and this host is a hub or all hosts monitor each other.
func (r *Router) needsHeartbeatsFrom(p *peer) bool {
	if c := r.cells[p.member.Zone]; c != nil && c.heldHere || r.hubs[p.member.Address] || r.isFollowedHolder(p.member.Address) {
		return true
	}
	return r.sharesCells(p.member.Zone) && (r.fullMesh || r.hubs[r.Self.Address])
}

func (r *Router) sendDueHeartbeats() {
	if r.now.Sub(r.lastHeartbeatAt) >= r.Bounds.HeartbeatInterval {
		r.sendHeartbeats()
	}
	if r.now.Sub(r.lastBackgroundHeartbeatAt) >= r.Bounds.BackgroundInterval {
		r.lastBackgroundHeartbeatAt = r.now
		r.sendBackgroundHeartbeat()
	}
}

// sendHeartbeats sends a heartbeat to every monitored peer. Most heartbeats are brief,
// without claims and without the sender's name and address.
func (r *Router) sendHeartbeats() {
	r.lastHeartbeatAt = r.now
	r.updateMonitoredPeers()
	heartbeat := r.newHeartbeat()
	var targetSpeeds []profiler.Speed
	var interferences []separator.Pair
	speedSpread := 0
	if r.holdsAnyCell() && r.now.Sub(r.learnedStateSentAt) >= learnedStateInterval {
		r.learnedStateSentAt = r.now
		heartbeat.Routes, heartbeat.Speeds = r.exportLearnedState()
		targetSpeeds, speedSpread = r.profiler.Export(r.now, maxSentTargetSpeeds)
		interferences = r.separator.Pairs(maxSentInterferences)
		r.crashesSentAt = r.now.Add(-crashExportPeriod)
	}
	if r.holdsAnyCell() && r.crashes.changedAt.After(r.crashesSentAt) {
		heartbeat.Crashes, heartbeat.Acquittals = r.crashes.recentReport(r.crashesSentAt)
		r.crashesSentAt = r.now
	}
	claims := r.knownClaims()
	for _, p := range r.sortedPeers() {
		if !p.monitored || r.isDistant(p) && r.now.Sub(p.heartbeatSentAt) < distantHeartbeats*r.Bounds.HeartbeatInterval {
			continue
		}
		p.heartbeatSentAt = r.now
		r.dial(p)
		peerHeartbeat := heartbeat
		peerHeartbeat.echoTo(p)
		peerHeartbeat.WantsHeartbeats = r.needsHeartbeatsFrom(p)
		if r.hubs[p.member.Address] {
			peerHeartbeat.TargetSpeeds, peerHeartbeat.SpeedSpread, peerHeartbeat.Interferences = targetSpeeds, speedSpread, interferences
		}
		if !p.claimsSentAt.After(r.lastSharedChangeAt) || r.now.Sub(p.claimsSentAt) >= claimsInterval {
			peerHeartbeat.Claims, peerHeartbeat.Evacuations, p.claimsSentAt = claims, r.knownEvacuations(), r.now
		} else {
			peerHeartbeat.Member = Member{Incarnation: r.Self.Incarnation}
		}
		r.send(p, Message{Heartbeat: &peerHeartbeat})
	}
}

// isDistant reports whether a peer shares no cells with this host, apart from two holders that follow each
// other. While jobs are referred, all hosts of a zone are connected to the holders of its neighbours.
func (r *Router) isDistant(p *peer) bool {
	return !r.sharesCells(p.member.Zone) && !(r.holdsAnyCell() && r.isFollowedHolder(p.member.Address))
}

// sendBackgroundHeartbeat sends a heartbeat to the background peer that shares cells
// with this host and has waited longest for one.
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

// knownClaims returns the known claims of cells that this host holds, shares or follows.
func (r *Router) knownClaims() []Claim {
	var claims []Claim
	for _, zone := range sortedKeys(r.cells) {
		if c := r.cells[zone]; c.claim.Token > 0 && (c.heldHere || r.sharesCells(zone) || r.followedZones[zone]) {
			claim := c.claim
			claim.RowVersion = c.rowVersion
			claims = append(claims, claim)
		}
	}
	return claims
}

// knownEvacuations returns the evacuated zones for a heartbeat, or nil if they are not known.
func (r *Router) knownEvacuations() *Evacuations {
	if !r.knowsEvacuations() {
		return nil
	}
	e := r.evacuations
	return &e
}

// sendFullHeartbeat sends a peer a heartbeat with the claims and the sender's name and
// address.
func (r *Router) sendFullHeartbeat(p *peer) {
	heartbeat := r.newHeartbeat()
	heartbeat.echoTo(p)
	heartbeat.WantsHeartbeats = r.needsHeartbeatsFrom(p)
	heartbeat.Claims, heartbeat.Evacuations = r.knownClaims(), r.knownEvacuations()
	p.claimsSentAt = r.now
	r.send(p, Message{Heartbeat: &heartbeat})
}

// isDirectoryDue reports whether a peer that lacks the current directory should receive
// it now. Hubs, all hosts of a full mesh and peers without any directory receive it at
// once; other peers at most once in directoryResendInterval.
func (r *Router) isDirectoryDue(p *peer) bool {
	sinceSent := r.now.Sub(p.directorySentAt)
	if p.directoryVersion == 0 || r.fullMesh || r.hubs[p.member.Address] {
		return p.sentDirectoryVersion < r.directory.Version || sinceSent >= stateResendInterval
	}
	if sinceSent < directoryResendInterval || sinceSent >= wholeDirectoryInterval {
		return sinceSent >= wholeDirectoryInterval
	}
	return r.directoryMessage(p.directoryVersion).DirectoryChanges != nil
}
