package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/testkit/routersim"
)

// routers returns constructors of the pool and of the baseline policies by name.
func routers() map[string]func(*rand.Rand) mulberryspool.Router {
	all := routersim.Baselines()
	all["pool"] = func(r *rand.Rand) mulberryspool.Router { return New(r) }
	return all
}

// Guards against a router that is no better than the baseline policies under
// bursty, skewed load when a tenth of the servers is slow.
func TestTraceAgainstBaselines(t *testing.T) {
	for _, seed := range []uint64{7, 8, 9} {
		for _, share := range []float64{0.7, 0.9, 1.3} {
			t.Run(fmt.Sprintf("seed=%d/load=%.0f", seed, 100*share), func(t *testing.T) {
				compareOnTrace(t, seed, share)
			})
		}
	}
}

func compareOnTrace(t *testing.T, seed uint64, share float64) {
	results := make(map[string]*routersim.Simulation)
	for name, create := range routers() {
		sim := routersim.New(seed, create)
		sim.Run(share)
		results[name] = sim
	}
	ours := results["pool"]
	for name, other := range results {
		if name != "pool" && ours.FirstTokenP95() >= other.FirstTokenP95() {
			t.Errorf("the p95 time to first token is %v, with %s it is %v", ours.FirstTokenP95(), name, other.FirstTokenP95())
		}
	}
	if least := results["leastInFlight"]; ours.CacheHitRatio() < 2*least.CacheHitRatio() {
		t.Errorf("the share of prefix cache hits is %.3f, want at least twice the %.3f of leastInFlight", ours.CacheHitRatio(), least.CacheHitRatio())
	}
}

func BenchmarkRouting(b *testing.B) {
	for _, share := range []float64{0.7, 0.9, 1.3} {
		for name, create := range routers() {
			b.Run(fmt.Sprintf("trace/load=%.0f/%s", share*100, name), func(b *testing.B) {
				var sim *routersim.Simulation
				for range b.N {
					sim = routersim.New(7, create)
					sim.Run(share)
				}
				b.ReportMetric(float64(sim.FirstTokenP95().Milliseconds()), "p95-ms")
				b.ReportMetric(sim.CacheHitRatio(), "hit-share")
			})
		}
	}
	for _, servers := range []int{16, 150, 600} {
		b.Run(fmt.Sprintf("choice/servers=%d", servers), func(b *testing.B) {
			p := newPool(servers, b.N)
			request := mulberryspool.RoutingRequest{Workspace: "workspace", Now: time.Unix(1, 0)}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				request.Prefix = uint64(i)*0x9E3779B97F4A7C15 + 1
				id, ok := p.Choose(request)
				if !ok {
					b.Fatal("no agent is ready")
				}
				p.RecordStart(id, 1, request.Now)
				p.RecordEnd(id, mulberryspool.RoutingResult{Outcome: mulberryspool.OutcomeDone, FirstByte: time.Millisecond, Now: request.Now})
			}
		})
	}
}

// newPool returns a pool with a current table, so that a benchmark measures only
// choices.
func newPool(servers, seed int) *Pool {
	p := New(rand.New(rand.NewPCG(uint64(seed), 1)))
	for i := range servers {
		p.Update(mulberryspool.Candidate{
			Instance: mulberryspool.InstanceID(fmt.Sprintf("server-%d", i)), Ready: true, ReportedAt: time.Unix(1, 0),
			Load: mulberryspool.LoadReport{Capacity: 8, Running: i % 8},
		})
	}
	p.rebuild()
	return p
}
