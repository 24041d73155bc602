// Package serverpause decides until when backend servers want no requests from this
// entry.
//
//	Begin --> Pauses --> Until
//
// The load pattern: a server that is short of capacity refuses requests in series, each
// refusal with its own time without requests, while many callers wait at this entry.
//
// A pause is that of one incarnation of a server, and of this entry alone. The end of
// each refusal's time binds, so the latest one counts. Neither a success nor a shorter
// time ends a pause.
//
// Pauses does no I/O and reads no clock. It must be used by one goroutine at a time.
package serverpause

import (
	"maps"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// maxPauses limits the pauses that are kept; beyond it, those that end first are
// dropped.
const maxPauses = 1024

type (
	// Pauses holds the pauses of backend servers. The zero value holds none.
	Pauses struct {
		until map[incarnation]time.Time
	}

	incarnation struct {
		instance mulberryspool.InstanceID
		born     int64
	}
)

// Begin records a refusal that was received at the given time and asks for a pause. It
// reports whether the server had none.
func (p *Pauses) Begin(instance mulberryspool.InstanceID, born int64, pause time.Duration, now time.Time) bool {
	key, end := incarnation{instance, born}, now.Add(pause)
	before := p.until[key]
	if !end.After(before) {
		return false
	}
	p.expire(now)
	if p.until == nil {
		p.until = make(map[incarnation]time.Time)
	}
	if len(p.until) >= maxPauses {
		p.dropFirst()
	}
	p.until[key] = end
	return !before.After(now)
}

// Until returns the end of the server's pause; zero if it has none.
func (p *Pauses) Until(instance mulberryspool.InstanceID, born int64, now time.Time) time.Time {
	if end := p.until[incarnation{instance, born}]; end.After(now) {
		return end
	}
	return time.Time{}
}

// Active returns the number of pauses.
func (p *Pauses) Active(now time.Time) int {
	p.expire(now)
	return len(p.until)
}

func (p *Pauses) expire(now time.Time) {
	maps.DeleteFunc(p.until, func(_ incarnation, end time.Time) bool { return !end.After(now) })
}

// dropFirst removes the pause that ends first.
func (p *Pauses) dropFirst() {
	var (
		first incarnation
		at    time.Time
	)
	for key, end := range p.until {
		if at.IsZero() || end.Before(at) {
			first, at = key, end
		}
	}
	delete(p.until, first)
}
