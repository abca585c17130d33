package main

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// gate is a proxy on the network between the daemons and one server: the store or another daemon. While a zone
// is cut off it drops the bytes that would enter or leave the zone. Connections stay open and silent meanwhile.
type gate struct {
	site     *site
	target   string
	zone     string // of the server; empty for the store
	from     *host  // the daemon on the other side, if only one has the gate's address
	listener net.Listener

	mutex       sync.Mutex
	connections map[*gateConnection]bool
}

type gateConnection struct {
	from           *host
	client, server net.Conn
	lost           bool // bytes were dropped
}

func newGate(s *site, target, zone string, from *host) *gate {
	g := &gate{site: s, target: target, zone: zone, from: from, listener: listen(), connections: make(map[*gateConnection]bool)}
	s.mutex.Lock()
	s.gates = append(s.gates, g)
	s.mutex.Unlock()
	go g.run()
	return g
}

func (g *gate) address() string { return g.listener.Addr().String() }

func (g *gate) run() {
	for {
		client, err := g.listener.Accept()
		if err != nil {
			return
		}
		go g.serve(client)
	}
}

func (g *gate) serve(client net.Conn) {
	from, head := g.from, []byte(nil)
	if from == nil {
		from, head = g.site.callerOf(client)
	}
	c := &gateConnection{from: from, client: client}
	if !g.isCut(c) {
		server, err := net.Dial("tcp", g.target)
		if err != nil {
			// A port without a listener resets the connection.
			_ = client.(*net.TCPConn).SetLinger(0)
			client.Close()
			return
		}
		c.server = server
		if _, err := server.Write(head); err != nil {
			client.Close()
			server.Close()
			return
		}
	} else {
		c.lost = true
	}
	g.mutex.Lock()
	g.connections[c] = true
	g.mutex.Unlock()
	if c.server != nil {
		go g.forward(c, c.server, c.client)
		g.forward(c, c.client, c.server)
		return
	}
	_, _ = io.Copy(io.Discard, client)
}

// isCut reports whether the connection crosses the border of the zone that is cut off.
func (g *gate) isCut(c *gateConnection) bool {
	if c.from == nil {
		return false // not a daemon's
	}
	return g.site.isCut(c.from.zone, g.zone)
}

func (g *gate) forward(c *gateConnection, from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			g.mutex.Lock()
			c.lost = c.lost || g.isCut(c)
			lost := c.lost
			g.mutex.Unlock()
			if !lost {
				if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
					err = writeErr
				}
			}
		}
		if err != nil {
			c.client.Close()
			c.server.Close()
			g.mutex.Lock()
			delete(g.connections, c)
			g.mutex.Unlock()
			return
		}
	}
}

// heal closes the connections that have lost bytes.
func (g *gate) heal() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for c := range g.connections {
		if c.lost {
			c.client.Close()
			if c.server != nil {
				c.server.Close()
			}
			delete(g.connections, c)
		}
	}
}

// callerOf returns the daemon that opens a link, which tells its address in the header of its request, and
// what was read of that. It returns nil if it is none.
func (s *site) callerOf(c net.Conn) (*host, []byte) {
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	var head []byte
	buffer := make([]byte, 4<<10)
	for !bytes.Contains(head, []byte("\r\n\r\n")) && len(head) < 16<<10 {
		n, err := c.Read(buffer)
		head = append(head, buffer[:n]...)
		if err != nil {
			return nil, head
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, h := range s.hosts {
		if bytes.Contains(head, []byte("Shallot-From: "+h.links+"\r\n")) {
			return h, head
		}
	}
	return nil, head
}

// isCut reports whether the border of the zone that is cut off lies between two places.
func (s *site) isCut(from, to string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.cutZone != "" && (from == s.cutZone) != (to == s.cutZone)
}

// cut cuts a zone off from the other zones and the store. Clients still reach it.
func (s *site) cut(zone string) {
	s.record("zone %s is cut off", zone)
	highest := uint64(0)
	for _, e := range s.executors {
		e.mutex.Lock()
		highest = max(highest, e.token)
		e.mutex.Unlock()
	}
	s.mutex.Lock()
	s.cutZone, s.cutToken = zone, highest
	s.mutex.Unlock()
}

func (s *site) heal() {
	s.mutex.Lock()
	s.cutZone = ""
	gates := append([]*gate{}, s.gates...)
	s.mutex.Unlock()
	for _, g := range gates {
		g.heal()
	}
	s.record("the cut is over")
}
