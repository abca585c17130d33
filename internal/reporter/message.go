// Package reporter exchanges reports between entry hosts over WebSocket with
// CBOR. Each host dials its peers and sends on the connections that it dialled.
package reporter

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/shallotrouter/shallotrouter"
	"github.com/shallotrouter/shallotrouter/internal/scheduler"
)

// maxMessage bounds one message in bytes.
const maxMessage = 8 << 20

// Message is what one peer sends to another. Exactly one field is set.
type Message struct {
	Hello     *Hello               `cbor:"1,keyasint,omitempty"`
	Delta     *Delta               `cbor:"2,keyasint,omitempty"`
	Row       *Row                 `cbor:"3,keyasint,omitempty"`
	Directory *scheduler.Directory `cbor:"4,keyasint,omitempty"`
}

// Hello is the first message of a connection.
type Hello struct {
	Host        string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"`
}

// Delta is what changed in a report since the last one on the connection. Names
// are sent once on a connection; entries refer to them by their place.
type Delta struct {
	Config    uint64   `cbor:"1,keyasint"`
	Directory uint64   `cbor:"2,keyasint"`
	Leaving   bool     `cbor:"3,keyasint,omitempty"`
	Names     []string `cbor:"4,keyasint,omitempty"`
	Demands   []Demand `cbor:"5,keyasint,omitempty"`
	Uses      []Use    `cbor:"6,keyasint,omitempty"`
}

// Demand is a scheduler.Demand with places of names.
type Demand struct {
	_       struct{} `cbor:",toarray"`
	Service int
	Client  int
	Running int
	Waiting int
}

// Use is a scheduler.Use with the place of the target's name.
type Use struct {
	_      struct{} `cbor:",toarray"`
	Target int
	Tasks  int
	State  scheduler.State
	Doubt  int
}

// Row is a configuration as the platform stores it.
type Row struct {
	Version uint64 `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint"`
}

// Encode returns the message as it is sent.
func (m Message) Encode() ([]byte, error) { return cbor.Marshal(m) }

// Decode reads a message and checks that it says one thing.
func Decode(data []byte) (Message, error) {
	var m Message
	if len(data) > maxMessage {
		return m, shallotrouter.Errorf(shallotrouter.Oversized, "a peer's message has %d bytes; run the same version on all hosts", len(data))
	}
	if err := cbor.Unmarshal(data, &m); err != nil {
		return m, shallotrouter.Errorf(shallotrouter.Malformed, "a peer's message is not readable: %v; run the same version on all hosts", err)
	}
	set := 0
	for _, is := range []bool{m.Hello != nil, m.Delta != nil, m.Row != nil, m.Directory != nil} {
		if is {
			set++
		}
	}
	if set != 1 {
		return m, shallotrouter.Errorf(shallotrouter.Malformed, "a peer's message holds %d parts; run the same version on all hosts", set)
	}
	return m, nil
}

// key identifies an entry of a report.
type key struct{ first, second string }

func demandKey(d scheduler.Demand) key { return key{d.Service, d.Client} }

func useKey(u scheduler.Use) key { return key{u.Target, ""} }

func clearDemand(d scheduler.Demand) scheduler.Demand {
	return scheduler.Demand{Service: d.Service, Client: d.Client}
}

func clearUse(u scheduler.Use) scheduler.Use { return scheduler.Use{Target: u.Target} }

// differ returns the entries of fresh that differ from old, and a cleared entry
// for each that is gone.
func differ[T comparable](old, fresh []T, keyOf func(T) key, reset func(T) T) []T {
	known := make(map[key]T, len(old))
	for _, x := range old {
		known[keyOf(x)] = x
	}
	var changed []T
	for _, x := range fresh {
		k := keyOf(x)
		if before, ok := known[k]; !ok || before != x {
			changed = append(changed, x)
		}
		delete(known, k)
	}
	for _, x := range old {
		if _, gone := known[keyOf(x)]; gone {
			changed = append(changed, reset(x))
		}
	}
	return changed
}

// merge puts changed entries over the old ones and drops the cleared ones. It
// does not touch the old slice, which the scheduler may still hold.
func merge[T any](old, changed []T, keyOf func(T) key, cleared func(T) bool) []T {
	if len(changed) == 0 {
		return old
	}
	fresh := make(map[key]T, len(changed))
	for _, x := range changed {
		fresh[keyOf(x)] = x
	}
	merged := make([]T, 0, len(old)+len(changed))
	for _, x := range old {
		k := keyOf(x)
		if y, ok := fresh[k]; ok {
			x = y
			delete(fresh, k)
		}
		if !cleared(x) {
			merged = append(merged, x)
		}
	}
	for _, x := range changed {
		if _, left := fresh[keyOf(x)]; left && !cleared(x) {
			merged = append(merged, x)
		}
	}
	return slices.Clip(merged)
}

// Pass returns what a host shows its peers to prove that it has the key. The
// key itself is never sent.
func Pass(secret []byte) string {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte("shallotrouter peer"))
	return "Bearer " + hex.EncodeToString(h.Sum(nil))
}

// Allowed compares a shown pass in constant time.
func Allowed(secret []byte, shown string) bool {
	return subtle.ConstantTimeCompare([]byte(Pass(secret)), []byte(shown)) == 1
}
