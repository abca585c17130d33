package ticketer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func TestSeal(t *testing.T) {
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
		assert.True(t, err != nil || opened == ticket, "a changed ticket is refused")
	}
}

// model is a map of every number beside a ledger.
type model struct {
	ledger  *Ledger
	now     time.Time
	given   map[uint64]time.Time
	used    map[uint64]bool
	highest uint64
}

func (m *model) give(t *rapid.T) {
	n := rapid.IntRange(1, 20).Draw(t, "count")
	first := m.ledger.Give(m.now, n)
	if first != m.highest+1 {
		t.Fatalf("first is %d after %d", first, m.highest)
	}
	for i := range uint64(n) {
		m.given[first+i] = m.now
	}
	m.highest += uint64(n)
}

func (m *model) take(t *rapid.T) {
	n := rapid.Uint64Range(1, m.highest+2).Draw(t, "number")
	took, given := m.ledger.Take(n), m.given[n]
	if took && (m.used[n] || given.IsZero()) {
		t.Fatalf("%d is taken twice or was never given", n)
	}
	if !took && !m.used[n] && !given.IsZero() && m.now.Sub(given) < m.ledger.Life {
		t.Fatalf("%d is good and was not taken", n)
	}
	m.used[n] = m.used[n] || took
}

func (m *model) giveBack(t *rapid.T) {
	n := rapid.Uint64Range(1, m.highest+2).Draw(t, "number")
	if m.ledger.Take(n) {
		m.ledger.Return(n)
	}
}

func (m *model) pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
	m.ledger.Expire(m.now)
}

func (m *model) check(t *rapid.T) {
	for n, at := range m.given {
		use := m.ledger.Look(n)
		if m.used[n] && use != Used && use != Gone {
			t.Fatalf("%d was used and is %s", n, use)
		}
		if !m.used[n] && use == Fresh && m.now.Sub(at) > m.ledger.Life+m.ledger.Life/8 {
			t.Fatalf("%d is past its life and fresh", n)
		}
	}
}

// TestLedger compares the ledger with the model.
func TestLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{ledger: &Ledger{Life: time.Minute}, now: start, given: make(map[uint64]time.Time), used: make(map[uint64]bool)}
		t.Repeat(map[string]func(*rapid.T){"give": m.give, "take": m.take, "return": m.giveBack, "pass": m.pass, "": m.check})
	})
}

// TestLedgerMemory requires that tickets used in order take one range.
func TestLedgerMemory(t *testing.T) {
	l := &Ledger{Life: time.Minute}
	first := l.Give(start, 1000)
	for n := first; n < first+1000; n++ {
		require.True(t, l.Take(n))
	}
	assert.Equal(t, 1, l.Ranges())
	l.Expire(start.Add(3 * time.Minute))
	assert.Zero(t, l.Ranges())
	assert.Equal(t, Gone, l.Look(first))
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
			t.Fatalf("a forged ticket was opened: %+v", ticket)
		}
	})
}
