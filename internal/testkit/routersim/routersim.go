// Package routersim simulates bursty, skewed load on servers behind routers, to
// compare routing policies: 400 prefixes with a Zipf distribution, a burst of
// 2 s in every 8 s, every tenth server slow, load reports up to 1 s old.
package routersim

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/testkit/schedule"
)

const (
	serverCount = 40
	entryCount  = 4
	// slotsPerServer is the number of requests that a server runs concurrently.
	slotsPerServer = 8
	duration       = 60 * time.Second
	prefixes       = 400
	workspaces     = 10
	// cacheSize is the number of prefixes in a server's cache.
	cacheSize       = 24
	meanPrefillTime = 400 * time.Millisecond
	meanDecodeTime  = 1600 * time.Millisecond
	// cacheHitCost is the fraction of the prefill time that remains on a cache hit.
	cacheHitCost = 0.1
	// slowServerFactor is the factor by which every tenth server is slower.
	slowServerFactor = 3
	reportInterval   = time.Second
)

type (
	// Simulation simulates one load with one kind of router.
	Simulation struct {
		random    *rand.Rand
		routers   []mulberryspool.Router
		servers   []*server
		byID      map[mulberryspool.InstanceID]*server
		events    *schedule.Schedule
		cacheHits int
		requests  int
		// firstToken holds the times to the first token in microseconds.
		firstToken *hdrhistogram.Histogram
	}

	server struct {
		id mulberryspool.InstanceID
		// slowdown is the factor on all processing times.
		slowdown float64
		running  int
		waiting  []*request
		// cache holds the prefixes, most recently used first; elements finds each
		// prefix's element.
		cache    *list.List
		elements map[uint64]*list.Element
	}

	request struct {
		entry      int
		prefix     uint64
		workspace  string
		arrived    time.Time
		firstToken time.Duration
		cacheHit   bool
	}
)

// New prepares a simulation with routers that create returns, one for each
// entry. The same seed gives the same requests.
func New(seed uint64, create func(*rand.Rand) mulberryspool.Router) *Simulation {
	sim := &Simulation{
		random:     rand.New(rand.NewPCG(seed, 1)),
		byID:       make(map[mulberryspool.InstanceID]*server),
		events:     schedule.New(),
		firstToken: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
	}
	for i := range serverCount {
		s := &server{
			id: mulberryspool.InstanceID(fmt.Sprintf("server-%d", i)), slowdown: 1,
			cache: list.New(), elements: make(map[uint64]*list.Element),
		}
		if i%10 == 0 {
			s.slowdown = slowServerFactor
		}
		sim.servers = append(sim.servers, s)
		sim.byID[s.id] = s
	}
	for i := range entryCount {
		router := create(rand.New(rand.NewPCG(seed, uint64(i)+2)))
		sim.routers = append(sim.routers, router)
		for _, s := range sim.servers {
			router.Update(sim.candidate(s))
		}
	}
	return sim
}

func (sim *Simulation) candidate(s *server) mulberryspool.Candidate {
	return mulberryspool.Candidate{
		Instance: s.id, Ready: true, ReportedAt: sim.events.Now(),
		Load: mulberryspool.LoadReport{Running: s.running, Waiting: len(s.waiting), Capacity: slotsPerServer},
	}
}

// Run runs the simulation. The mean request rate is the given share of the
// servers' capacity without cache hits.
func (sim *Simulation) Run(share float64) {
	capacity := 0.0
	for _, s := range sim.servers {
		capacity += slotsPerServer / (s.slowdown * (meanPrefillTime + meanDecodeTime).Seconds())
	}
	zipf := rand.NewZipf(sim.random, 1.1, 4, prefixes-1)
	end := sim.events.Now().Add(duration)
	var arrive func()
	arrive = func() {
		if !sim.events.Now().Before(end) {
			return
		}
		sim.arrive(zipf.Uint64() + 1)
		rate := share * capacity * 0.75
		if sim.events.Now().Unix()%8 < 2 { // a burst of 2 s in every 8 s
			rate = share * capacity * 1.75
		}
		sim.events.After(time.Duration(sim.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	sim.events.After(0, arrive)
	var report func()
	report = func() {
		for _, s := range sim.servers {
			for _, router := range sim.routers {
				router.Update(sim.candidate(s))
			}
		}
		if sim.events.Now().Before(end) {
			sim.events.After(reportInterval, report)
		}
	}
	sim.events.After(reportInterval, report)
	sim.events.Run()
}

// arrive routes one request and queues it at the chosen server.
func (sim *Simulation) arrive(prefix uint64) {
	q := &request{
		entry: sim.random.IntN(entryCount), arrived: sim.events.Now(),
		prefix: prefix * 0x9E3779B97F4A7C15, workspace: fmt.Sprint(prefix % workspaces),
	}
	id, ok := sim.routers[q.entry].Choose(mulberryspool.RoutingRequest{Workspace: q.workspace, Prefix: q.prefix, Now: sim.events.Now()})
	if !ok {
		panic("no server is ready")
	}
	sim.routers[q.entry].RecordStart(id, 1, sim.events.Now())
	s := sim.byID[id]
	s.waiting = append(s.waiting, q)
	sim.startRequests(s)
}

// startRequests starts waiting requests while the server has free slots.
func (sim *Simulation) startRequests(s *server) {
	for s.running < slotsPerServer && len(s.waiting) > 0 {
		q := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		prefill := time.Duration(float64(meanPrefillTime) * s.slowdown)
		if q.cacheHit = s.lookup(q.prefix); q.cacheHit {
			prefill = time.Duration(float64(prefill) * cacheHitCost)
			sim.cacheHits++
		}
		sim.requests++
		q.firstToken = sim.events.Now().Add(prefill).Sub(q.arrived)
		if err := sim.firstToken.RecordValue(q.firstToken.Microseconds()); err != nil {
			panic(err)
		}
		decode := time.Duration(float64(meanDecodeTime) * s.slowdown * (0.5 + sim.random.Float64()))
		sim.events.After(prefill+decode, func() {
			s.running--
			sim.routers[q.entry].RecordEnd(s.id, mulberryspool.RoutingResult{
				Outcome: mulberryspool.OutcomeDone, FirstByte: q.firstToken, Tokens: 1, CacheHit: q.cacheHit, Now: sim.events.Now(),
			})
			sim.startRequests(s)
		})
	}
}

// lookup reports whether the prefix is in the LRU cache, and adds or refreshes it.
func (s *server) lookup(prefix uint64) bool {
	if element, found := s.elements[prefix]; found {
		s.cache.MoveToFront(element)
		return true
	}
	s.elements[prefix] = s.cache.PushFront(prefix)
	if s.cache.Len() > cacheSize {
		oldest := s.cache.Back()
		delete(s.elements, oldest.Value.(uint64))
		s.cache.Remove(oldest)
	}
	return false
}

// FirstTokenP95 returns the 95th percentile of the time to the first token.
func (sim *Simulation) FirstTokenP95() time.Duration {
	return time.Duration(sim.firstToken.ValueAtQuantile(95)) * time.Microsecond
}

// CacheHitRatio returns the fraction of requests whose prefix was in the server's
// cache.
func (sim *Simulation) CacheHitRatio() float64 {
	return float64(sim.cacheHits) / float64(sim.requests)
}
