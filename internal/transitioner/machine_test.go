package transitioner

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
)

var testRules = []Rule[string, string]{
	{Event: "send", Sources: []string{"queued"}, Target: "sent"},
	{Event: "return", Sources: []string{"sent"}, Target: "queued"},
	{Event: "finish", Sources: []string{"sent", "done"}, Target: "done"},
}

func TestNextFollowsRules(t *testing.T) {
	m := Compile("queued", testRules...)
	next, ok := m.Next("queued", "send")
	assert.True(t, ok)
	assert.Equal(t, "sent", next)
	next, ok = m.Next("done", "finish")
	assert.True(t, ok)
	assert.Equal(t, "done", next)
	_, ok = m.Next("queued", "finish")
	assert.False(t, ok)
}

// BenchmarkMachine compares a shared transition table with a shared fsm.FSM and with an
// fsm.FSM per object.
func BenchmarkMachine(b *testing.B) {
	b.Run("table", func(b *testing.B) {
		m := Compile("queued", testRules...)
		b.ReportAllocs()
		for b.Loop() {
			state, _ := m.Next("queued", "send")
			_, _ = m.Next(state, "finish")
		}
	})
	b.Run("shared", func(b *testing.B) {
		m := NewFSM("queued", testRules...)
		b.ReportAllocs()
		for b.Loop() {
			m.SetState("queued")
			_ = m.Event(context.Background(), "send")
			_ = m.Event(context.Background(), "finish")
		}
	})
	b.Run("own", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			m := NewFSM("queued", testRules...)
			_ = m.Event(context.Background(), "send")
			_ = m.Event(context.Background(), "finish")
		}
	})
}
