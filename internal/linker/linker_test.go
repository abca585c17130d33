package linker

import (
	"context"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"
	"unsafe"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// box is a Sink that records the events.
type box struct {
	mutex  sync.Mutex
	events []router.Event
}

func (b *box) Put(e router.Event) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.events = append(b.events, e)
}

// countEvents returns the number of recorded events of one type.
func countEvents[T router.Event](b *box) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	total := 0
	for _, e := range b.events {
		if _, ok := e.(T); ok {
			total++
		}
	}
	return total
}

// startHost starts a linker that accepts links on a listener.
func startHost(t *testing.T, l net.Listener) (*Linker, *box) {
	t.Helper()
	return startHostWithClock(t, l, clockwork.NewRealClock())
}

// startHostWithClock starts a linker with the given clock.
func startHostWithClock(t *testing.T, l net.Listener, clock clockwork.Clock) (*Linker, *box) {
	t.Helper()
	b := &box{}
	ctx, cancel := context.WithCancel(context.Background())
	k := &Linker{Self: l.Addr().String(), Clock: clock, Log: logr.Discard(), Sink: b}
	k.Run(ctx)
	s := &http.Server{Handler: k.Handler(), ReadHeaderTimeout: time.Second}
	serverDone := make(chan struct{})
	go func() {
		defer close(serverDone)
		assert.ErrorIs(t, s.Serve(l), http.ErrServerClosed)
	}()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, s.Close())
		<-serverDone
	})
	return k, b
}

func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	return l
}

// TestMessagesArriveInOrder: messages arrive in the order in which they were sent, with the
// sender's address.
func TestMessagesArriveInOrder(t *testing.T) {
	a, outbox := startHost(t, listen(t, "127.0.0.1:0"))
	b, inbox := startHost(t, listen(t, "127.0.0.1:0"))
	a.Dial(b.Self)
	require.Eventually(t, func() bool { return countEvents[router.LinkOpened](outbox) == 1 }, time.Second, time.Millisecond)
	sent := 0
	require.Eventually(t, func() bool {
		sent++
		a.Send(b.Self, router.Message{Withdraw: &router.Withdraw{ID: string(rune('a' + sent))}})
		return countEvents[router.Receive](inbox) >= 3
	}, time.Second, 5*time.Millisecond)
	inbox.mutex.Lock()
	defer inbox.mutex.Unlock()
	lastID := ""
	for _, e := range inbox.events {
		if m, ok := e.(router.Receive); ok {
			assert.Equal(t, a.Self, m.From)
			assert.Greater(t, m.Message.Withdraw.ID, lastID)
			lastID = m.Message.Withdraw.ID
		}
	}
}

// TestSlowDialIsReplacedWhenPeerDials: a dial that began while the peer was down is aborted
// for a new one as soon as the peer itself dials. Otherwise the link would wait for
// dialTimeout.
func TestSlowDialIsReplacedWhenPeerDials(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a, inbox := startHostWithClock(t, listen(t, "127.0.0.1:0"), clock)
	unresponsive := listen(t, "127.0.0.1:0") // accepts connections and never answers
	address := unresponsive.Addr().String()
	a.Dial(address)
	pending, err := unresponsive.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, pending.Close()) })
	require.NoError(t, unresponsive.Close())
	clock.Advance(2 * slowDialThreshold)
	b, _ := startHost(t, listen(t, address))
	b.Dial(a.Self)
	startedAt := time.Now()
	require.Eventually(t, func() bool { return countEvents[router.LinkOpened](inbox) == 1 }, 2*time.Second, time.Millisecond)
	assert.Less(t, time.Since(startedAt), dialTimeout/2)
}

// TestRefusedDialReportsExitedPeer: when nobody listens at an address, the refused dial
// reports at once that the peer has exited.
func TestRefusedDialReportsExitedPeer(t *testing.T) {
	a, inbox := startHost(t, listen(t, "127.0.0.1:0"))
	closed := listen(t, "127.0.0.1:0")
	require.NoError(t, closed.Close())
	a.Dial(closed.Addr().String())
	require.Eventually(t, func() bool { return countEvents[router.PeerExited](inbox) > 0 }, time.Second, time.Millisecond)
}

// awaitAcceptQueue waits until connections wait in a listening socket's queue. The kernel may put
// them there after their dials have returned.
func awaitAcceptQueue(t *testing.T, fd, count int) {
	t.Helper()
	require.Eventually(t, func() bool {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		require.NoError(t, err)
		return int(info.Unacked) == count // the length of the queue, of a listening socket
	}, 5*time.Second, time.Millisecond)
}

// awaitDroppedPacket waits until the kernel has dropped a packet that a listening socket received:
// the first one of a connection, if its queue is full.
func awaitDroppedPacket(t *testing.T, fd int) {
	t.Helper()
	const drops, values = 8, 9 // SK_MEMINFO_DROPS and SK_MEMINFO_VARS of linux/sock_diag.h
	require.Eventually(t, func() bool {
		var info [values]uint32
		size := uint32(unsafe.Sizeof(info))
		_, _, failure := unix.Syscall6(unix.SYS_GETSOCKOPT, uintptr(fd), unix.SOL_SOCKET, unix.SO_MEMINFO, uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
		require.Zero(t, failure)
		return info[drops] > 0
	}, 5*time.Second, time.Millisecond)
}

// TestLostConnectPacketIsRetriedEarly: when the first packet of a connection is lost, the
// link dials again long before the kernel would retransmit the packet.
func TestLostConnectPacketIsRetriedEarly(t *testing.T) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, unix.Listen(fd, 0)) // with one connection in the backlog, further packets are dropped
	name, err := unix.Getsockname(fd)
	require.NoError(t, err)
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*unix.SockaddrInet4).Port))
	filler, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, filler.Close()) })
	awaitAcceptQueue(t, fd, 1)
	a, inbox := startHost(t, listen(t, "127.0.0.1:0"))
	a.Dial(address)
	awaitDroppedPacket(t, fd)
	file := os.NewFile(uintptr(fd), "listener")
	reopened, err := net.FileListener(file)
	require.NoError(t, err)
	require.NoError(t, file.Close())
	startedAt := time.Now()
	startHost(t, reopened)
	require.Eventually(t, func() bool { return countEvents[router.LinkOpened](inbox) == 1 }, 2*time.Second, time.Millisecond)
	assert.Less(t, time.Since(startedAt), 2*connectTimeout)
}
