package reporter

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/shallotrouter/shallotrouter/internal/declarer"
	"github.com/shallotrouter/shallotrouter/internal/scheduler"
)

// sink is a channel that receives the events of a reporter.
type sink chan scheduler.Event

func (s sink) Put(e scheduler.Event) { s <- e }

// newHost starts a reporter on the loopback interface.
func newHost(t *testing.T, name string) (*Reporter, sink) {
	s := make(sink, 100)
	r := &Reporter{
		Clock: clockwork.NewRealClock(), Log: logr.Discard(), Sink: s, Secret: []byte("a key of the test"),
		Seed: 1, Self: Hello{Host: name, Zone: "z", Incarnation: 1},
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+Path, r)
	web := httptest.NewServer(mux)
	r.Self.Address = strings.TrimPrefix(web.URL, "http://")
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() { cancel(); web.CloseClientConnections(); web.Close() })
	r.Run(ctx)
	return r, s
}

// nextEvent waits for the next event and returns it.
func nextEvent(t *testing.T, s sink) scheduler.Event {
	select {
	case e := <-s:
		return e
	case <-time.After(10 * time.Second):
		t.Fatal("no event was received")
	}
	return nil
}

func TestReportsReachPeer(t *testing.T) {
	a, _ := newHost(t, "a")
	b, events := newHost(t, "b")
	report := scheduler.Report{Host: "a", Zone: "z", Config: 1, Demands: []scheduler.Demand{{Service: "s", Client: "c", Running: 2}}}
	a.Publish(report)
	a.SetPeers([]string{b.Self.Address})
	received := nextEvent(t, events).(scheduler.ReportReceived).Report
	assert.Equal(t, report.Demands, received.Demands)
	assert.Equal(t, uint64(1), received.Incarnation)
	report.Demands = nil
	report.Uses = []scheduler.TargetUse{{Target: "t", Tasks: 1}}
	a.Publish(report)
	received = nextEvent(t, events).(scheduler.ReportReceived).Report
	assert.Empty(t, received.Demands)
	assert.Equal(t, report.Uses, received.Uses)
}

// TestNewerDocumentsReachPeer checks that a host sends its newer configuration and
// directory to a peer that has dialled it.
func TestNewerDocumentsReachPeer(t *testing.T) {
	a, _ := newHost(t, "a")
	b, events := newHost(t, "b")
	raw, err := declarer.Row{Text: "[service s]\n", Preset: declarer.Peak}.Encode()
	require.NoError(t, err)
	config, err := declarer.Decode(7, raw)
	require.NoError(t, err)
	a.SetDocuments(config, scheduler.Directory{Version: 3, Zone: "z"})
	a.Publish(scheduler.Report{Host: "a", Zone: "z", Config: 7, Directory: 3})
	b.Publish(scheduler.Report{Host: "b", Zone: "z"})
	b.SetPeers([]string{a.Self.Address})
	seen := make(map[string]bool)
	for !seen["config"] || !seen["directory"] {
		switch e := nextEvent(t, events).(type) {
		case scheduler.Adopt:
			seen["config"] = e.Config.Version == 7 && e.Config.Row.Preset == declarer.Peak
		case scheduler.Locate:
			seen["directory"] = e.Directory.Version == 3
		}
	}
}

func TestWrongKeyIsRejected(t *testing.T) {
	a, _ := newHost(t, "a")
	r, err := http.NewRequest(http.MethodGet, "http://"+a.Self.Address+Path, nil)
	require.NoError(t, err)
	r.Header.Set("Authorization", PeerToken([]byte("another key")))
	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	assert.Equal(t, http.StatusUnauthorized, response.StatusCode)
}

