package routing

import (
	"container/heap"
	"container/list"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mulberryspool/mulberryspool"
)

const (
	traceServers    = 40
	traceEntries    = 4
	traceSlots      = 8
	traceDuration   = 60 * time.Second
	tracePrefixes   = 400
	traceWorkspaces = 10
	traceCacheSize  = 24
	tracePrefill    = 400 * time.Millisecond
	traceDecode     = 1600 * time.Millisecond
	traceHitShare   = 0.1
	traceSlowdown   = 3
	traceReport     = time.Second
)

type (
	// traceRun replays one trace against one kind of router.
	traceRun struct {
		random  *rand.Rand
		routers []mulberryspool.Router
		servers []*traceServer
		byID    map[mulberryspool.InstanceID]*traceServer
		events  traceEvents
		now     time.Time
		order   int
		hits    int
		count   int
		first   *hdrhistogram.Histogram
	}

	traceServer struct {
		id      mulberryspool.InstanceID
		slow    float64
		running int
		waiting []*traceRequest
		cache   *list.List
		cached  map[uint64]*list.Element
	}

	traceRequest struct {
		entry   int
		prefix  uint64
		space   string
		arrived time.Time
		first   time.Duration
		hit     bool
	}

	traceEvent struct {
		at    time.Time
		order int
		run   func()
	}

	traceEvents []traceEvent

	randomRouter     struct{ *baseline }
	roundRobinRouter struct{ *baseline }
	leastRouter      struct{ *baseline }

	baseline struct {
		random   *rand.Rand
		ids      []mulberryspool.InstanceID
		inFlight map[mulberryspool.InstanceID]int
		next     int
	}
)

