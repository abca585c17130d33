package budgeter

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func testBounds() Bounds {
	return Bounds{
		MaxBytes: 4 << 20, MaxConnections: 100, MinShare: 600 << 10, MaxHeaderBytes: 16 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute,
		AnswerTimeout: 5 * time.Second, BodyTimeout: 3 * time.Second, MinBodyRate: 32 << 10, WorkRate: 1 << 20, WorkBurst: 1 << 20,
	}
}

var (
	balancer = netip.MustParseAddr("10.0.0.1")
	attacker = netip.MustParseAddr("10.0.0.2")
	start    = time.Unix(1_800_000_000, 0)
)

// testLedger is a Ledger with its time.
type testLedger struct {
	*Ledger
	t   require.TestingT
	now time.Time
}

func newTestLedger(t require.TestingT, b Bounds) *testLedger {
	l := &testLedger{Ledger: &Ledger{Bounds: b}, t: t, now: start}
	l.Tick(l.now)
	return l
}

// advance lets time pass in steps of the guard's ticks.
func (l *testLedger) advance(d time.Duration) []Closing {
	var closings []Closing
	for ; d > 0; d -= tickInterval {
		l.now = l.now.Add(tickInterval)
		closings = append(closings, l.Tick(l.now)...)
	}
	return closings
}

// post opens a connection that has sent a header of 200 bytes and n bytes of its body.
func (l *testLedger) post(address netip.Addr, n int) (*Client, []Closing) {
	c, closings := l.Open(address)
	require.NotNil(l.t, c)
	cause, more := l.Read(c, 200, 6)
	require.Empty(l.t, cause)
	closings = append(closings, more...)
	l.BeginRequest(c, 5, true)
	ok, more := l.Charge(c, n)
	require.True(l.t, ok)
	return c, append(closings, more...)
}

// TestSubmissionsAreServedBesideStalledBodies guards against the loss of a host's service, or of its
// memory, to bodies that stop: a new request must be accepted, those that stopped are
// refused, the largest and oldest first, and the budget holds.
func TestSubmissionsAreServedBesideStalledBodies(t *testing.T) {
	l := newTestLedger(t, testBounds())
	var oldest *Client
	refused := 0
	for i := range 80 {
		c, closings := l.post(attacker, 256<<10)
		if i == 0 {
			oldest = c
		}
		for _, closing := range closings {
			assert.Equal(t, OverBudget, closing.Cause)
			if refused++; refused == 1 {
				assert.Same(t, oldest, closing.Client)
			}
		}
		if i == 0 {
			l.advance(tickInterval)
		}
		c, closings = l.post(attacker, 300) // also from the same address
		refused += len(closings)
		assert.Equal(t, Body, c.phase)
		l.SetPhase(c, Idle)
		l.Remove(c)
		assert.LessOrEqual(t, l.Bytes(), l.Bounds.MaxBytes)
	}
	assert.Positive(t, refused)
}

// TestLargeShareIsClosedFirst guards against the refusal of one address's requests for those of another: a
// single request of the greatest legal size is not refused while another address holds more, unless
// it takes longer than youngAge.
func TestLargeShareIsClosedFirst(t *testing.T) {
	l := newTestLedger(t, testBounds())
	large, _ := l.post(balancer, 512<<10)
	l.advance(youngAge - tickInterval)
	for range 60 {
		_, closings := l.post(attacker, 100<<10)
		for _, closing := range closings {
			assert.NotSame(t, large, closing.Client)
		}
	}
	assert.Equal(t, Body, large.phase)
}

// TestManyAddressesLeaveRoomForOneRequest guards against a share so small that no request
// fits: with more addresses than the budget has shares, the slow ones are closed.
func TestManyAddressesLeaveRoomForOneRequest(t *testing.T) {
	l := newTestLedger(t, testBounds())
	for i := range 30 {
		l.post(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 100<<10)
	}
	l.advance(2 * time.Second)
	large, closings := l.post(balancer, 512<<10)
	assert.NotEmpty(t, closings)
	assert.Equal(t, Body, large.phase)
}

// TestSlowClientsAreClosed guards against clients that hold connections by being slow, and
// against closing one that is fast enough, or waits for its answer.
func TestSlowClientsAreClosed(t *testing.T) {
	l := newTestLedger(t, testBounds())
	silent, _ := l.Open(attacker)
	idle, _ := l.Open(balancer)
	l.SetPhase(idle, Idle)
	working, _ := l.post(balancer, 100)
	l.SetPhase(working, Working)
	reader, _ := l.post(attacker, 100)
	l.SetPhase(reader, Answering)
	slow, _ := l.post(attacker, 100)
	fast, _ := l.post(balancer, 100)
	causes := make(map[*Client]Cause)
	for range 40 { // 10 s
		l.Read(slow, 1000, 0)
		l.Read(fast, 10_000, 0)
		for _, closing := range l.advance(tickInterval) {
			require.Empty(t, causes[closing.Client])
			causes[closing.Client] = closing.Cause
			l.Remove(closing.Client)
		}
	}
	assert.Equal(t, map[*Client]Cause{silent: SlowHeader, reader: SlowReader, slow: SlowBody}, causes)
	for _, closing := range l.advance(time.Minute) {
		causes[closing.Client] = closing.Cause
	}
	assert.Equal(t, Unused, causes[idle])
	assert.Empty(t, causes[working], "a request that was accepted is never given up")
}

