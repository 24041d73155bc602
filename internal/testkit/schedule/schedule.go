// Package schedule runs the events of a model in the order of their times,
// without waiting.
package schedule

import (
	"container/heap"
	"time"
)

type (
	// Schedule is a queue of events with a clock of its own. Events at the
	// same time run in the order in which they were added.
	Schedule struct {
		now    time.Time
		count  int
		events events
	}

	event struct {
		at    time.Time
		order int
		run   func()
	}

	events []event
)

// New returns a schedule that starts at the Unix epoch.
func New() *Schedule {
	return &Schedule{now: time.Unix(0, 0)}
}

// Now returns the time of the event that runs.
func (s *Schedule) Now() time.Time { return s.now }

// After adds an event.
func (s *Schedule) After(delay time.Duration, run func()) {
	s.count++
	heap.Push(&s.events, event{at: s.now.Add(delay), order: s.count, run: run})
}

// Run runs all events, those included that are added meanwhile.
func (s *Schedule) Run() {
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// Len implements sort.Interface.
func (e events) Len() int { return len(e) }

// Less implements sort.Interface.
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}

// Swap implements sort.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
