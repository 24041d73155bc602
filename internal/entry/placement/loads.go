package placement

import (
	"cmp"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// SetPeer records the report of another entry. It takes time in proportion to the loads in
// the report. It reports whether waiting requests may be placed now: a backend server has
// more free capacity than before, or the peer's requests don't wait any more.
func (p *Placer) SetPeer(name string, report PeerReport, now time.Time) (freed bool) {
	if p.peers == nil {
		p.peers = make(map[string]peerState)
	}
	peer, ok := p.peers[name]
	if !ok {
		peer.loads = make(map[mulberryspool.InstanceID]Load, len(report.Loads))
	}
	freed = peer.waiting > 0 && report.Waiting == 0
	peer.reportedAt, peer.waiting, peer.urgent, peer.failureDomain = now, report.Waiting, report.Urgent, cmp.Or(report.FailureDomain, peer.failureDomain)
	p.peers[name] = peer
	if !report.Partial {
		for id := range peer.loads {
			if _, ok := report.Loads[id]; !ok {
				freed = p.setPeerLoad(peer, id, Load{}, now) || freed
			}
		}
	}
	for id, load := range report.Loads {
		freed = p.setPeerLoad(peer, id, load, now) || freed
	}
	return freed
}

// setPeerLoad replaces the load of a peer at a backend server. It reports whether that has
// more free capacity than before.
func (p *Placer) setPeerLoad(peer peerState, id mulberryspool.InstanceID, load Load, now time.Time) bool {
	before := peer.loads[id]
	if load == before {
		return false
	}
	if load == (Load{}) {
		delete(peer.loads, id)
	} else {
		peer.loads[id] = load
	}
	s := p.servers[id]
	if s == nil {
		return false
	}
	wasFull := s.inFlight() >= p.capacity(s)
	s.load.RecordKnown(s.inFlight(), now)
	s.peerLoad.Requests += load.Requests - before.Requests
	s.load.RecordKnown(s.inFlight(), now)
	s.peerLoad.PendingPromptTokens += load.PendingPromptTokens - before.PendingPromptTokens
	if wasFull && s.inFlight() < p.capacity(s) {
		s.freedAt = now
	}
	return load.Requests < before.Requests || load.PendingPromptTokens < before.PendingPromptTokens
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
		if now.Sub(peer.reportedAt) <= peerTimeout {
			continue
		}
		for id := range peer.loads {
			p.setPeerLoad(peer, id, Load{}, now)
		}
		delete(p.peers, name)
	}
}

// sumPeerLoads adds up what the peers have in flight at the servers.
func (p *Placer) sumPeerLoads() {
	for _, s := range p.ordered {
		s.peerLoad = Load{}
	}
	for _, peer := range p.peers {
		for id, load := range peer.loads {
			if s := p.servers[id]; s != nil {
				s.peerLoad.Requests += load.Requests
				s.peerLoad.PendingPromptTokens += load.PendingPromptTokens
			}
		}
	}
}
