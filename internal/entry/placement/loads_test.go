package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberryspool/mulberryspool"
)

// Guards against loads of peers that are counted twice or kept: reports change the sums by
// what is new in them.
func TestLoadsOfPeersAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlacer(4)
		now := start
		// reported is what each peer has reported, and when.
		reported := make(map[string]map[mulberryspool.InstanceID]Load)
		reportedAt := make(map[string]time.Time)
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			peer := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "peer")
			loads := make(map[mulberryspool.InstanceID]Load)
			for i := range 5 {
				if n := rapid.IntRange(-1, 3).Draw(t, "requests"); n >= 0 {
					loads[mulberryspool.InstanceID(fmt.Sprintf("i-%d", i))] = Load{Requests: n, PendingPromptTokens: 100 * n}
				}
			}
			partial := rapid.Bool().Draw(t, "partial")
			p.SetPeer(peer, PeerReport{Loads: loads, Partial: partial}, now)
			if !partial || reported[peer] == nil {
				reported[peer] = make(map[mulberryspool.InstanceID]Load)
			}
			for id, load := range loads {
				reported[peer][id] = load
			}
			reportedAt[peer] = now
			if rapid.Bool().Draw(t, "list servers") {
				p.SetServers(engines(rapid.IntRange(2, 6).Draw(t, "servers"), 1))
			}
			p.ExpirePeers(now)
			for name, at := range reportedAt {
				if now.Sub(at) > peerTimeout {
					delete(reported, name)
				}
			}
			for _, s := range p.ordered {
				var want Load
				for _, loads := range reported {
					want.Requests += loads[s.Instance].Requests
					want.PendingPromptTokens += loads[s.Instance].PendingPromptTokens
				}
				if s.peerLoad != want {
					t.Fatalf("load of peers at %s is %+v, want %+v", s.Instance, s.peerLoad, want)
				}
			}
		}
	})
}

// BenchmarkSetPeer measures a report of two changed loads, as entries send them after each
// placement, at 54 entries and 198 servers.
func BenchmarkSetPeer(b *testing.B) {
	p := newPlacer(198)
	id := func(i int) mulberryspool.InstanceID { return mulberryspool.InstanceID(fmt.Sprintf("i-%d", i%198)) }
	for peer := range 54 {
		loads := make(map[mulberryspool.InstanceID]Load)
		for i := range 20 {
			loads[id(peer*7+i)] = Load{Requests: 1}
		}
		p.SetPeer(fmt.Sprint(peer), PeerReport{FailureDomain: "a", Loads: loads}, start)
	}
	for i := 0; b.Loop(); i++ {
		changed := map[mulberryspool.InstanceID]Load{id(i): {Requests: 1 + i%2}, id(i + 1): {Requests: i % 2}}
		p.SetPeer(fmt.Sprint(i%54), PeerReport{FailureDomain: "a", Loads: changed, Partial: true}, start)
	}
}
