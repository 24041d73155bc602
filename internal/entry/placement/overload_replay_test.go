package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// Replays a pool that is offered more than it can carry, by requests whose latency
// objectives differ. Guards against requests with the shorter objective that are refused
// for those that would wait behind them.
func TestOverloadRefusesAllObjectivesAlike(t *testing.T) {
	const (
		serviceTime = 800 * time.Millisecond
		tick        = 2 * time.Millisecond
		// offered is the load as a multiple of what the pool can carry.
		offered = 1.6
		servers = 4
		warmUp  = 3 * time.Second
		length  = 30 * time.Second
		// minShare is half of the share with a low load, at which all are placed.
		minShare = 0.5
	)
	type inFlight struct {
		server mulberryspool.InstanceID
		endAt  time.Time
	}
	objectives := []time.Duration{300 * time.Millisecond, 400 * time.Millisecond, 400 * time.Millisecond}
	for seed := range uint64(3) {
		p := newPlacer(servers)
		random := rand.New(rand.NewPCG(seed, 3))
		running, kinds := []inFlight(nil), make(map[Ticket]int)
		offers, placed := make([]int, len(objectives)), make([]int, len(objectives))
		rate := offered * float64(servers*enginePool().Engine.Slots) / serviceTime.Seconds()
		for now := start; now.Before(start.Add(length)); now = now.Add(tick) {
			var left []inFlight
			for _, r := range running {
				if r.endAt.After(now) {
					left = append(left, r)
					continue
				}
				p.RecordEnd(r.server, 0, true, Answered, serviceTime, now)
			}
			running = left
			decisions := p.DecideWaiting(now)
			for expected := rate * tick.Seconds(); expected > 0; expected-- {
				if random.Float64() < expected {
					kind := random.IntN(len(objectives))
					r := request(now)
					r.LatencyObjective = objectives[kind]
					d := p.Offer(r, now)
					kinds[d.Ticket] = kind
					if now.Sub(start) >= warmUp {
						offers[kind]++
					}
					decisions = append(decisions, d)
				}
			}
			for _, d := range decisions {
				if d.Verdict != Placed {
					continue
				}
				p.RecordFirstEvent(d.Server.Instance, 900)
				running = append(running, inFlight{server: d.Server.Instance, endAt: now.Add(time.Duration((0.5 + random.Float64()) * float64(serviceTime)))})
				if now.Sub(start) >= warmUp {
					placed[kinds[d.Ticket]]++
				}
			}
		}
		for kind, n := range placed {
			share := float64(n) / float64(offers[kind])
			t.Logf("seed %d: %.2f of the requests with an objective of %s are placed", seed, share, objectives[kind])
			if share < minShare {
				t.Errorf("seed %d: %.2f of the requests with an objective of %s are placed, want at least %.2f", seed, share, objectives[kind], minShare)
			}
		}
	}
}
