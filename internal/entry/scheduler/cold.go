package scheduler

import (
	"net/netip"
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/coldstart"
)

// RecordEntry records a heartbeat of another entry.
func (s *Scheduler) RecordEntry(address netip.AddrPort, failureDomain string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Placement.Entries != nil {
		s.Placement.Entries.Heard(address, failureDomain, s.Clock.Now())
	}
}

// AddEntries records entries that the store or another entry lists. The argument complete is
// set for the whole list of the store.
func (s *Scheduler) AddEntries(addresses []netip.AddrPort, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := s.Placement.Entries
	if entries == nil {
		return
	}
	for _, address := range addresses {
		entries.Learned(address, s.Clock.Now())
	}
	if complete {
		entries.SetListed()
	}
}

// Entries returns the addresses of the other entries that share the limits of cold backend
// servers with this one.
func (s *Scheduler) Entries() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Placement.Entries == nil {
		return nil
	}
	return s.Placement.Entries.Addresses(s.Clock.Now())
}

// RecordCold records for how long a backend server is still cold by its answer to a request
// that was sent at the given time.
func (s *Scheduler) RecordCold(name string, server mulberryspool.BackendServer, coldFor time.Duration, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pools[name]; p != nil {
		p.placer.RecordCold(server.Instance, server.Born, coldFor, sentAt, s.Clock.Now())
	}
}

// RecordAlive records a response of a backend server on a connection that was opened at a time.
func (s *Scheduler) RecordAlive(name string, server mulberryspool.BackendServer, openedAt time.Time) {
	if s.Placement.Entries == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pools[name]; p != nil {
		p.placer.RecordAlive(server, openedAt)
	}
}

// RecordWrite counts a request that is about to be written to a backend server. It reports
// false if the request must not be written, as the server is cold and has got this entry's
// share.
func (s *Scheduler) RecordWrite(name string, server mulberryspool.BackendServer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[name]
	return p == nil || p.placer.RecordWrite(server, s.Clock.Now())
}

// EvacuationEnded records that the backend servers of a failure domain get requests again
// since a change of the store; zero if its position is not known. It must be called before
// their requests are placed.
func (s *Scheduler) EvacuationEnded(failureDomain string, at mulberryspool.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.placer.EvacuationEnded(failureDomain, at, s.Clock.Now())
	}
}

// ColdChanges calls report for each backend server that has become cold, or is not any more,
// since the last call.
func (s *Scheduler) ColdChanges(report func(pool string, change coldstart.Change)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, p := range s.pools {
		for _, change := range p.placer.ColdChanges(s.Clock.Now()) {
			report(name, change)
		}
	}
}

// Cold calls report for each pool with the number of its cold backend servers, and that of
// the requests since the last call that found no place although such servers had free
// capacity.
func (s *Scheduler) Cold(report func(pool string, servers int, heldBack int64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, p := range s.pools {
		servers, heldBack := p.placer.Cold(s.Clock.Now())
		report(name, servers, heldBack-p.heldBackReported)
		p.heldBackReported = heldBack
	}
}
