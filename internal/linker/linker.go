// Package linker sends messages between entry hosts, encoded in CBOR over WebSocket
// connections. Each host dials every other host, and sends only on the connections that it
// has dialled.
package linker

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

const (
	// Path is the HTTP path at which a host accepts links.
	Path = "/link"
	// headerFrom is the header with the dialling host's address.
	headerFrom = "Shallot-From"
	// maxFrameBytes bounds a received frame; it has room for a configuration of thousands of
	// routes.
	maxFrameBytes = 8 << 20
	// maxSentFrameBytes bounds a frame of several messages. The offers of two thousand jobs, which
	// are repeated on a new connection, exceed maxFrameBytes.
	maxSentFrameBytes = 1 << 20
	// maxQueuedMessages bounds the queue of a link; further messages are dropped.
	maxQueuedMessages = 8192
	// dialTimeout bounds a dial, including the WebSocket handshake: several round trips
	// between zones, and less than the time after which a peer counts as unresponsive.
	dialTimeout = 400 * time.Millisecond
	// connectTimeout bounds the TCP connect within a dial. The peer's kernel answers in one
	// round trip, and the local kernel retransmits a lost SYN only after 1 s.
	connectTimeout = 120 * time.Millisecond
	// slowDialThreshold is the age from which a dial is aborted for a new one when the peer
	// proves to be up: many round trips, and a fraction of the time after which a lost
	// packet is retransmitted.
	slowDialThreshold = 50 * time.Millisecond
	// redialDelay is the delay after a link has failed. Together with connectTimeout it
	// ensures that the end of a network partition is noticed within two heartbeats.
	redialDelay = 50 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the kernel closes
	// the connection. It also bounds a write.
	unackedTimeout = 600 * time.Millisecond
)

// Sink receives messages and the state of links as events.
type Sink interface {
	// Put queues one event. It may block briefly.
	Put(router.Event)
}

// Linker manages the links of a host. Its exported fields are set before Run. It is safe for
// concurrent use.
type Linker struct {
	// Self is the address under which other hosts reach this one.
	Self  string
	Clock clockwork.Clock
	Log   logr.Logger
	Sink  Sink
	// Observe is called for each message that is sent (direction "out") or received
	// ("in"), with its kind and encoded size. It may be nil.
	Observe func(direction, kind string, bytes int)

	mutex   sync.Mutex
	context context.Context
	links   map[string]*link
}

// Run prepares the Linker and returns. The links end when the context is done.
func (l *Linker) Run(ctx context.Context) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.context = ctx
	l.links = make(map[string]*link)
}

// Dial creates a link to the address unless it exists. It does nothing before Run.
func (l *Linker) Dial(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if address == l.Self || l.links[address] != nil || l.context == nil {
		return
	}
	ctx, cancel := context.WithCancel(l.context)
	k := &link{linker: l, address: address, cancel: cancel, wake: make(chan struct{}, 1), redial: make(chan struct{}, 1)}
	l.links[address] = k
	go k.run(ctx)
}

// CloseLink closes and removes the link to the address.
func (l *Linker) CloseLink(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if k := l.links[address]; k != nil {
		k.cancel()
		delete(l.links, address)
	}
}

// Redial replaces the connection of a link to a peer that may have become unresponsive.
func (l *Linker) Redial(address string) {
	if k := l.find(address); k != nil {
		k.closeConnection()
	}
}

// Send queues a message on the link to the address. The message is dropped when the link
// has no connection: the hosts repeat important messages once they are linked again.
func (l *Linker) Send(address string, m router.Message) {
	if k := l.find(address); k != nil {
		k.enqueue(m)
	}
}

func (l *Linker) find(address string) *link {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.links[address]
}

// Handler accepts the links of other hosts.
func (l *Linker) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		from := q.Header.Get(headerFrom)
		if from == "" {
			http.Error(w, "the dialling host's address is missing; set "+headerFrom, http.StatusBadRequest)
			return
		}
		c, err := websocket.Accept(w, q, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
		if err != nil {
			l.Log.V(1).Info("accepting a link failed", "from", from, "error", err.Error())
			return
		}
		c.SetReadLimit(maxFrameBytes)
		if k := l.find(from); k != nil {
			k.redialNow()
		}
		l.read(q.Context(), from, c)
	})
}

// read passes received messages to the sink until the link fails.
func (l *Linker) read(ctx context.Context, from string, c *websocket.Conn) {
	defer c.CloseNow()
	for {
		_, data, err := c.Read(ctx)
		if err != nil {
			l.Log.V(1).Info("incoming link ended", "from", from, "error", err.Error())
			return
		}
		messages, err := l.decode(from, data)
		if err != nil {
			l.Log.Info("incoming link closed", "from", from, "reason", "unreadable frame", "bytes", len(data), "error", err.Error())
			return
		}
		for _, m := range messages {
			l.Sink.Put(router.Receive{From: from, Message: m})
		}
	}
}

// encode encodes messages as frames of at most maxSentFrameBytes, or of one message each.
func (l *Linker) encode(messages []router.Message) (frames [][]byte, err error) {
	var parts []cbor.RawMessage
	size := 0
	for _, m := range messages {
		data, err := cbor.Marshal(m)
		if err != nil {
			return nil, err
		}
		l.observe("out", m, len(data))
		if size+len(data) > maxSentFrameBytes && len(parts) > 0 {
			if frames, err = appendFrame(frames, parts); err != nil {
				return nil, err
			}
			parts, size = nil, 0
		}
		parts, size = append(parts, data), size+len(data)
	}
	return appendFrame(frames, parts)
}

func appendFrame(frames [][]byte, parts []cbor.RawMessage) ([][]byte, error) {
	data, err := cbor.Marshal(parts)
	if err != nil {
		return nil, err
	}
	return append(frames, data), nil
}

// decode decodes the messages of a frame. It skips a message that cannot be decoded.
func (l *Linker) decode(from string, data []byte) ([]router.Message, error) {
	var parts []cbor.RawMessage
	if err := cbor.Unmarshal(data, &parts); err != nil {
		return nil, err
	}
	messages := make([]router.Message, 0, len(parts))
	for _, part := range parts {
		var m router.Message
		if err := cbor.Unmarshal(part, &m); err != nil {
			l.Log.Info("message skipped", "from", from, "reason", "unreadable; check that all hosts run the same version of the program", "bytes", len(part), "error", err.Error())
			continue
		}
		messages = append(messages, m)
		l.observe("in", m, len(part))
	}
	return messages, nil
}

func (l *Linker) observe(direction string, m router.Message, bytes int) {
	if l.Observe != nil {
		l.Observe(direction, m.Kind(), bytes)
	}
}

// setUnackedTimeout sets the TCP_USER_TIMEOUT of a socket to unackedTimeout.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// httpClient dials the connections of all links.
var httpClient = &http.Client{Transport: &http.Transport{
	DialContext:       (&net.Dialer{Timeout: connectTimeout, Control: setUnackedTimeout}).DialContext,
	DisableKeepAlives: true,
}}
