package scheduler

import (
	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
)

// SetPeer records the report of another entry, with the number of its requests
// that wait in each pool.
func (s *Scheduler) SetPeer(peer string, report placement.PeerReport, waiting map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initMaps()
	now := s.Clock.Now()
	s.peers[peer] = now
	for name, p := range s.pools {
		report.Waiting = waiting[name]
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
// has any.
func (s *Scheduler) Waiting() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := make(map[string]int)
	for name, p := range s.pools {
		if n := p.placer.Waiting(); n > 0 {
			waiting[name] = n
		}
	}
	return waiting
}
