package router

import (
	"slices"
	"time"
)

// sentWithdrawal is a withdrawal that was sent to a holder and may have been lost with the
// connection.
type sentWithdrawal struct {
	Withdraw
	until time.Time // when the holder ends the job by itself
}

// maxWithdrawals bounds the withdrawals that are kept for a peer.
const maxWithdrawals = 1000

// withdrawJob withdraws a request's job from its holder, if there is one.
func (r *Router) withdrawJob(q *request) { r.withdrawFrom(q.holder, q) }

// withdrawFrom withdraws a request's job from the host at an address, which may be this host.
func (r *Router) withdrawFrom(address string, q *request) {
	if address == r.Self.Address {
		r.handleWithdraw(nil, q.newWithdraw())
		return
	}
	r.sendWithdraw(address, q)
}

// withdrawFromPrevious withdraws a request's job from its previous holders, except one at an address, as far as
// they have not been replaced: a replaced holder drops the job when it receives the new claim, and the
// next holder of its zone takes over the runs or stops them. It reports whether there was one.
func (r *Router) withdrawFromPrevious(q *request, except string) bool {
	withdrawn := false
	for i, o := range q.unresolvedOffers {
		if o.holder != except && r.isClaimCurrent(&o) {
			r.withdrawFrom(o.holder, q)
			q.unresolvedOffers[i], withdrawn = sentOffer{}, true
		}
	}
	return withdrawn
}

// isClaimCurrent reports whether the holder of an offer still has the claim under which it got the offer, as
// far as is known.
func (r *Router) isClaimCurrent(o *sentOffer) bool {
	for _, c := range r.cells {
		if o.holder != "" && c.claim.Holder.Address == o.holder && c.claim.Token == o.token {
			return true
		}
	}
	return false
}

// newWithdraw creates the withdrawal of a request.
func (q *request) newWithdraw() *Withdraw {
	return &Withdraw{ID: q.job.ID, SubmissionID: q.arrivedAt.UnixNano()}
}

// sendWithdraw withdraws a request's job from the host at an address if that is another host. The
// withdrawal is repeated over new links until that host has ended the job.
func (r *Router) sendWithdraw(address string, q *request) {
	p := r.peers[address]
	if p == nil {
		return
	}
	w := sentWithdrawal{Withdraw: *q.newWithdraw(), until: q.deadline.Add(answerGrace)}
	r.send(p, Message{Withdraw: &w.Withdraw})
	if r.now.After(w.until) {
		return
	}
	if len(p.withdrawals) == maxWithdrawals {
		p.withdrawals = slices.Delete(p.withdrawals, 0, 1)
	}
	p.withdrawals = append(p.withdrawals, w)
}

// confirmWithdrawal removes the withdrawal of a job that its holder has ended, as the verdict shows.
func (r *Router) confirmWithdrawal(holder string, v Verdict) {
	if p := r.peers[holder]; p != nil && v.Outcome != WrongHolder {
		p.withdrawals = slices.DeleteFunc(p.withdrawals, func(w sentWithdrawal) bool {
			return w.ID == v.ID && w.SubmissionID == v.SubmissionID
		})
	}
}

// forgetWithdrawals removes the withdrawals of jobs that the peer has ended at their deadline.
func (r *Router) forgetWithdrawals(p *peer) {
	p.withdrawals = slices.DeleteFunc(p.withdrawals, func(w sentWithdrawal) bool { return r.now.After(w.until) })
}

// isOfferedTo reports whether the host at an address may have the job of a request.
func (q *request) isOfferedTo(address string) bool {
	return q.holder == address || slices.ContainsFunc(q.unresolvedOffers, func(o sentOffer) bool { return o.holder == address })
}

// repeatWithdrawals sends the withdrawals again, except those of jobs that were submitted again
// since and offered to the peer: hosts of earlier versions do not compare submissions.
func (r *Router) repeatWithdrawals(p *peer) {
	r.forgetWithdrawals(p)
	for _, w := range p.withdrawals {
		if q := r.requestsByJob[w.ID]; q == nil || !q.isOfferedTo(p.member.Address) {
			r.send(p, Message{Withdraw: &w.Withdraw})
		}
	}
}
