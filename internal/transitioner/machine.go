// Package transitioner compiles looplab/fsm definitions into tables that many
// small objects share. A machine of its own for each task would cost more than
// the task's other state; see BenchmarkMachine.
package transitioner

import (
	"context"
	"fmt"

	"github.com/looplab/fsm"
)

// step is a state and an event that may follow it.
type step[S, E ~string] struct {
	state S
	event E
}

// Machine is a read-only transition table. It is safe for concurrent use.
type Machine[S, E ~string] struct {
	next map[step[S, E]]S
}

// Rule is one event that leads from any of the sources to the target state.
type Rule[S, E ~string] struct {
	Event  E
	Source []S
	Target S
}

// Compile builds an fsm.FSM from the rules, fires every event in every state
// and keeps what it answered.
func Compile[S, E ~string](initial S, rules ...Rule[S, E]) *Machine[S, E] {
	machine := Build(initial, rules...)
	m := &Machine[S, E]{next: make(map[step[S, E]]S)}
	for _, r := range rules {
		for _, source := range r.Source {
			machine.SetState(string(source))
			err := machine.Event(context.Background(), string(r.Event))
			if _, same := err.(fsm.NoTransitionError); err != nil && !same {
				panic(fmt.Sprintf("transitioner: %s in %s: %v", r.Event, source, err))
			}
			m.next[step[S, E]{source, r.Event}] = S(machine.Current())
		}
	}
	return m
}

// Build returns a live fsm.FSM of the rules, for an object that has a machine
// of its own.
func Build[S, E ~string](initial S, rules ...Rule[S, E]) *fsm.FSM {
	events := make(fsm.Events, 0, len(rules))
	for _, r := range rules {
		sources := make([]string, len(r.Source))
		for i, s := range r.Source {
			sources[i] = string(s)
		}
		events = append(events, fsm.EventDesc{Name: string(r.Event), Src: sources, Dst: string(r.Target)})
	}
	return fsm.NewFSM(string(initial), events, fsm.Callbacks{})
}

// Next returns the state after the event. It reports false when the event may
// not happen in the state.
func (m *Machine[S, E]) Next(state S, event E) (S, bool) {
	next, ok := m.next[step[S, E]{state, event}]
	return next, ok
}
