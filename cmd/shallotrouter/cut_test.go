package main

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shallotrouter/shallotrouter"
	"github.com/shallotrouter/shallotrouter/internal/declarer"
	"github.com/shallotrouter/shallotrouter/internal/scheduler"
	"github.com/shallotrouter/shallotrouter/internal/storer"
)

// gate passes connections on to an address until it is shut. A shut gate accepts
// connections and stays silent, as a path does that has lost its connections.
type gate struct {
	listener net.Listener
	to       string
	mutex    sync.Mutex
	shut     bool
	open     []net.Conn
}

func newGate(t *testing.T, to string) *gate {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := &gate{listener: listener, to: to}
	t.Cleanup(func() { _ = listener.Close(); g.set(true) })
	go g.run()
	return g
}

func (g *gate) run() {
	for {
		c, err := g.listener.Accept()
		if err != nil {
			return
		}
		g.mutex.Lock()
		shut := g.shut
		g.open = append(g.open, c)
		g.mutex.Unlock()
		if shut {
			continue
		}
		if far, err := net.Dial("tcp", g.to); err == nil {
			go (&pipe{from: c, to: far}).run()
			go (&pipe{from: far, to: c}).run()
		}
	}
}

// set shuts the gate, which ends what is open, or opens it again.
func (g *gate) set(shut bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.shut = shut
	for _, c := range g.open {
		_ = c.Close()
	}
	g.open = nil
}

// pipe copies one direction of a connection.
type pipe struct{ from, to net.Conn }

func (p *pipe) run() {
	_, _ = io.Copy(p.to, p.from)
	_ = p.to.Close()
	_ = p.from.Close()
}

// setPreset puts a preset in force at the platform and returns its version.
func (d *deployment) setPreset(preset declarer.Name) uint64 {
	client := storer.NewClient(d.platform.address, 5*time.Second)
	record, err := client.Read(d.t.Context(), storer.Row, 0)
	require.NoError(d.t, err)
	current, err := declarer.Decode(record.Version, record.Value)
	require.NoError(d.t, err)
	row := current.Row
	row.Preset = preset
	value, err := row.Encode()
	require.NoError(d.t, err)
	version, err := client.Swap(d.t.Context(), storer.Row, record.Version, value)
	require.NoError(d.t, err)
	return version
}

// TestZoneCutOff cuts a zone off from the platform and the other zone, twice. It
// has to go on serving, with the configuration that it has, and to take the
// newest one within 3 s of each healing.
func TestZoneCutOff(t *testing.T) {
	d := deploy(t, "", 2, 1, "bogota-norte")
	direct := d.platform.address
	g := newGate(t, direct)
	first := d.daemons
	d.daemons = nil // no host of the zone knows one of the other
	d.platform.address = g.listener.Addr().String()
	for range 2 {
		d.targets = append(d.targets, d.spawn("target", "cali-t"+string(rune('0'+len(d.targets))), "cali-oeste", ""))
	}
	d.list("cali-oeste")
	for _, name := range []string{"cali-h0", "cali-h1"} {
		d.daemon(name, "cali-oeste")
	}
	d.platform.address = direct
	for _, p := range d.daemons {
		d.await(func() bool { v := d.status(p); return v.Phase == scheduler.Serving && len(v.Peers) == 1 })
	}
	for i, preset := range []declarer.Name{declarer.Peak, declarer.Ordinary} {
		before := d.status(d.daemons[0]).Version
		g.set(true)
		version := d.setPreset(preset)
		d.await(func() bool { return d.status(first[0]).Version == version })
		for _, p := range d.daemons {
			list, wait := d.load(p, "comites", 5, 4, 20*time.Millisecond, 10*time.Second)
			wait()
			for _, s := range list {
				require.NoError(t, s.err)
				assert.Equal(t, shallotrouter.Complete, s.answer.Outcome, "cut %d: %s", i, s.answer.Message)
			}
			assert.Equal(t, before, d.status(p).Version)
		}
		g.set(false)
		healed := time.Now()
		d.await(func() bool {
			return d.status(d.daemons[0]).Version == version && d.status(d.daemons[1]).Version == version
		})
		assert.Less(t, time.Since(healed), 3*time.Second)
	}
	d.daemons = append(d.daemons, first...)
	d.requireOnce()
}