// TestPauseOfProcessClosesNoClient guards against closing all connections after the process was paused.
func TestPauseOfProcessClosesNoClient(t *testing.T) {
	l := newTestLedger(t, testBounds())
	l.post(balancer, 100)
	l.now = l.now.Add(time.Minute)
	assert.Empty(t, l.Tick(l.now))
}

// TestConnectionsAreBounded guards against running out of descriptors: the oldest idle connection
// is closed for a new one, and a new one is refused only while all others are being served.
func TestConnectionsAreBounded(t *testing.T) {
	b := testBounds()
	b.MaxConnections = 10
	l := newTestLedger(t, b)
	var clients []*Client
	for range 10 {
		c, _ := l.Open(balancer)
		l.SetPhase(c, Idle)
		clients = append(clients, c)
		l.advance(tickInterval)
	}
	c, closings := l.Open(attacker)
	assert.Equal(t, []Closing{{clients[0], Idle, TooManyConnections}}, closings)
	for _, other := range append(clients[1:], c) {
		l.SetPhase(other, Working)
	}
	c, closings = l.Open(balancer)
	assert.Nil(t, c)
	assert.Empty(t, closings)
}

// TestPipelinedRequestsAreBounded guards against clients that send requests ahead and keep the
// host busy without waiting for answers.
func TestPipelinedRequestsAreBounded(t *testing.T) {
	l := newTestLedger(t, testBounds())
	c, _ := l.Open(balancer)
	for range 100 { // each is read on its own
		l.Read(c, 200, 6)
		require.True(t, l.BeginRequest(c, 5, false))
		l.SetPhase(c, Idle)
	}
	l.Read(c, 4000, 100)
	served := 1
	for l.BeginRequest(c, 5, false) {
		served++
		l.SetPhase(c, Idle)
	}
	assert.Equal(t, maxPipelined+1, served)
}

// TestHeadersOfManyFieldsAreRateLimited guards against headers that take the whole processor to decode.
// A single one is served.
func TestHeadersOfManyFieldsAreRateLimited(t *testing.T) {
	l := newTestLedger(t, testBounds())
	send := func() int {
		served := 0
		for range 50 {
			c, _ := l.Open(attacker)
			if cause, _ := l.Read(c, 4096, 600); cause == "" {
				served++
			} else {
				assert.Equal(t, TooMuchWork, cause)
			}
			l.Remove(c)
		}
		return served
	}
	assert.Equal(t, l.Bounds.WorkBurst/heavyHeaderWork, send())
	l.advance(500 * time.Millisecond)
	assert.Equal(t, l.Bounds.WorkRate/2/heavyHeaderWork, send())
	l.Bounds.WorkBurst = 1
	l.advance(time.Minute)
	assert.Equal(t, 1, send(), "one is served whatever the limit")
}

// TestLedgerKeepsItsBudget checks for any events that the budget holds unless the requests that are
// being served exceed it, that these are not closed, and that the sums are right.
func TestLedgerKeepsItsBudget(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := newTestLedger(r, testBounds())
		var clients []*Client
		apply := func(closings []Closing) {
			for _, closing := range closings {
				require.NotEqual(r, Working, closing.Phase)
			}
		}
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			var c *Client
			if len(clients) > 0 {
				c = clients[rapid.IntRange(0, len(clients)-1).Draw(r, "client")]
			}
			action := rapid.IntRange(0, 7).Draw(r, "action")
			switch {
			case c == nil || action <= 1:
				opened, closings := l.Open(netip.AddrFrom4([4]byte{10, 0, 0, byte(rapid.IntRange(1, 3).Draw(r, "address"))}))
				apply(closings)
				if opened != nil {
					clients = append(clients, opened)
				}
			case action == 2:
				_, closings := l.Read(c, rapid.IntRange(1, 4096).Draw(r, "bytes"), 1)
				apply(closings)
			case action == 3:
				l.BeginRequest(c, 5, true)
			case action == 4:
				_, closings := l.Charge(c, rapid.IntRange(1, 512<<10).Draw(r, "bytes"))
				apply(closings)
			case action == 5:
				l.SetPhase(c, rapid.SampledFrom([]Phase{Working, Answering, Idle}).Draw(r, "phase"))
			case action == 6:
				apply(l.advance(rapid.SampledFrom([]time.Duration{tickInterval, time.Second, 10 * time.Second}).Draw(r, "time")))
			case action == 7:
				l.Remove(c)
			}
			checkSums(r, l.Ledger)
		}
	})
}

func checkSums(r *rapid.T, l *Ledger) {
	total, working := 0, 0
	shares := make(map[*share]int)
	for i, c := range l.clients {
		require.Equal(r, i, c.index)
		require.GreaterOrEqual(r, c.bytes, 0)
		total += connectionBytes + c.bytes
		if c.phase.isReclaimable() {
			shares[c.share] += connectionBytes + c.bytes
		}
		if c.phase == Working {
			working += connectionBytes + c.bytes
		}
	}
	require.Equal(r, total, l.Bytes())
	for _, s := range l.shares {
		require.Equal(r, shares[s], s.bytes)
		require.Positive(r, s.connections)
	}
	require.Equal(r, len(shares), l.holders)
	require.LessOrEqual(r, len(l.clients), l.Bounds.MaxConnections)
	if working == 0 {
		require.LessOrEqual(r, total, l.Bounds.MaxBytes)
	}
}
