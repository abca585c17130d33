// Package transitioner compiles looplab/fsm definitions into read-only transition
// tables that many objects share. A separate fsm.FSM per task would cost more than the
// rest of the task's state; see BenchmarkMachine.
package transitioner

import (
	"context"
	"fmt"

	"github.com/looplab/fsm"
)

// transition is a state and an event that may happen in it.
type transition[S, E ~string] struct {
	state S
	event E
}

// Table is a read-only transition table. It is safe for concurrent use.
type Table[S, E ~string] struct {
	next map[transition[S, E]]S
}

// Rule defines the transitions of an event from each of the source states to the target
// state.
type Rule[S, E ~string] struct {
	Event   E
	Sources []S
	Target  S
}

// Compile builds an fsm.FSM from the rules, fires each event in each of its source states
// and records the resulting states. It panics if the FSM rejects a transition.
func Compile[S, E ~string](initial S, rules ...Rule[S, E]) *Table[S, E] {
	live := NewFSM(initial, rules...)
	compiled := &Table[S, E]{next: make(map[transition[S, E]]S)}
	for _, r := range rules {
		for _, source := range r.Sources {
			live.SetState(string(source))
			err := live.Event(context.Background(), string(r.Event))
			if _, unchanged := err.(fsm.NoTransitionError); err != nil && !unchanged {
				panic(fmt.Sprintf("transitioner: %s in %s: %v", r.Event, source, err))
			}
			compiled.next[transition[S, E]{source, r.Event}] = S(live.Current())
		}
	}
	return compiled
}

// NewFSM returns an fsm.FSM with the rules, for an object that has its own state machine.
func NewFSM[S, E ~string](initial S, rules ...Rule[S, E]) *fsm.FSM {
	events := make(fsm.Events, 0, len(rules))
	for _, r := range rules {
		sources := make([]string, len(r.Sources))
		for i, s := range r.Sources {
			sources[i] = string(s)
		}
		events = append(events, fsm.EventDesc{Name: string(r.Event), Src: sources, Dst: string(r.Target)})
	}
	return fsm.NewFSM(string(initial), events, fsm.Callbacks{})
}

// Next returns the state after the event. It reports false if the event is not allowed in
// the state.
func (m *Table[S, E]) Next(state S, event E) (S, bool) {
	next, ok := m.next[transition[S, E]{state, event}]
	return next, ok
}
