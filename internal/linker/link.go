package linker

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/coder/websocket"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// link sends messages to one host. It redials while it has no connection.
type link struct {
	linker  *Linker
	address string
	cancel  context.CancelFunc
	wake    chan struct{}

	// redial ends the delay between two dials.
	redial chan struct{}

	mutex sync.Mutex
	queue []router.Message
	conn  *websocket.Conn
	// dialStartedAt is the start of the current dial, and cancelDial aborts it. Both are
	// zero while there is none.
	dialStartedAt time.Time
	cancelDial    context.CancelFunc
}

// enqueue queues a message if the link is connected and its queue is not full.
func (k *link) enqueue(m router.Message) {
	k.mutex.Lock()
	if k.conn != nil && len(k.queue) < maxQueuedMessages {
		k.queue = append(k.queue, m)
	}
	k.mutex.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// closeConnection closes the current connection; run then dials a new one.
func (k *link) closeConnection() {
	k.mutex.Lock()
	c := k.conn
	k.mutex.Unlock()
	if c != nil {
		go k.closeNow(c)
	}
}

// redialNow dials at once; it is called when the peer is known to be up. It aborts a dial
// that is older than slowDialThreshold: the dial probably began before the peer was up, and
// would wait until the kernel retransmits a packet.
func (k *link) redialNow() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.conn != nil {
		return
	}
	if k.cancelDial != nil {
		if k.linker.Clock.Since(k.dialStartedAt) < slowDialThreshold {
			return
		}
		k.cancelDial()
	}
	select {
	case k.redial <- struct{}{}:
	default:
	}
}

// closeNow closes a connection without waiting for the peer.
func (k *link) closeNow(c *websocket.Conn) {
	if err := c.CloseNow(); err != nil {
		k.linker.Log.V(1).Info("closing a link failed", "to", k.address, "error", err.Error())
	}
}

// run connects, and reconnects after each failure, until the context is done.
func (k *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := k.connect(ctx); err != nil && ctx.Err() == nil {
			if errors.Is(err, syscall.ECONNREFUSED) {
				k.linker.Sink.Put(router.PeerExited{Address: k.address})
			}
			k.linker.Log.V(1).Info("link failed; redialing", "to", k.address, "error", err.Error())
		}
		timer := k.linker.Clock.NewTimer(redialDelay)
		select {
		case <-ctx.Done():
		case <-timer.Chan():
		case <-k.redial:
		}
		timer.Stop()
	}
}

// connect dials and sends queued messages until the connection fails.
func (k *link) connect(ctx context.Context) error {
	dialContext, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	k.setDial(k.linker.Clock.Now(), cancel)
	c, _, err := websocket.Dial(dialContext, "ws://"+k.address+Path, &websocket.DialOptions{
		HTTPClient: httpClient, HTTPHeader: http.Header{headerFrom: []string{k.linker.Self}},
		CompressionMode: websocket.CompressionDisabled,
	})
	k.setDial(time.Time{}, nil)
	if err != nil {
		return err
	}
	defer c.CloseNow()
	readContext := c.CloseRead(ctx)
	k.setConnection(c)
	defer k.setConnection(nil)
	k.linker.Sink.Put(router.LinkOpened{Address: k.address})
	for {
		select {
		case <-readContext.Done():
			return errors.New("the peer closed the link")
		case <-k.wake:
		}
		if err := k.flush(ctx, c); err != nil {
			return err
		}
	}
}

// setDial sets the start of the current dial and the function that aborts it.
func (k *link) setDial(startedAt time.Time, cancel context.CancelFunc) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.dialStartedAt, k.cancelDial = startedAt, cancel
}

// setConnection sets the connection, or nil, and drops the messages that were queued for
// the previous one.
func (k *link) setConnection(c *websocket.Conn) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.conn, k.queue = c, nil
}

// flush writes all queued messages.
func (k *link) flush(ctx context.Context, c *websocket.Conn) error {
	k.mutex.Lock()
	messages := k.queue
	k.queue = nil
	k.mutex.Unlock()
	if len(messages) == 0 {
		return nil
	}
	frames, err := k.linker.encode(messages)
	if err != nil {
		return err
	}
	for _, data := range frames {
		if err := writeFrame(ctx, c, data); err != nil {
			return err
		}
	}
	return nil
}

func writeFrame(ctx context.Context, c *websocket.Conn, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, unackedTimeout)
	defer cancel()
	return c.Write(ctx, websocket.MessageBinary, data)
}