// drawReport draws a random report.
func drawReport(t *rapid.T, name string) scheduler.Report {
	var r scheduler.Report
	for _, client := range []string{"a", "b", "c"} {
		if n := rapid.IntRange(0, 3).Draw(t, name+client); n > 0 {
			r.Demands = append(r.Demands, scheduler.Demand{Service: "s", Client: client, Running: n})
		}
	}
	for _, target := range []string{"t1", "t2", "t3"} {
		if n := rapid.IntRange(0, 3).Draw(t, name+target); n > 0 {
			r.Uses = append(r.Uses, scheduler.TargetUse{Target: target, Tasks: n})
		}
	}
	return r
}

// TestDeltaGivesNextReport checks that a delta applied to a report gives the next report.
func TestDeltaGivesNextReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, current := drawReport(t, "old"), drawReport(t, "new")
		var p DeltaEncoder
		var u DeltaDecoder
		for _, r := range []scheduler.Report{old, current} {
			require.NoError(t, u.Decode(p.Encode(r)))
		}
		assert.ElementsMatch(t, current.Demands, u.Report.Demands)
		assert.ElementsMatch(t, current.Uses, u.Report.Uses)
	})
}

func FuzzDecode(f *testing.F) {
	for _, m := range []Message{
		{Hello: &Hello{Host: "h"}},
		{Delta: &Delta{Config: 1}},
		{Row: &Row{Version: 2, Value: []byte("{}")}},
		{Directory: &scheduler.Directory{Version: 1}},
		{},
	} {
		data, err := m.Encode()
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		again, err := m.Encode()
		require.NoError(t, err)
		_, err = Decode(again)
		require.NoError(t, err)
	})
}

// sizedReport returns a report with the given numbers of clients and targets, all in use.
// A different shift changes every second entry.
func sizedReport(clients, targets, shift int) scheduler.Report {
	r := scheduler.Report{Host: "bogota-norte-h1", Zone: "bogota-norte", Config: 900, Directory: 900}
	for i := range clients {
		r.Demands = append(r.Demands, scheduler.Demand{Service: "despacho", Client: fmt.Sprintf("client-%03d", i), Running: 3 + shift*(i%2), Waiting: i})
	}
	for i := range targets {
		r.Uses = append(r.Uses, scheduler.TargetUse{Target: fmt.Sprintf("bogota-norte-t%02d", i), Tasks: 2 + shift*(i%2)})
	}
	return r
}

// BenchmarkDelta measures the size of a first report and of a report in which half of
// the entries have changed.
func BenchmarkDelta(b *testing.B) {
	for _, size := range []struct{ clients, targets int }{{3, 17}, {10, 17}, {150, 86}} {
		b.Run(fmt.Sprintf("clients=%d/targets=%d", size.clients, size.targets), func(b *testing.B) {
			old, current := sizedReport(size.clients, size.targets, 0), sizedReport(size.clients, size.targets, 1)
			b.ReportAllocs()
			var p DeltaEncoder
			b.ReportMetric(sizeOf(b, &p, current), "B/whole")
			half := 0.0
			for b.Loop() {
				p.Encode(old)
				half = sizeOf(b, &p, current)
			}
			b.ReportMetric(half, "B/half")
		})
	}
}

// sizeOf returns the size in bytes of the next report on a connection.
func sizeOf(b *testing.B, p *DeltaEncoder, r scheduler.Report) float64 {
	d := p.Encode(r)
	data, err := Message{Delta: &d}.Encode()
	require.NoError(b, err)
	return float64(len(data))
}

// TestSentBytesStayWithinBudget checks that the sent bytes exceed the rate limit by at
// most the burst and one message.
func TestSentBytesStayWithinBudget(t *testing.T) {
	var b budget
	now := time.Unix(1000, 0)
	start, sent := now, 0
	for range 1000 {
		b.recordSent(now, 3000)
		sent += 3000
		now = now.Add(max(b.delay(now), time.Millisecond))
	}
	assert.LessOrEqual(t, float64(sent), now.Sub(start).Seconds()*maxBytesPerSecond+maxBurstBytes+3000)
}