func (e traceEvents) Len() int { return len(e) }
func (e traceEvents) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}
func (e traceEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *traceEvents) Push(x any)   { *e = append(*e, x.(traceEvent)) }
func (e *traceEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (b *baseline) Update(c mulberryspool.Candidate) {
	if _, found := b.inFlight[c.Instance]; !found {
		b.ids = append(b.ids, c.Instance)
		b.inFlight[c.Instance] = 0
	}
}
func (b *baseline) Remove(mulberryspool.InstanceID) {}
func (b *baseline) Started(id mulberryspool.InstanceID, _ int, _ time.Time) {
	b.inFlight[id]++
}
func (b *baseline) Ended(id mulberryspool.InstanceID, _ mulberryspool.RoutingResult) {
	b.inFlight[id]--
}

func (r randomRouter) Choose(mulberryspool.RoutingRequest) (mulberryspool.InstanceID, bool) {
	return r.ids[r.random.IntN(len(r.ids))], true
}

func (r roundRobinRouter) Choose(mulberryspool.RoutingRequest) (mulberryspool.InstanceID, bool) {
	r.next++
	return r.ids[r.next%len(r.ids)], true
}

func (r leastRouter) Choose(mulberryspool.RoutingRequest) (mulberryspool.InstanceID, bool) {
	best := r.ids[r.random.IntN(len(r.ids))]
	for _, id := range r.ids {
		if r.inFlight[id] < r.inFlight[best] {
			best = id
		}
	}
	return best, true
}

func newBaseline(random *rand.Rand) *baseline {
	return &baseline{random: random, inFlight: make(map[mulberryspool.InstanceID]int)}
}

var traceRouters = []struct {
	name string
	make func(*rand.Rand) mulberryspool.Router
}{
	{"pool", func(r *rand.Rand) mulberryspool.Router { return New(r) }},
	{"random", func(r *rand.Rand) mulberryspool.Router { return randomRouter{newBaseline(r)} }},
	{"roundRobin", func(r *rand.Rand) mulberryspool.Router { return roundRobinRouter{newBaseline(r)} }},
	{"leastInFlight", func(r *rand.Rand) mulberryspool.Router { return leastRouter{newBaseline(r)} }},
}

func newTraceRun(seed uint64, create func(*rand.Rand) mulberryspool.Router) *traceRun {
	r := &traceRun{
		random: rand.New(rand.NewPCG(seed, 1)),
		byID:   make(map[mulberryspool.InstanceID]*traceServer),
		now:    time.Unix(0, 0),
		first:  hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
	}
	for i := range traceServers {
		s := &traceServer{
			id: mulberryspool.InstanceID(fmt.Sprintf("server-%d", i)), slow: 1,
			cache: list.New(), cached: make(map[uint64]*list.Element),
		}
		if i%10 == 0 {
			s.slow = traceSlowdown
		}
		r.servers = append(r.servers, s)
		r.byID[s.id] = s
	}
	for i := range traceEntries {
		router := create(rand.New(rand.NewPCG(seed, uint64(i)+2)))
		r.routers = append(r.routers, router)
		for _, s := range r.servers {
			router.Update(r.candidate(s))
		}
	}
	return r
}

func (r *traceRun) at(delay time.Duration, run func()) {
	r.order++
	heap.Push(&r.events, traceEvent{at: r.now.Add(delay), order: r.order, run: run})
}

func (r *traceRun) candidate(s *traceServer) mulberryspool.Candidate {
	return mulberryspool.Candidate{
		Instance: s.id, Ready: true, ReportedAt: r.now,
		Load: mulberryspool.LoadReport{Running: s.running, Waiting: len(s.waiting), Capacity: traceSlots},
	}
}

// replay offers the share of the servers' capacity without cache hits.
func (r *traceRun) replay(share float64) {
	capacity := 0.0
	for _, s := range r.servers {
		capacity += traceSlots / (s.slow * (tracePrefill + traceDecode).Seconds())
	}
	zipf := rand.NewZipf(r.random, 1.1, 4, tracePrefixes-1)
	end := r.now.Add(traceDuration)
	var arrive func()
	arrive = func() {
		if !r.now.Before(end) {
			return
		}
		r.arrive(zipf.Uint64() + 1)
		rate := share * capacity * 0.75
		if r.now.Unix()%8 < 2 { // a burst of 2 s in every 8 s
			rate = share * capacity * 1.75
		}
		r.at(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	r.at(0, arrive)
	var report func()
	report = func() {
		for _, s := range r.servers {
			for _, router := range r.routers {
				router.Update(r.candidate(s))
			}
		}
		if r.now.Before(end) {
			r.at(traceReport, report)
		}
	}
	r.at(traceReport, report)
	for r.events.Len() > 0 {
		event := heap.Pop(&r.events).(traceEvent)
		r.now = event.at
		event.run()
	}
}

func (r *traceRun) arrive(prefix uint64) {
	q := &traceRequest{
		entry: r.random.IntN(traceEntries), arrived: r.now,
		prefix: prefix * 0x9E3779B97F4A7C15, space: fmt.Sprint(prefix % traceWorkspaces),
	}
	id, ok := r.routers[q.entry].Choose(mulberryspool.RoutingRequest{Workspace: q.space, Prefix: q.prefix, Now: r.now})
	if !ok {
		panic("no server is ready")
	}
	r.routers[q.entry].Started(id, 1, r.now)
	s := r.byID[id]
	s.waiting = append(s.waiting, q)
	r.work(s)
}

func (r *traceRun) work(s *traceServer) {
	for s.running < traceSlots && len(s.waiting) > 0 {
		q := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		prefill := time.Duration(float64(tracePrefill) * s.slow)
		if q.hit = s.lookup(q.prefix); q.hit {
			prefill = time.Duration(float64(prefill) * traceHitShare)
			r.hits++
		}
		r.count++
		q.first = r.now.Add(prefill).Sub(q.arrived)
		if err := r.first.RecordValue(q.first.Microseconds()); err != nil {
			panic(err)
		}
		decode := time.Duration(float64(traceDecode) * s.slow * (0.5 + r.random.Float64()))
		r.at(prefill+decode, func() {
			s.running--
			r.routers[q.entry].Ended(s.id, mulberryspool.RoutingResult{
				Outcome: mulberryspool.OutcomeDone, FirstByte: q.first, Tokens: 1, CacheHit: q.hit, Now: r.now,
			})
			r.work(s)
		})
	}
}

// lookup reports a cache hit and makes the prefix the most recent one.
func (s *traceServer) lookup(prefix uint64) bool {
	if element, found := s.cached[prefix]; found {
		s.cache.MoveToFront(element)
		return true
	}
	s.cached[prefix] = s.cache.PushFront(prefix)
	if s.cache.Len() > traceCacheSize {
		oldest := s.cache.Back()
		delete(s.cached, oldest.Value.(uint64))
		s.cache.Remove(oldest)
	}
	return false
}

func (r *traceRun) p95() time.Duration {
	return time.Duration(r.first.ValueAtQuantile(95)) * time.Microsecond
}

func (r *traceRun) hitShare() float64 {
	return float64(r.hits) / float64(r.count)
}

// Guards against a policy that is no better than simple ones on bursty,
// skewed load with a tenth of the servers slow.
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
	results := make(map[string]*traceRun)
	for _, router := range traceRouters {
		r := newTraceRun(seed, router.make)
		r.replay(share)
		results[router.name] = r
	}
	ours := results["pool"]
	for name, other := range results {
		if name != "pool" && ours.p95() >= other.p95() {
			t.Errorf("the p95 time to first token is %v, with %s it is %v", ours.p95(), name, other.p95())
		}
	}
	if least := results["leastInFlight"]; ours.hitShare() < 2*least.hitShare() {
		t.Errorf("the prefix-hit share is %.3f, want twice the %.3f of least in flight", ours.hitShare(), least.hitShare())
	}
}

func BenchmarkRouting(b *testing.B) {
	for _, share := range []float64{0.7, 0.9, 1.3} {
		for _, router := range traceRouters {
			b.Run(fmt.Sprintf("trace/load=%.0f/%s", share*100, router.name), func(b *testing.B) {
				var r *traceRun
				for range b.N {
					r = newTraceRun(7, router.make)
					r.replay(share)
				}
				b.ReportMetric(float64(r.p95().Milliseconds()), "p95-ms")
				b.ReportMetric(r.hitShare(), "hit-share")
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
				p.Started(id, 1, request.Now)
				p.Ended(id, mulberryspool.RoutingResult{Outcome: mulberryspool.OutcomeDone, FirstByte: time.Millisecond, Now: request.Now})
			}
		})
	}
}

// newPool returns a pool whose table is built, so that a benchmark counts choices only.
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
