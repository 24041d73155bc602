// Package coldstart decides when an entry may send a request to a backend server that is
// cold.
//
//	SetList, RecordAnswer, EvacuationEnded --> Servers --> Server --> AvailableAt, Reserve, Write
//	heartbeats, list of entries ------------> Entries ---/
//
// The load pattern: the servers of a failure domain rejoin cold under full load, empty and
// with the shortest expected times that all entries know, and a server that gets many more
// requests per second than it can handle while cold crashes. The entries may be partitioned
// from each other and from the store meanwhile.
//
// There is no coordinator and no message for it. Each entry computes its share of the
// requests per second from the set of entries that it knows. An entry that is no longer
// heard still counts, so that the shares on both sides of a partition don't grow. Shares are
// whole requests in a sliding window, and what an entry doesn't use is not available to others.
//
// The types do no I/O and read no clock. They must be used by one goroutine at a time.
package coldstart

import (
	"math"
	"slices"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// rememberTime is how long an incarnation is remembered that is no longer listed. Servers
// are missing in lists for seconds while the store is not available, and don't become cold
// by that.
const rememberTime = 10 * time.Minute

type (
	// Servers holds the backend servers of a pool. Set Entries before the first call. The
	// zero value has no cold servers.
	Servers struct {
		Entries *Entries

		// enabled is set if the pool has cold servers.
		enabled bool
		// total is the number of requests per second that all entries together send to a cold
		// server.
		total int
		// coldTime is how long a server is cold after a start or an evacuation.
		coldTime time.Duration
		known    map[incarnation]*Server
		// listed is set once there was a list.
		listed bool
	}

	incarnation struct {
		instance mulberryspool.InstanceID
		born     int64
	}

	// Change is a backend server that has become cold, or is not any more.
	Change struct {
		Instance mulberryspool.InstanceID
		Born     int64
		Cold     bool
		// Left is how long the server stays cold, Share the requests that this entry may send
		// to it in each window meanwhile.
		Left  time.Duration
		Share int
	}
)

// SetPool sets the properties of the pool. A cold server may get at most its rate times
// overshoot, plus slack, requests in a second.
func (s *Servers) SetPool(pool mulberryspool.IngressPool, overshoot, slack float64) {
	s.enabled, s.coldTime = pool.ColdRate > 0 && overshoot > 0, pool.ColdTime
	s.total = int(min(max(1, math.Floor(pool.ColdRate)), math.Floor(pool.ColdRate*overshoot+slack)))
}

// SetList replaces the listed backend servers. Incarnations that are listed for the first
// time are cold, unless they are in the first list, which holds servers of any age.
func (s *Servers) SetList(list []mulberryspool.BackendServer, now time.Time) {
	if s.known == nil {
		s.known = make(map[incarnation]*Server)
	}
	for _, known := range s.known {
		if known.listed {
			known.listed, known.leftAt = false, now
		}
	}
	for _, b := range list {
		key := incarnation{b.Instance, b.Born}
		known := s.known[key]
		if known == nil {
			known = &Server{servers: s, instance: b.Instance, written: s.writtenToPredecessor(b.Instance, now)}
			if s.listed {
				known.startedAt = now
			}
			s.known[key] = known
		}
		known.listed, known.failureDomain = true, b.FailureDomain
		known.observe(b, now)
	}
	s.listed = true
	for key, known := range s.known {
		if !known.listed && now.Sub(known.leftAt) > rememberTime {
			delete(s.known, key)
		}
	}
}

// writtenToPredecessor returns the times of the last requests to the listed incarnation of an
// instance, or to the last one that was. The next one may have got them: it was there before it was
// listed, at the same address.
func (s *Servers) writtenToPredecessor(id mulberryspool.InstanceID, now time.Time) []time.Time {
	var last *Server
	for key, known := range s.known {
		if key.instance == id && (last == nil || known.leftAt.After(last.leftAt)) {
			last = known
		}
	}
	if last == nil {
		return nil
	}
	last.prune(now)
	return slices.Clone(last.written)
}

// Server returns a listed incarnation; nil if it is not known.
func (s *Servers) Server(id mulberryspool.InstanceID, born int64) *Server {
	return s.known[incarnation{id, born}]
}

// EvacuationEnded records that requests may be sent to a failure domain again since a change
// of the store; zero if its position is not known. Its servers are cold, unless their objects
// of a later position say otherwise.
func (s *Servers) EvacuationEnded(failureDomain string, at mulberryspool.Position, now time.Time) {
	for _, known := range s.known {
		if known.failureDomain == failureDomain {
			known.endEvacuation(at, now)
		}
	}
}

// Cold returns the number of cold backend servers that are listed.
func (s *Servers) Cold(now time.Time) int {
	n := 0
	for _, known := range s.known {
		if known.listed && !known.knownUntil(now).IsZero() {
			n++
		}
	}
	return n
}

// Changes returns the listed backend servers that have become cold, or are not any more,
// since the last call.
func (s *Servers) Changes(now time.Time) []Change {
	var changes []Change
	for key, known := range s.known {
		until := known.knownUntil(now)
		cold := known.listed && !until.IsZero()
		if cold == known.reportedCold {
			continue
		}
		known.reportedCold = cold
		change := Change{Instance: key.instance, Born: key.born, Cold: cold}
		if cold {
			change.Left, change.Share = until.Sub(now), known.Share(now)
		}
		changes = append(changes, change)
	}
	return changes
}
