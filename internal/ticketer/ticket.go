// Package ticketer makes, seals and checks the tickets that make resubmission
// safe, and remembers which of them have been used.
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

// macSize is the length of the truncated MAC in bytes.
const macSize = 16

// maxText bounds the text of a ticket in bytes.
const maxText = 512

// Ticket is the right to start one job once at its home.
type Ticket struct {
	// Home is the address of the entry host that gave the ticket.
	Home string `cbor:"1,keyasint"`
	// Incarnation is the start of the home process in Unix nanoseconds.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Number counts the tickets of one incarnation from 1.
	Number uint64 `cbor:"3,keyasint"`
	// Client is the name of the client that the ticket was given to.
	Client string `cbor:"4,keyasint"`
}

// Short returns a text that names the ticket in log lines, without its MAC.
func (t Ticket) Short() string {
	return fmt.Sprintf("%s/%x/%d", t.Home, t.Incarnation, t.Number)
}

// Sealer signs and checks tickets with a key that all entry hosts share. It is
// safe for concurrent use once Key is set.
type Sealer struct {
	// Key is the shared secret.
	Key []byte
}

// Seal returns the ticket's text with its MAC.
func (s *Sealer) Seal(t Ticket) (string, error) {
	body, err := cbor.Marshal(t)
	if err != nil {
		return "", err
	}
	return base64.RawURLEncoding.EncodeToString(append(body, s.mac(body)...)), nil
}

// Open checks a text and returns its ticket. Any text that Seal did not make
// with the same key gives an Error with reason Malformed.
func (s *Sealer) Open(text string) (Ticket, error) {
	var t Ticket
	if len(text) > maxText {
		return t, shallotrouter.Errorf(shallotrouter.Malformed, "ticket is longer than %d bytes; take a new one", maxText)
	}
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(data) <= macSize {
		return t, shallotrouter.Errorf(shallotrouter.Malformed, "ticket is not readable; submit it as it was given, or take a new one")
	}
	body, mac := data[:len(data)-macSize], data[len(data)-macSize:]
	if !hmac.Equal(mac, s.mac(body)) {
		return t, shallotrouter.Errorf(shallotrouter.Malformed, "ticket has a wrong seal; take a new one from this deployment")
	}
	if err := cbor.Unmarshal(body, &t); err != nil {
		return t, shallotrouter.Errorf(shallotrouter.Malformed, "ticket is not readable; take a new one")
	}
	return t, nil
}

func (s *Sealer) mac(body []byte) []byte {
	h := hmac.New(sha256.New, s.Key)
	h.Write(body)
	return h.Sum(nil)[:macSize]
}

// Use is what the ledger knows of a ticket number.
type Use string

const (
	// Fresh is a number that was given and not used.
	Fresh Use = "fresh"
	// Used is a number that was used.
	Used Use = "used"
	// Stale is an unused number past its expiry.
	Stale Use = "stale"
	// Gone is a number whose use is no longer remembered.
	Gone Use = "gone"
	// Foreign is a number that this ledger never gave.
	Foreign Use = "foreign"
)

// mark notes that all numbers below next were given before time.
type mark struct {
	time time.Time
	next uint64
}

// Ledger gives ticket numbers and remembers their use as ranges. Expired
// numbers are remembered for as long again, then dropped. It is not safe for
// concurrent use.
type Ledger struct {
	// Life is how long an unused ticket stays good.
	Life time.Duration

	next  uint64
	stale uint64 // numbers below are past their expiry
	floor uint64 // numbers below are forgotten
	marks []mark
	used  ranges
}

// Give hands out count numbers and returns the first.
func (l *Ledger) Give(now time.Time, count int) uint64 {
	l.Expire(now)
	if l.next == 0 {
		l.next, l.stale, l.floor = 1, 1, 1
	}
	first := l.next
	l.next += uint64(count)
	slot := now.Truncate(l.Life / markSlots)
	if n := len(l.marks); n > 0 && l.marks[n-1].time.Equal(slot) {
		l.marks[n-1].next = l.next
	} else {
		l.marks = append(l.marks, mark{time: slot, next: l.next})
	}
	return first
}

// markSlots is how many marks a ticket's life is cut into.
const markSlots = 64

// Expire moves the expiry and the memory floor up to now.
func (l *Ledger) Expire(now time.Time) {
	slot := l.Life / markSlots
	for len(l.marks) > 0 {
		age := now.Sub(l.marks[0].time)
		if age <= 2*(l.Life+slot) {
			break
		}
		l.floor = l.marks[0].next
		l.marks = l.marks[1:]
	}
	for _, m := range l.marks {
		if now.Sub(m.time) <= l.Life+slot {
			break
		}
		l.stale = m.next
	}
	l.stale = max(l.stale, l.floor)
	l.used.trim(l.floor)
}

// Look tells the use of a number without changing it.
func (l *Ledger) Look(number uint64) Use {
	switch {
	case number == 0 || number >= l.next:
		return Foreign
	case number < l.floor:
		return Gone
	case l.used.has(number):
		return Used
	case number < l.stale:
		return Stale
	}
	return Fresh
}

// Take marks a fresh number as used and reports whether it was fresh.
func (l *Ledger) Take(number uint64) bool {
	if l.Look(number) != Fresh {
		return false
	}
	l.used.add(number)
	return true
}

// Return makes a number that Take just marked fresh again.
func (l *Ledger) Return(number uint64) { l.used.remove(number) }

// Ranges returns how many ranges the memory of used numbers takes.
func (l *Ledger) Ranges() int { return len(l.used.list) }
