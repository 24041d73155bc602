// Package schedule is a discrete-event scheduler for simulations: it runs events
// in the order of their simulated times, without real waiting.
package schedule

import (
	"container/heap"
	"time"
)

type (
	// Schedule is a queue of events with a simulated clock. Events at the same
	// time run in the order in which they were added.
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

// New returns a schedule whose clock starts at the Unix epoch.
func New() *Schedule {
	return &Schedule{now: time.Unix(0, 0)}
}

// Now returns the simulated time, which is that of the running event.
func (s *Schedule) Now() time.Time { return s.now }

// After schedules a function to run after the delay, in simulated time.
func (s *Schedule) After(delay time.Duration, run func()) {
	s.count++
	heap.Push(&s.events, event{at: s.now.Add(delay), order: s.count, run: run})
}

// Run runs events until none are left, including those added meanwhile.
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
