package ticketer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var startTime = time.Unix(1000, 0)

func TestOpenAcceptsOnlySealedTickets(t *testing.T) {
	s := &Sealer{Key: []byte("a key of the test")}
	ticket := Ticket{Home: "127.0.0.1:7100", Incarnation: 5, Number: 7, Client: "comites"}
	text, err := s.Seal(ticket)
	require.NoError(t, err)
	opened, err := s.Open(text)
	require.NoError(t, err)
	assert.Equal(t, ticket, opened)
	_, err = (&Sealer{Key: []byte("another key")}).Open(text)
	assert.ErrorContains(t, err, "wrong seal")
	for i := range text {
		changed := []byte(text)
		changed[i] ^= 1
		opened, err := s.Open(string(changed))
		assert.True(t, err != nil || opened == ticket, "a modified ticket is rejected")
	}
}

// model is a ledger with the expected state of every number.
type model struct {
	ledger   *Ledger
	now      time.Time
	issuedAt map[uint64]time.Time
	used     map[uint64]bool
	highest  uint64
}

func (m *model) issue(t *rapid.T) {
	n := rapid.IntRange(1, 20).Draw(t, "count")
	first := m.ledger.Issue(m.now, n)
	if first != m.highest+1 {
		t.Fatalf("first number is %d after %d", first, m.highest)
	}
	for i := range uint64(n) {
		m.issuedAt[first+i] = m.now
	}
	m.highest += uint64(n)
}

func (m *model) consume(t *rapid.T) {
	n := rapid.Uint64Range(1, m.highest+2).Draw(t, "number")
	consumed, issuedAt := m.ledger.Use(n), m.issuedAt[n]
	if consumed && (m.used[n] || issuedAt.IsZero()) {
		t.Fatalf("number %d was used twice or was never issued", n)
	}
	if !consumed && !m.used[n] && !issuedAt.IsZero() && m.now.Sub(issuedAt) < m.ledger.TicketLifetime {
		t.Fatalf("number %d is valid and could not be used", n)
	}
	m.used[n] = m.used[n] || consumed
}

func (m *model) release(t *rapid.T) {
	n := rapid.Uint64Range(1, m.highest+2).Draw(t, "number")
	if m.ledger.Use(n) {
		m.ledger.Release(n)
	}
}

func (m *model) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
	m.ledger.Expire(m.now)
}

func (m *model) check(t *rapid.T) {
	for n, issuedAt := range m.issuedAt {
		use := m.ledger.Lookup(n)
		if m.used[n] && use != Used && use != Forgotten {
			t.Fatalf("number %d was used and is %s", n, use)
		}
		if !m.used[n] && use == Unused && m.now.Sub(issuedAt) > m.ledger.TicketLifetime+m.ledger.TicketLifetime/8 {
			t.Fatalf("number %d is past its lifetime and still fresh", n)
		}
	}
}

// TestLedgerMatchesModel requires that the ledger agrees with a model of every number.
func TestLedgerMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{ledger: &Ledger{TicketLifetime: time.Minute}, now: startTime, issuedAt: make(map[uint64]time.Time), used: make(map[uint64]bool)}
		t.Repeat(map[string]func(*rapid.T){"give": m.issue, "take": m.consume, "return": m.release, "pass": m.advance, "": m.check})
	})
}

// TestTicketsUsedInOrderTakeOneRange requires that tickets used in order are stored as
// one range.
func TestTicketsUsedInOrderTakeOneRange(t *testing.T) {
	l := &Ledger{TicketLifetime: time.Minute}
	first := l.Issue(startTime, 1000)
	for n := first; n < first+1000; n++ {
		require.True(t, l.Use(n))
	}
	assert.Equal(t, 1, l.Ranges())
	l.Expire(startTime.Add(3 * time.Minute))
	assert.Zero(t, l.Ranges())
	assert.Equal(t, Forgotten, l.Lookup(first))
}

func FuzzOpen(f *testing.F) {
	s := &Sealer{Key: []byte("a key of the test")}
	good, err := s.Seal(Ticket{Home: "h", Number: 1, Client: "c"})
	require.NoError(f, err)
	for _, seed := range []string{good, "", "AAAA", good[:10], good + "A"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		ticket, err := s.Open(text)
		if err == nil && ticket != (Ticket{Home: "h", Number: 1, Client: "c"}) {
			t.Fatalf("a forged ticket was accepted: %+v", ticket)
		}
	})
}
