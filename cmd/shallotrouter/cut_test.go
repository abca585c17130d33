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

// tcpProxy forwards connections to an address. While it is blocked, it accepts new
// connections but sends nothing over them, like a partitioned network.
type tcpProxy struct {
	listener    net.Listener
	destination string
	mutex       sync.Mutex
	blocked     bool
	connections []net.Conn
}

func newTCPProxy(t *testing.T, destination string) *tcpProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &tcpProxy{listener: listener, destination: destination}
	t.Cleanup(func() { _ = listener.Close(); p.setBlocked(true) })
	go p.run()
	return p
}

func (p *tcpProxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mutex.Lock()
		blocked := p.blocked
		p.connections = append(p.connections, c)
		p.mutex.Unlock()
		if blocked {
			continue
		}
		if upstream, err := net.Dial("tcp", p.destination); err == nil {
			go (&pipe{from: c, to: upstream}).run()
			go (&pipe{from: upstream, to: c}).run()
		}
	}
}

// setBlocked blocks or unblocks the proxy. Both close all open connections.
func (p *tcpProxy) setBlocked(blocked bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.blocked = blocked
	for _, c := range p.connections {
		_ = c.Close()
	}
	p.connections = nil
}

// pipe copies one direction of a connection.
type pipe struct{ from, to net.Conn }

func (p *pipe) run() {
	_, _ = io.Copy(p.to, p.from)
	_ = p.to.Close()
	_ = p.from.Close()
}

// setPreset writes a preset to the platform and returns the version of the change.
func (d *deployment) setPreset(preset declarer.PresetName) uint64 {
	client := storer.NewClient(d.platform.address, 5*time.Second)
	record, err := client.Read(d.t.Context(), storer.ConfigKey, 0)
	require.NoError(d.t, err)
	current, err := declarer.Decode(record.Version, record.Value)
	require.NoError(d.t, err)
	row := current.Row
	row.Preset = preset
	value, err := row.Encode()
	require.NoError(d.t, err)
	version, err := client.Swap(d.t.Context(), storer.ConfigKey, record.Version, value)
	require.NoError(d.t, err)
	return version
}

// TestPartitionedZoneKeepsServing cuts a zone off from the platform and the other zone,
// twice. The zone must keep serving with its current configuration, and must adopt the
// newest one within 3 s after each partition ends.
func TestPartitionedZoneKeepsServing(t *testing.T) {
	d := deploy(t, "", 2, 1, "bogota-norte")
	platformAddress := d.platform.address
	proxy := newTCPProxy(t, platformAddress)
	otherZone := d.daemons
	d.daemons = nil // no host of this zone knows a host of the other zone
	d.platform.address = proxy.listener.Addr().String()
	for range 2 {
		d.targets = append(d.targets, d.spawn("target", "cali-t"+string(rune('0'+len(d.targets))), "cali-oeste", ""))
	}
	d.writeHostList("cali-oeste")
	for _, name := range []string{"cali-h0", "cali-h1"} {
		d.startDaemon(name, "cali-oeste")
	}
	d.platform.address = platformAddress
	for _, p := range d.daemons {
		d.await(func() bool { v := d.status(p); return v.Phase == scheduler.Serving && len(v.Peers) == 1 })
	}
	for i, preset := range []declarer.PresetName{declarer.Peak, declarer.Ordinary} {
		before := d.status(d.daemons[0]).ConfigVersion
		proxy.setBlocked(true)
		version := d.setPreset(preset)
		d.await(func() bool { return d.status(otherZone[0]).ConfigVersion == version })
		for _, p := range d.daemons {
			list, wait := d.submitInBackground(p, "comites", 5, 4, 20*time.Millisecond, 10*time.Second)
			wait()
			for _, s := range list {
				require.NoError(t, s.err)
				assert.Equal(t, shallotrouter.Complete, s.answer.Outcome, "partition %d: %s", i, s.answer.Message)
			}
			assert.Equal(t, before, d.status(p).ConfigVersion)
		}
		proxy.setBlocked(false)
		healedAt := time.Now()
		d.await(func() bool {
			return d.status(d.daemons[0]).ConfigVersion == version && d.status(d.daemons[1]).ConfigVersion == version
		})
		assert.Less(t, time.Since(healedAt), 3*time.Second)
	}
	d.daemons = append(d.daemons, otherZone...)
	d.requireNoRepeatedStarts()
}
