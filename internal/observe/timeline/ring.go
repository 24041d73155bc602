// Package timeline keeps the latest events of a process, merges the events of
// several processes, and writes them as text, JSON or an HTML page.
//
//	Record --> Ring --> /events of each process --> Merge --> Text, JSON, HTML
package timeline

import (
	"sync"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/observe/hlc"
)

// DefaultCapacity is the number of events in a ring whose Capacity is 0.
const DefaultCapacity = 8192

type (
	// Ring implements mulberryspool.Recorder with a ring buffer. When it is
	// full, the oldest events are dropped and counted. It is safe for
	// concurrent use. Set the exported fields before the first use.
	Ring struct {
		Identity mulberryspool.Identity
		// HLC is the hybrid logical clock of the process.
		HLC *hlc.Clock
		// Capacity is the maximum number of events; 0 means DefaultCapacity.
		Capacity int

		mu     sync.Mutex
		events []mulberryspool.Event
		// oldest is the index of the oldest event; it is 0 until the ring is
		// full.
		oldest  int
		dropped uint64
	}

	// Dump holds the events of one process, oldest first. It is the response
	// body of /events.
	Dump struct {
		Instance      mulberryspool.InstanceID  `json:"instance"`
		Incarnation   mulberryspool.Incarnation `json:"incarnation,omitempty"`
		FailureDomain string                    `json:"failureDomain,omitempty"`
		// Dropped is the number of events that the ring has dropped.
		Dropped uint64                `json:"dropped"`
		Events  []mulberryspool.Event `json:"events"`
	}
)

// Record adds the timestamp and the instance to an event and stores it.
func (r *Ring) Record(event mulberryspool.Event) {
	event.Instance = r.Identity.Instance
	event.FailureDomain = r.Identity.FailureDomain
	r.mu.Lock()
	defer r.mu.Unlock()
	// The timestamp is taken under the lock, so that events are stored in the
	// order of their timestamps.
	event.Time = r.HLC.Now()
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
