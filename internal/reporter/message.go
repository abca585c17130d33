// Package reporter exchanges reports between entry hosts as CBOR messages over
// WebSocket. Each host dials its peers and sends on the connections that it has dialled.
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

// maxMessageBytes limits the size of one message.
const maxMessageBytes = 8 << 20

// Message is a message from one host to another. Exactly one field is set.
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

// Delta holds the changes of a report since the previous one on the connection. Each
// name is sent once on a connection, and the entries refer to it by its index.
type Delta struct {
	Config    uint64      `cbor:"1,keyasint"`
	Directory uint64      `cbor:"2,keyasint"`
	Leaving   bool        `cbor:"3,keyasint,omitempty"`
	Names     []string    `cbor:"4,keyasint,omitempty"`
	Demands   []Demand    `cbor:"5,keyasint,omitempty"`
	Uses      []TargetUse `cbor:"6,keyasint,omitempty"`
}

// Demand is a scheduler.Demand with indexes of names.
type Demand struct {
	_       struct{} `cbor:",toarray"`
	Service int
	Client  int
	Running int
	Waiting int
}

// TargetUse is a scheduler.TargetUse with the index of the target's name.
type TargetUse struct {
	_      struct{} `cbor:",toarray"`
	Target int
	Tasks  int
	State  scheduler.TargetState
	Doubt  int
}

// Row is a configuration in the form in which the platform stores it.
type Row struct {
	Version uint64 `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint"`
}

// Encode returns the message in CBOR.
func (m Message) Encode() ([]byte, error) { return cbor.Marshal(m) }

// Decode decodes a message and checks that exactly one field is set. It returns an
// Error with reason Oversized or Malformed.
func Decode(data []byte) (Message, error) {
	var m Message
	if len(data) > maxMessageBytes {
		return m, shallotrouter.Errorf(shallotrouter.Oversized, "peer message of %d bytes is too large; run the same version on all hosts", len(data))
	}
	if err := cbor.Unmarshal(data, &m); err != nil {
		return m, shallotrouter.Errorf(shallotrouter.Malformed, "failed to decode a peer message: %v; run the same version on all hosts", err)
	}
	parts := 0
	for _, isSet := range []bool{m.Hello != nil, m.Delta != nil, m.Row != nil, m.Directory != nil} {
		if isSet {
			parts++
		}
	}
	if parts != 1 {
		return m, shallotrouter.Errorf(shallotrouter.Malformed, "peer message has %d parts instead of one; run the same version on all hosts", parts)
	}
	return m, nil
}

// entryKey identifies an entry of a report: the service and client of a demand, or the
// target of a use.
type entryKey struct{ first, second string }

func demandKey(d scheduler.Demand) entryKey { return entryKey{d.Service, d.Client} }

func useKey(u scheduler.TargetUse) entryKey { return entryKey{u.Target, ""} }

func emptyDemand(d scheduler.Demand) scheduler.Demand {
	return scheduler.Demand{Service: d.Service, Client: d.Client}
}

func emptyUse(u scheduler.TargetUse) scheduler.TargetUse {
	return scheduler.TargetUse{Target: u.Target}
}

// diffEntries returns the entries of current that differ from old, and an empty entry
// for each entry of old that current lacks.
func diffEntries[T comparable](old, current []T, keyOf func(T) entryKey, emptyOf func(T) T) []T {
	previous := make(map[entryKey]T, len(old))
	for _, x := range old {
		previous[keyOf(x)] = x
	}
	var changed []T
	for _, x := range current {
		k := keyOf(x)
		if before, ok := previous[k]; !ok || before != x {
			changed = append(changed, x)
		}
		delete(previous, k)
	}
	for _, x := range old {
		if _, removed := previous[keyOf(x)]; removed {
			changed = append(changed, emptyOf(x))
		}
	}
	return changed
}

// mergeEntries replaces old entries by changed ones, adds new entries and removes empty
// ones. It does not modify the old slice, which the scheduler may still hold.
func mergeEntries[T any](old, changed []T, keyOf func(T) entryKey, isEmpty func(T) bool) []T {
	if len(changed) == 0 {
		return old
	}
	pending := make(map[entryKey]T, len(changed))
	for _, x := range changed {
		pending[keyOf(x)] = x
	}
	merged := make([]T, 0, len(old)+len(changed))
	for _, x := range old {
		k := keyOf(x)
		if y, ok := pending[k]; ok {
			x = y
			delete(pending, k)
		}
		if !isEmpty(x) {
			merged = append(merged, x)
		}
	}
	for _, x := range changed {
		if _, isNew := pending[keyOf(x)]; isNew && !isEmpty(x) {
			merged = append(merged, x)
		}
	}
	return slices.Clip(merged)
}

// PeerToken returns the value of the Authorization header with which a host proves to its
// peers that it has the key. It is an HMAC, so the key itself is never sent.
func PeerToken(secret []byte) string {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte("shallotrouter peer"))
	return "Bearer " + hex.EncodeToString(h.Sum(nil))
}

// IsPeerToken reports whether a received Authorization header proves that the sender has the
// key. It compares in constant time.
func IsPeerToken(secret []byte, shown string) bool {
	return subtle.ConstantTimeCompare([]byte(PeerToken(secret)), []byte(shown)) == 1
}
