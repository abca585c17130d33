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

// link sends messages to one host.
type link struct {
	linker  *Linker
	address string
	cancel  context.CancelFunc
	wake    chan struct{}

	// hurry ends the pause between two dials.
	hurry chan struct{}

	mutex sync.Mutex
	queue []router.Message
	conn  *websocket.Conn
	// dialled is when the dial under way began, and giveUp ends it.
	dialled time.Time
	giveUp  context.CancelFunc
}

// put queues a message while the link stands.
func (k *link) put(m router.Message) {
	k.mutex.Lock()
	if k.conn != nil && len(k.queue) < maxQueue {
		k.queue = append(k.queue, m)
	}
	k.mutex.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// reset closes the connection; run makes another.
func (k *link) reset() {
	k.mutex.Lock()
	c := k.conn
	k.mutex.Unlock()
	if c != nil {
		go k.close(c)
	}
}

// hasten dials anew now that the other host is known to be up: a dial that began
// before would wait for a packet to be sent again.
func (k *link) hasten() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.conn != nil {
		return
	}
	if k.giveUp != nil {
		if k.linker.Clock.Since(k.dialled) < slowDial {
			return
		}
		k.giveUp()
	}
	select {
	case k.hurry <- struct{}{}:
	default:
	}
}

// close ends a connection without waiting for the other side.
func (k *link) close(c *websocket.Conn) {
	if err := c.CloseNow(); err != nil {
		k.linker.Log.V(1).Info("link not closed", "to", k.address, "error", err.Error())
	}
}

// run keeps a connection until the context is done.
func (k *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := k.connect(ctx); err != nil && ctx.Err() == nil {
			if errors.Is(err, syscall.ECONNREFUSED) {
				k.linker.Sink.Put(router.PeerExited{Address: k.address})
			}
			k.linker.Log.V(1).Info("link failed", "to", k.address, "error", err.Error())
		}
		timer := k.linker.Clock.NewTimer(redialPause)
		select {
		case <-ctx.Done():
		case <-timer.Chan():
		case <-k.hurry:
		}
		timer.Stop()
	}
}

// connect dials and sends until the connection fails.
func (k *link) connect(ctx context.Context) error {
	dialling, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	k.note(k.linker.Clock.Now(), cancel)
	c, _, err := websocket.Dial(dialling, "ws://"+k.address+Path, &websocket.DialOptions{
		HTTPClient: dialer, HTTPHeader: http.Header{headerFrom: []string{k.linker.Self}},
		CompressionMode: websocket.CompressionDisabled,
	})
	k.note(time.Time{}, nil)
	if err != nil {
		return err
	}
	defer c.CloseNow()
	reading := c.CloseRead(ctx)
	k.attach(c)
	defer k.attach(nil)
	k.linker.Sink.Put(router.LinkOpened{Address: k.address})
	for {
		select {
		case <-reading.Done():
			return errors.New("the peer closed the link")
		case <-k.wake:
		}
		if err := k.flush(ctx, c); err != nil {
			return err
		}
	}
}

// note notes the dial under way.
func (k *link) note(began time.Time, giveUp context.CancelFunc) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.dialled, k.giveUp = began, giveUp
}

// attach notes the connection and drops what was meant for another.
func (k *link) attach(c *websocket.Conn) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.conn, k.queue = c, nil
}

// flush writes all queued messages as one frame.
func (k *link) flush(ctx context.Context, c *websocket.Conn) error {
	k.mutex.Lock()
	messages := k.queue
	k.queue = nil
	k.mutex.Unlock()
	if len(messages) == 0 {
		return nil
	}
	data, err := k.linker.encode(messages)
	if err != nil {
		return err
	}
	writing, cancel := context.WithTimeout(ctx, unacked)
	defer cancel()
	return c.Write(writing, websocket.MessageBinary, data)
}
