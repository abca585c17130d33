package linker

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shallotrouter/shallotrouter/internal/router"
)

// encodeFrame encodes a frame of encoded messages.
func encodeFrame(t testing.TB, messages ...[]byte) []byte {
	t.Helper()
	parts := make([]cbor.RawMessage, len(messages))
	for i, m := range messages {
		parts[i] = m
	}
	data, err := cbor.Marshal(parts)
	require.NoError(t, err)
	return data
}

func encodeAny(t testing.TB, v any) []byte {
	t.Helper()
	data, err := cbor.Marshal(v)
	require.NoError(t, err)
	return data
}

// oddMessages are well-formed messages that cannot be decoded.
func oddMessages(t testing.TB) map[string][]byte {
	return map[string][]byte{
		"count too large":     encodeAny(t, map[int]any{2: map[int]any{1: map[int]any{1: "x", 5: uint64(1 << 63)}}}),
		"wrong type":          encodeAny(t, map[int]any{1: map[int]any{7: "x"}}),
		"text":                encodeAny(t, "x"),
		"text that is no UTF": {0xa1, 0x03, 0xa1, 0x01, 0x62, 0xff, 0xfe},
		"deep nesting":        encodeAny(t, map[int]any{3: nestedList(20)}),
	}
}

func nestedList(depth int) any {
	if depth == 0 {
		return 1
	}
	return []any{nestedList(depth - 1)}
}

// TestOddMessageCostsOnlyItself guards against a link that is closed again and again, so that a host does
// not reach another, since one message in a frame cannot be decoded.
func TestOddMessageCostsOnlyItself(t *testing.T) {
	for name, odd := range oddMessages(t) {
		b, inbox := startHost(t, listen(t, "127.0.0.1:0"))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		c, _, err := websocket.Dial(ctx, "ws://"+b.Self+Path, &websocket.DialOptions{HTTPHeader: map[string][]string{headerFrom: {"10.0.0.9:1"}}})
		require.NoError(t, err)
		withdraw := encodeAny(t, router.Message{Withdraw: &router.Withdraw{ID: "x"}})
		require.NoError(t, c.Write(ctx, websocket.MessageBinary, encodeFrame(t, withdraw, odd, withdraw)))
		require.NoError(t, c.Write(ctx, websocket.MessageBinary, encodeFrame(t, withdraw)))
		assert.Eventually(t, func() bool { return countEvents[router.Receive](inbox) == 3 }, 2*time.Second, time.Millisecond, name)
		cancel()
	}
}

// TestUnreadableFrameIsAnError: a frame that is not a list of messages is an error, and takes no memory
// for what it only announces.
func TestUnreadableFrameIsAnError(t *testing.T) {
	k := &Linker{Log: logr.Discard()}
	for name, data := range map[string][]byte{
		"empty":          {},
		"no list":        {0x01},
		"cut":            {0x82, 0x01},
		"huge list":      {0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"huge text":      {0x81, 0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"endless list":   append([]byte{0x9f}, bytes.Repeat([]byte{0x01}, 100_000)...),
		"nested":         bytes.Repeat([]byte{0x81}, 1<<20),
		"endless nested": bytes.Repeat([]byte{0x9f}, 1<<20),
	} {
		_, err := k.decode("10.0.0.9:1", data)
		assert.Error(t, err, name)
	}
}

// TestLargeQueueIsSent guards against a host that never reaches another, since the frame with all that is
// queued for it exceeds what the other reads.
func TestLargeQueueIsSent(t *testing.T) {
	a, outbox := startHost(t, listen(t, "127.0.0.1:0"))
	b, inbox := startHost(t, listen(t, "127.0.0.1:0"))
	a.Dial(b.Self)
	require.Eventually(t, func() bool { return countEvents[router.LinkOpened](outbox) == 1 }, 2*time.Second, time.Millisecond)
	const count = 4_000
	k := a.find(b.Self)
	k.mutex.Lock()
	for i := range count {
		k.queue = append(k.queue, router.Message{Offer: &router.Offer{Job: router.Job{ID: fmt.Sprint(i), Count: 1, Spec: strings.Repeat("s", 4_000)}}})
	}
	k.mutex.Unlock()
	k.wake <- struct{}{}
	require.Eventually(t, func() bool { return countEvents[router.Receive](inbox) == count }, 10*time.Second, 10*time.Millisecond)
	assert.Equal(t, 1, countEvents[router.LinkOpened](outbox))
}
