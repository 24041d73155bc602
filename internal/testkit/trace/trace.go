// Package trace replays bursty, skewed requests against modelled servers
// behind a router: 400 prefixes, a burst of 2 s in every 8 s, a tenth of the
// servers slow, reports up to 1 s old.
package trace

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
	// slots requests run at once at a server.
	slots      = 8
	duration   = 60 * time.Second
	prefixes   = 400
	workspaces = 10
	// cacheSize is how many prefixes a server keeps.
	cacheSize   = 24
	meanPrefill = 400 * time.Millisecond
	meanDecode  = 1600 * time.Millisecond
	// hitCost is the part of the prefill that a cached prefix still takes.
	hitCost = 0.1
	// slowdown is that of each tenth server.
	slowdown       = 3
	reportInterval = time.Second
)

type (
	// Run replays one trace against one kind of router.
	Run struct {
		random  *rand.Rand
		routers []mulberryspool.Router
		servers []*server
		byID    map[mulberryspool.InstanceID]*server
		events  *schedule.Schedule
		hits    int
		count   int
		first   *hdrhistogram.Histogram
	}

	server struct {
		id      mulberryspool.InstanceID
		slow    float64
		running int
		waiting []*request
		cache   *list.List
		cached  map[uint64]*list.Element
	}

	request struct {
		entry   int
		prefix  uint64
		space   string
		arrived time.Time
		first   time.Duration
		hit     bool
	}
)

// New prepares a run; the same seed gives the same requests.
func New(seed uint64, create func(*rand.Rand) mulberryspool.Router) *Run {
	r := &Run{
		random: rand.New(rand.NewPCG(seed, 1)),
		byID:   make(map[mulberryspool.InstanceID]*server),
		events: schedule.New(),
		first:  hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
	}
	for i := range serverCount {
		s := &server{
			id: mulberryspool.InstanceID(fmt.Sprintf("server-%d", i)), slow: 1,
			cache: list.New(), cached: make(map[uint64]*list.Element),
		}
		if i%10 == 0 {
			s.slow = slowdown
		}
		r.servers = append(r.servers, s)
		r.byID[s.id] = s
	}
	for i := range entryCount {
		router := create(rand.New(rand.NewPCG(seed, uint64(i)+2)))
		r.routers = append(r.routers, router)
		for _, s := range r.servers {
			router.Update(r.candidate(s))
		}
	}
	return r
}

func (r *Run) candidate(s *server) mulberryspool.Candidate {
	return mulberryspool.Candidate{
		Instance: s.id, Ready: true, ReportedAt: r.events.Now(),
		Load: mulberryspool.LoadReport{Running: s.running, Waiting: len(s.waiting), Capacity: slots},
	}
}

// Replay offers the share of the servers' capacity without cache hits.
func (r *Run) Replay(share float64) {
	capacity := 0.0
	for _, s := range r.servers {
		capacity += slots / (s.slow * (meanPrefill + meanDecode).Seconds())
	}
	zipf := rand.NewZipf(r.random, 1.1, 4, prefixes-1)
	end := r.events.Now().Add(duration)
	var arrive func()
	arrive = func() {
		if !r.events.Now().Before(end) {
			return
		}
		r.arrive(zipf.Uint64() + 1)
		rate := share * capacity * 0.75
		if r.events.Now().Unix()%8 < 2 { // a burst of 2 s in every 8 s
			rate = share * capacity * 1.75
		}
		r.events.After(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	r.events.After(0, arrive)
	var report func()
	report = func() {
		for _, s := range r.servers {
			for _, router := range r.routers {
				router.Update(r.candidate(s))
			}
		}
		if r.events.Now().Before(end) {
			r.events.After(reportInterval, report)
		}
	}
	r.events.After(reportInterval, report)
	r.events.Run()
}

func (r *Run) arrive(prefix uint64) {
	q := &request{
		entry: r.random.IntN(entryCount), arrived: r.events.Now(),
		prefix: prefix * 0x9E3779B97F4A7C15, space: fmt.Sprint(prefix % workspaces),
	}
	id, ok := r.routers[q.entry].Choose(mulberryspool.RoutingRequest{Workspace: q.space, Prefix: q.prefix, Now: r.events.Now()})
	if !ok {
		panic("no server is ready")
	}
	r.routers[q.entry].Started(id, 1, r.events.Now())
	s := r.byID[id]
	s.waiting = append(s.waiting, q)
	r.work(s)
}

func (r *Run) work(s *server) {
	for s.running < slots && len(s.waiting) > 0 {
		q := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		prefill := time.Duration(float64(meanPrefill) * s.slow)
		if q.hit = s.lookup(q.prefix); q.hit {
			prefill = time.Duration(float64(prefill) * hitCost)
			r.hits++
		}
		r.count++
		q.first = r.events.Now().Add(prefill).Sub(q.arrived)
		if err := r.first.RecordValue(q.first.Microseconds()); err != nil {
			panic(err)
		}
		decode := time.Duration(float64(meanDecode) * s.slow * (0.5 + r.random.Float64()))
		r.events.After(prefill+decode, func() {
			s.running--
			r.routers[q.entry].Ended(s.id, mulberryspool.RoutingResult{
				Outcome: mulberryspool.OutcomeDone, FirstByte: q.first, Tokens: 1, CacheHit: q.hit, Now: r.events.Now(),
			})
			r.work(s)
		})
	}
}

// lookup reports a cache hit and makes the prefix the most recent one.
func (s *server) lookup(prefix uint64) bool {
	if element, found := s.cached[prefix]; found {
		s.cache.MoveToFront(element)
		return true
	}
	s.cached[prefix] = s.cache.PushFront(prefix)
	if s.cache.Len() > cacheSize {
		oldest := s.cache.Back()
		delete(s.cached, oldest.Value.(uint64))
		s.cache.Remove(oldest)
	}
	return false
}

// P95 is that of the time to the first token.
func (r *Run) P95() time.Duration {
	return time.Duration(r.first.ValueAtQuantile(95)) * time.Microsecond
}

// HitShare is the share of requests whose prefix the server had cached.
func (r *Run) HitShare() float64 {
	return float64(r.hits) / float64(r.count)
}
