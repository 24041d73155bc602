package placement

import (
	"cmp"
	"maps"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// SetPeer records the report of another entry.
func (p *Placer) SetPeer(name string, report PeerReport, now time.Time) {
	if p.peers == nil {
		p.peers = make(map[string]peerState)
	}
	peer, ok := p.peers[name]
	if !ok || !report.Partial {
		peer.loads = make(map[mulberryspool.InstanceID]Load, len(report.Loads))
	}
	peer.reportedAt, peer.waiting, peer.failureDomain = now, report.Waiting, cmp.Or(report.FailureDomain, peer.failureDomain)
	maps.Copy(peer.loads, report.Loads)
	p.peers[name] = peer
	p.sumPeerLoads(now)
}

// AddOwnLoads adds what this entry has in flight to the map.
func (p *Placer) AddOwnLoads(loads map[mulberryspool.InstanceID]Load) {
	for _, s := range p.ordered {
		if s.ownLoad.Requests > 0 {
			loads[s.Instance] = s.ownLoad
		}
	}
}

// ExpirePeers removes the entries that have not reported within peerTimeout.
func (p *Placer) ExpirePeers(now time.Time) {
	for name, peer := range p.peers {
		if now.Sub(peer.reportedAt) > peerTimeout {
			delete(p.peers, name)
		}
	}
	p.sumPeerLoads(now)
}

// sumPeerLoads adds up what the peers have in flight, and records which full
// servers have free capacity again. With a zero time, nothing is recorded.
func (p *Placer) sumPeerLoads(now time.Time) {
	for _, s := range p.ordered {
		s.previousInFlight, s.peerLoad = s.inFlight(), Load{}
	}
	for _, peer := range p.peers {
		for id, load := range peer.loads {
			if s := p.servers[id]; s != nil {
				s.peerLoad.Requests += load.Requests
				s.peerLoad.PendingPromptTokens += load.PendingPromptTokens
			}
		}
	}
	for _, s := range p.ordered {
		if capacity := p.capacity(s); !now.IsZero() && s.previousInFlight >= capacity && s.inFlight() < capacity {
			s.freedAt = now
		}
	}
}
