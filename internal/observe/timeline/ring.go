// Package timeline keeps a process's latest events, merges those of many
// processes and writes them as text, JSON or one HTML page.
//
//	Record --> Ring --> /events of each process --> Merge --> Text, JSON, HTML
package timeline

import (
	"sync"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/observe/hlc"
)

// DefaultCapacity bounds a ring whose Capacity is 0.
const DefaultCapacity = 8192

type (
	// Ring implements mulberryspool.Recorder with a bounded number of events;
	// the oldest are dropped and counted. It is safe for concurrent use. Set
	// the exported fields before the first use.
	Ring struct {
		Identity mulberryspool.Identity
		// Stamps is the process's hybrid logical clock.
		Stamps *hlc.Clock
		// Capacity is DefaultCapacity when it is 0.
		Capacity int

		mu     sync.Mutex
		events []mulberryspool.Event
		// oldest is the index of the oldest event once the ring is full.
		oldest  int
		dropped uint64
	}

	// Dump holds the events of one process, oldest first.
	Dump struct {
		Instance      mulberryspool.InstanceID  `json:"instance"`
		Incarnation   mulberryspool.Incarnation `json:"incarnation,omitempty"`
		FailureDomain string                    `json:"failureDomain,omitempty"`
		// Dropped counts the events that the ring no longer holds.
		Dropped uint64                `json:"dropped"`
		Events  []mulberryspool.Event `json:"events"`
	}
)

// Record stamps and keeps an event.
func (r *Ring) Record(event mulberryspool.Event) {
	event.Instance = r.Identity.Instance
	event.FailureDomain = r.Identity.FailureDomain
	r.mu.Lock()
	defer r.mu.Unlock()
	// The stamp is taken under the lock, so that the ring is in the order of stamps.
	event.Time = r.Stamps.Now()
	if len(r.events) < r.capacity() {
		r.events = append(r.events, event)
		return
	}
	r.events[r.oldest] = event
	r.oldest = (r.oldest + 1) % len(r.events)
	r.dropped++
}

// Dump returns the events that match the filter.
func (r *Ring) Dump(filter Filter) Dump {
	r.mu.Lock()
	defer r.mu.Unlock()
	dump := Dump{
		Instance:      r.Identity.Instance,
		Incarnation:   r.Identity.Incarnation,
		FailureDomain: r.Identity.FailureDomain,
		Dropped:       r.dropped,
		Events:        []mulberryspool.Event{},
	}
	for i := range r.events {
		if e := r.events[(r.oldest+i)%len(r.events)]; filter.Match(e) {
			dump.Events = append(dump.Events, e)
		}
	}
	return dump
}

func (r *Ring) capacity() int {
	if r.Capacity > 0 {
		return r.Capacity
	}
	return DefaultCapacity
}
