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

// TestLedger compares the ledger with a map of every number.
func TestLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &Ledger{Life: time.Minute}
		now := start
		given := make(map[uint64]time.Time)
		used := make(map[uint64]bool)
		highest := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"give": func(t *rapid.T) {
				n := rapid.IntRange(1, 20).Draw(t, "count")
				first := l.Give(now, n)
				if first != highest+1 {
					t.Fatalf("first is %d after %d", first, highest)
				}
				for i := range uint64(n) {
					given[first+i] = now
				}
				highest += uint64(n)
			},
			"take": func(t *rapid.T) {
				n := rapid.Uint64Range(1, highest+2).Draw(t, "number")
				took := l.Take(n)
				if took && (used[n] || given[n].IsZero()) {
					t.Fatalf("%d is taken twice or was never given", n)
				}
				if !took && !used[n] && !given[n].IsZero() && now.Sub(given[n]) < l.Life {
					t.Fatalf("%d is good and was not taken", n)
				}
				used[n] = used[n] || took
			},
			"return": func(t *rapid.T) {
				n := rapid.Uint64Range(1, highest+2).Draw(t, "number")
				if l.Take(n) {
					l.Return(n)
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
				l.Expire(now)
			},
			"": func(t *rapid.T) {
				for n, at := range given {
					use := l.Look(n)
					if used[n] && use != Used && use != Gone {
						t.Fatalf("%d was used and is %s", n, use)
					}
					if !used[n] && use == Fresh && now.Sub(at) > l.Life+l.Life/8 {
						t.Fatalf("%d is past its life and fresh", n)
					}
				}
			},
		})
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
