package scheduler

import (
	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
)

// urgentSuffix follows the name of a pool in the numbers of waiting requests, for the most urgent
// ones of an overloaded pool. Builds that don't know it look up the names of pools only.
const urgentSuffix = "/urgent"

// SetPeer records the report of another entry, with the number of its requests
// that wait in each pool, as Waiting returns them.
func (s *Scheduler) SetPeer(peer string, report placement.PeerReport, waiting map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initMaps()
	now := s.Clock.Now()
	s.peers[peer] = now
	for name, p := range s.pools {
		report.Waiting, report.Urgent = waiting[name], waiting[name+urgentSuffix] > 0
		if p.placer.SetPeer(peer, report, now) {
			s.decideWaiting(p)
		}
	}
}

// ExpirePeers removes the peers that have not reported recently.
func (s *Scheduler) ExpirePeers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	for peer, at := range s.peers {
		if now.Sub(at) > peerTimeout {
			delete(s.peers, peer)
		}
	}
	for _, p := range s.pools {
		p.placer.ExpirePeers(now)
		s.decideWaiting(p)
	}
}

// Loads returns what this entry has in flight at each backend server.
func (s *Scheduler) Loads() map[mulberryspool.InstanceID]placement.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	loads := make(map[mulberryspool.InstanceID]placement.Load)
	for _, p := range s.pools {
		p.placer.AddOwnLoads(loads)
	}
	return loads
}

// Waiting returns the number of this entry's waiting requests in each pool that
// has any, and under names with urgentSuffix 1 for those with urgent ones.
func (s *Scheduler) Waiting() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := make(map[string]int)
	for name, p := range s.pools {
		if n := p.placer.Waiting(); n > 0 {
			waiting[name] = n
		}
		if p.placer.HasUrgent(s.Clock.Now()) {
			// A number would change more often, and each change is sent.
			waiting[name+urgentSuffix] = 1
		}
	}
	return waiting
}
