// Package ticketer issues, signs and verifies the tickets that make resubmission
// safe, and records which tickets have been used.
package ticketer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/shallotrouter/shallotrouter"
)

// macBytes is the length of the truncated MAC.
const macBytes = 16

// maxTextBytes limits the length of a ticket's text.
const maxTextBytes = 512

// Ticket is the right to start one job once at its home, the entry host that issued
// the ticket.
type Ticket struct {
	// Home is the address of the entry host that issued the ticket.
	Home string `cbor:"1,keyasint"`
	// Incarnation is the start time of the home process in Unix nanoseconds.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Number counts the tickets of one incarnation from 1.
	Number uint64 `cbor:"3,keyasint"`
	// Client is the name of the client to which the ticket was issued.
	Client string `cbor:"4,keyasint"`
}

// Short returns a text that identifies the ticket in logs, without its MAC.
func (t Ticket) Short() string {
	return fmt.Sprintf("%s/%x/%d", t.Home, t.Incarnation, t.Number)
}

// Sealer signs and verifies tickets with a key that all entry hosts share. It is
// safe for concurrent use once Key is set.
type Sealer struct {
	// Key is the shared secret key of the MAC.
	Key []byte
}

// Seal returns the text of the ticket, which includes its MAC.
func (s *Sealer) Seal(t Ticket) (string, error) {
	body, err := cbor.Marshal(t)
	if err != nil {
		return "", err
	}
	return base64.RawURLEncoding.EncodeToString(append(body, s.computeMAC(body)...)), nil
}

// Open verifies a text and returns its ticket. For a text that Seal did not return
// with the same key, the error is a *shallotrouter.Error with the reason Malformed.
func (s *Sealer) Open(text string) (Ticket, error) {
	var t Ticket
	if len(text) > maxTextBytes {
		return t, shallotrouter.Errorf(shallotrouter.Malformed, "ticket is longer than %d bytes; take a new one", maxTextBytes)
	}
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(data) <= macBytes {
		return t, shallotrouter.Errorf(shallotrouter.Malformed, "ticket is not readable; submit it as it was given, or take a new one")
	}
	body, mac := data[:len(data)-macBytes], data[len(data)-macBytes:]
	if !hmac.Equal(mac, s.computeMAC(body)) {
		return t, shallotrouter.Errorf(shallotrouter.Malformed, "ticket has a wrong seal; take a new one from this deployment")
	}
	if err := cbor.Unmarshal(body, &t); err != nil {
		return t, shallotrouter.Errorf(shallotrouter.Malformed, "ticket is not readable; take a new one")
	}
	return t, nil
}

func (s *Sealer) computeMAC(body []byte) []byte {
	h := hmac.New(sha256.New, s.Key)
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}

// State is the state of a ticket number in a Ledger.
type State string

const (
	// Unused is an issued number that is unused and has not expired.
	Unused State = "fresh"
	// Used is a number that was used.
	Used State = "used"
	// Expired is an unused number that has expired.
	Expired State = "stale"
	// Forgotten is a number whose use the ledger no longer records.
	Forgotten State = "gone"
	// NeverIssued is a number that the ledger has not issued.
	NeverIssued State = "foreign"
)

// issueMark records that all numbers below next were issued before the end of the
// interval that begins at intervalStart.
type issueMark struct {
	intervalStart time.Time
	next          uint64
}

// Ledger issues ticket numbers and records the used ones as ranges. It keeps an
// expired number for another TicketLifetime and then forgets it. It is not safe for
// concurrent use.
type Ledger struct {
	// TicketLifetime is how long an unused ticket is valid.
	TicketLifetime time.Duration

	next           uint64
	expiredBelow   uint64 // numbers below have expired
	forgottenBelow uint64 // numbers below are forgotten
	marks          []issueMark
	used           spanSet
}

// Issue issues count consecutive numbers and returns the first.
func (l *Ledger) Issue(now time.Time, count int) uint64 {
	l.Expire(now)
	if l.next == 0 {
		l.next, l.expiredBelow, l.forgottenBelow = 1, 1, 1
	}
	first := l.next
	l.next += uint64(count)
	intervalStart := now.Truncate(l.TicketLifetime / marksPerLife)
	if n := len(l.marks); n > 0 && l.marks[n-1].intervalStart.Equal(intervalStart) {
		l.marks[n-1].next = l.next
	} else {
		l.marks = append(l.marks, issueMark{intervalStart: intervalStart, next: l.next})
	}
	return first
}

// marksPerLife is the number of intervals into which TicketLifetime is divided; the
// numbers issued in one interval expire together.
const marksPerLife = 64

// Expire updates which numbers have expired and which are forgotten at the time now.
func (l *Ledger) Expire(now time.Time) {
	interval := l.TicketLifetime / marksPerLife
	for len(l.marks) > 0 {
		age := now.Sub(l.marks[0].intervalStart)
		if age <= 2*(l.TicketLifetime+interval) {
			break
		}
		l.forgottenBelow = l.marks[0].next
		l.marks = l.marks[1:]
	}
	for _, m := range l.marks {
		if now.Sub(m.intervalStart) <= l.TicketLifetime+interval {
			break
		}
		l.expiredBelow = m.next
	}
	l.expiredBelow = max(l.expiredBelow, l.forgottenBelow)
	l.used.removeBelow(l.forgottenBelow)
}

// Lookup returns the use of a number without changing it.
func (l *Ledger) Lookup(number uint64) State {
	switch {
	case number == 0 || number >= l.next:
		return NeverIssued
	case number < l.forgottenBelow:
		return Forgotten
	case l.used.has(number):
		return Used
	case number < l.expiredBelow:
		return Expired
	}
	return Unused
}

// Use marks an unused, valid number as used and reports whether it was one.
func (l *Ledger) Use(number uint64) bool {
	if l.Lookup(number) != Unused {
		return false
	}
	l.used.add(number)
	return true
}

// Release marks a number as unused again. It must have just been marked by Use.
func (l *Ledger) Release(number uint64) { l.used.remove(number) }

// Ranges returns the number of ranges in which the used numbers are stored.
func (l *Ledger) Ranges() int { return len(l.used.spans) }
