// Package linker carries messages between entry hosts, over WebSocket in CBOR.
// Each host dials each other one and sends on the connection that it dialled.
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
	// Path is where a host takes links.
	Path = "/link"
	// headerFrom names the dialling host's address.
	headerFrom = "Shallot-From"
	// maxFrame bounds a frame in bytes: a configuration of thousands of routes.
	maxFrame = 8 << 20
	// maxQueue bounds the messages that wait for a link.
	maxQueue = 8192
	// dialTimeout bounds the making of a link: several round trips between
	// zones, and less than the time after which a peer counts as silent.
	dialTimeout = 400 * time.Millisecond
	// connectTimeout bounds the making of the connection below: the kernel answers
	// in a round trip, and would send a lost packet again after a second only.
	connectTimeout = 120 * time.Millisecond
	// slowDial is how long a dial may take before it is given up for a new one:
	// many round trips, and a fraction of the time until a lost packet is sent
	// again.
	slowDial = 50 * time.Millisecond
	// redialPause is the pause after a link has failed: with connectTimeout a cut
	// that has healed is noticed within two heartbeats.
	redialPause = 50 * time.Millisecond
	// unacked is how long sent bytes may stay without an acknowledgement, and
	// bounds a write.
	unacked = 600 * time.Millisecond
)

// Sink receives what the links bring.
type Sink interface {
	// Put hands over one event. It may block for a moment.
	Put(router.Event)
}

// Linker keeps the links of a host. Its exported fields are set before Run. It
// is safe for concurrent use.
type Linker struct {
	// Self is the address under which other hosts reach this one.
	Self  string
	Clock clockwork.Clock
	Log   logr.Logger
	Sink  Sink
	// Observe is told of each message that leaves ("out") or arrives ("in"), its kind
	// and its encoded size. It may be nil.
	Observe func(direction, kind string, bytes int)

	mutex   sync.Mutex
	context context.Context
	links   map[string]*link
}

// Run makes the Linker ready; links end with the context.
func (l *Linker) Run(ctx context.Context) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.context = ctx
	l.links = make(map[string]*link)
}

// Dial makes a link to the address unless there is one.
func (l *Linker) Dial(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if address == l.Self || l.links[address] != nil || l.context == nil {
		return
	}
	ctx, cancel := context.WithCancel(l.context)
	k := &link{linker: l, address: address, cancel: cancel, wake: make(chan struct{}, 1), hurry: make(chan struct{}, 1)}
	l.links[address] = k
	go k.run(ctx)
}

// CloseLink ends the link to the address.
func (l *Linker) CloseLink(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if k := l.links[address]; k != nil {
		k.cancel()
		delete(l.links, address)
	}
}

// Redial replaces the connection of a link, which may have gone silent.
func (l *Linker) Redial(address string) {
	if k := l.find(address); k != nil {
		k.reset()
	}
}

// Send hands a message to a link. Without a connection it is dropped: the hosts
// repeat what matters once they are linked again.
func (l *Linker) Send(address string, m router.Message) {
	if k := l.find(address); k != nil {
		k.put(m)
	}
}

func (l *Linker) find(address string) *link {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.links[address]
}

// Handler takes links of other hosts.
func (l *Linker) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		from := q.Header.Get(headerFrom)
		if from == "" {
			http.Error(w, "the dialling host's address is missing; set "+headerFrom, http.StatusBadRequest)
			return
		}
		c, err := websocket.Accept(w, q, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
		if err != nil {
			l.Log.V(1).Info("link not accepted", "from", from, "error", err.Error())
			return
		}
		c.SetReadLimit(maxFrame)
		if k := l.find(from); k != nil {
			k.hasten()
		}
		l.read(q.Context(), from, c)
	})
}

// read hands over what a link brings until it fails.
func (l *Linker) read(ctx context.Context, from string, c *websocket.Conn) {
	defer c.CloseNow()
	for {
		_, data, err := c.Read(ctx)
		if err != nil {
			l.Log.V(1).Info("link ended", "from", from, "error", err.Error())
			return
		}
		messages, err := l.decode(data)
		if err != nil {
			l.Log.Info("link closed", "from", from, "reason", "unreadable frame", "bytes", len(data), "error", err.Error())
			return
		}
		for _, m := range messages {
			l.Sink.Put(router.Receive{From: from, Message: m})
		}
	}
}

// encode makes a frame of messages.
func (l *Linker) encode(messages []router.Message) ([]byte, error) {
	parts := make([]cbor.RawMessage, len(messages))
	for i, m := range messages {
		data, err := cbor.Marshal(m)
		if err != nil {
			return nil, err
		}
		parts[i] = data
		l.observe("out", m, len(data))
	}
	return cbor.Marshal(parts)
}

// decode takes a frame apart. All of it is refused if one message is not readable.
func (l *Linker) decode(data []byte) ([]router.Message, error) {
	var parts []cbor.RawMessage
	if err := cbor.Unmarshal(data, &parts); err != nil {
		return nil, err
	}
	messages := make([]router.Message, len(parts))
	for i, part := range parts {
		if err := cbor.Unmarshal(part, &messages[i]); err != nil {
			return nil, err
		}
		l.observe("in", messages[i], len(part))
	}
	return messages, nil
}

func (l *Linker) observe(direction string, m router.Message, bytes int) {
	if l.Observe != nil {
		l.Observe(direction, m.Kind(), bytes)
	}
}

// control bounds how long sent bytes may stay unacknowledged.
func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// dialer makes the connections of all links.
var dialer = &http.Client{Transport: &http.Transport{
	DialContext:       (&net.Dialer{Timeout: connectTimeout, Control: control}).DialContext,
	DisableKeepAlives: true,
}}
