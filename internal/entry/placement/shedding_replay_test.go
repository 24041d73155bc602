package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/testkit/schedule"
)

const (
	replayServers     = 175
	replayServiceTime = 600 * time.Millisecond
	// Entries report changes to those of their failure domain after replayLocalInterval and
	// to the others after replayRemoteInterval; replayDelay is the time on the way.
	replayLocalInterval  = 6 * time.Millisecond
	replayRemoteInterval = 25 * time.Millisecond
	replayDelay          = 2 * time.Millisecond
	// replayDemandInterval is the time between two reports of what is offered.
	replayDemandInterval = 200 * time.Millisecond
	replayDomains        = 3
)

type (
	// overloadReplay is a pool that several entries use, with callers that retry.
	overloadReplay struct {
		events *schedule.Schedule
		random *rand.Rand
		// arrivals is the source of the requests, which are the same whatever is decided.
		arrivals *rand.Rand
		kinds    []replayKind
		entries  []*replayEntry
		servers  map[mulberryspool.InstanceID]*replayServer
		listed   []mulberryspool.BackendServer
		// usual is the load in ordinary times as a part of the capacity, burst the factor on
		// it between burstFrom and burstTo, in which missing servers are not listed.
		usual, burst       float64
		burstFrom, burstTo time.Duration
		missing            int
		// repeats is the part of the callers that retry at once after a rejection.
		repeats float64
		// weights holds the parts of the requests that arrive at each entry.
		weights []float64
		// engine is that of the pool. It decides how long requests may wait.
		engine  mulberryspool.EngineProfile
		started time.Time
	}

	replayKind struct {
		share     float64
		objective time.Duration
		priority  int
		// counted is the number of requests that arrived in the burst, of which served got a
		// response, inTime one that was in time.
		counted, served, inTime int
	}

	replayEntry struct {
		placer  Placer
		waiting map[Ticket]*replayRequest
		wake    int
	}

	replayRequest struct {
		kind      *replayKind
		arrivedAt time.Time
		deadline  time.Time
		counted   bool
		immediate bool
		retry     bool
		tokens    int
	}

	// replayWaiting is what an entry reports of its waiting requests.
	replayWaiting struct {
		count  int
		urgent bool
	}

	replayServer struct {
		inFlight int
		queue    []func()
		readAt   time.Time
	}
)

func newOverloadReplay(seed uint64, entries int, passTime time.Duration, kinds []replayKind) *overloadReplay {
	r := &overloadReplay{
		events: schedule.New(), random: rand.New(rand.NewPCG(seed, 5)), arrivals: rand.New(rand.NewPCG(seed, 6)), kinds: kinds,
		servers: make(map[mulberryspool.InstanceID]*replayServer),
		usual:   0.6, burst: 2, burstFrom: 4 * time.Second, burstTo: 11 * time.Second, missing: 60,
		engine: *enginePool().Engine,
	}
	for i := range entries {
		r.weights = append(r.weights, float64(1+i%3)/float64(2*entries))
	}
	r.engine.TokenTime = passTime / time.Duration(r.engine.TokensPerEvent)
	r.engine.MeanAnswerTokens = int(500*time.Millisecond/passTime) * r.engine.TokensPerEvent
	r.started = r.events.Now()
	for i := range replayServers {
		id := mulberryspool.InstanceID(fmt.Sprintf("i-%d", i))
		r.servers[id] = &replayServer{}
		r.listed = append(r.listed, mulberryspool.BackendServer{
			Instance: id, Born: 1, Pool: "scribe", FailureDomain: fmt.Sprint(i % replayDomains), Slots: 4, Models: []mulberryspool.LoadedModel{{Model: "m", Version: 1}},
		})
	}
	pool := enginePool()
	pool.Engine = &r.engine
	for i := range entries {
		e := &replayEntry{waiting: make(map[Ticket]*replayRequest)}
		e.placer.Config = Config{EntryName: fmt.Sprintf("e-%d", i), FailureDomain: fmt.Sprint(i % replayDomains), CrossDomainDelay: 10 * time.Millisecond, VersionGrace: 7 * time.Second}
		e.placer.Random = rand.New(rand.NewPCG(seed, uint64(i)))
		e.placer.SetPool(pool)
		e.placer.SetServers(r.listed)
		r.entries = append(r.entries, e)
	}
	return r
}

// run runs the replay until all requests have ended.
func (r *overloadReplay) run() {
	rate := r.usual * replayServers * 4 / replayServiceTime.Seconds()
	end := r.started.Add(r.burstTo + 3*time.Second)
	inBurst := func() bool {
		at := r.events.Now().Sub(r.started)
		return at >= r.burstFrom && at < r.burstTo
	}
	var arrive func()
	arrive = func() {
		if r.events.Now().After(end) {
			return
		}
		current := rate
		if inBurst() {
			current *= r.burst
		}
		r.arrive(inBurst())
		r.events.After(time.Duration(r.arrivals.ExpFloat64()/current*float64(time.Second)), arrive)
	}
	r.events.After(0, arrive)
	for i, e := range r.entries {
		phase := time.Duration(i) * replayRemoteInterval / time.Duration(len(r.entries))
		r.events.After(phase, func() { r.report(e, true, nil, replayWaiting{}, end.Add(6*time.Second)) })
		r.events.After(phase, func() { r.report(e, false, nil, replayWaiting{}, end.Add(6*time.Second)) })
		r.events.After(phase, func() { r.reportDemand(e, end) })
	}
	if r.missing > 0 {
		r.events.After(r.burstFrom, func() { r.list(r.listed[r.missing:]) })
		r.events.After(r.burstTo, func() { r.list(r.listed) })
	}
	r.events.Run()
}

func (r *overloadReplay) list(servers []mulberryspool.BackendServer) {
	for _, e := range r.entries {
		e.placer.SetServers(servers)
		r.decide(e)
	}
}

// report sends the changes to the other entries of the failure domain, or to those of others.
func (r *overloadReplay) report(e *replayEntry, local bool, sent map[mulberryspool.InstanceID]Load, sentWaiting replayWaiting, until time.Time) {
	loads, changed := make(map[mulberryspool.InstanceID]Load), make(map[mulberryspool.InstanceID]Load)
	e.placer.AddOwnLoads(loads)
	for id, l := range loads {
		if sent[id] != l {
			changed[id] = l
		}
	}
	for id := range sent {
		if _, ok := loads[id]; !ok {
			changed[id] = Load{}
		}
	}
	report := PeerReport{
		FailureDomain: e.placer.Config.FailureDomain, Loads: changed, Partial: true, Waiting: e.placer.Waiting(), Urgent: e.placer.HasUrgent(r.events.Now()),
	}
	waiting := replayWaiting{report.Waiting, report.Urgent}
	interval := replayRemoteInterval
	if local {
		interval = replayLocalInterval
	}
	if len(changed) > 0 || waiting != sentWaiting {
		r.events.After(replayDelay, func() {
			for _, other := range r.entries {
				if other != e && (other.placer.Config.FailureDomain == e.placer.Config.FailureDomain) == local && other.placer.SetPeer(e.placer.Config.EntryName, report, r.events.Now()) {
					r.decide(other)
				}
			}
		})
	}
	if r.events.Now().Before(until) {
		r.events.After(interval, func() { r.report(e, local, loads, waiting, until) })
	}
}

func (r *overloadReplay) reportDemand(e *replayEntry, until time.Time) {
	if report, ok := e.placer.Demand(r.events.Now()); ok {
		r.events.After(replayDelay, func() {
			for _, other := range r.entries {
				if other != e {
					other.placer.SetPeerDemand(e.placer.Config.EntryName, report, r.events.Now())
				}
			}
		})
	}
	if r.events.Now().Before(until) {
		r.events.After(replayDemandInterval, func() { r.reportDemand(e, until) })
	}
}

func (r *overloadReplay) arrive(counted bool) {
	x := r.arrivals.Float64()
	kind := &r.kinds[0]
	for i := range r.kinds {
		kind = &r.kinds[i]
		if x -= kind.share; x < 0 {
			break
		}
	}
	now := r.events.Now()
	q := &replayRequest{kind: kind, arrivedAt: now, counted: counted, deadline: now.Add(4 * time.Second), immediate: r.arrivals.Float64() < r.repeats}
	q.tokens = 600 + r.arrivals.IntN(600)
	if counted {
		kind.counted++
	}
	r.offer(q)
}

// offer sends the request to one of the entries.
func (r *overloadReplay) offer(q *replayRequest) {
	x := r.random.Float64()
	e := r.entries[0]
	for i, w := range r.weights {
		e = r.entries[i]
		if x -= w; x < 0 {
			break
		}
	}
	now := r.events.Now()
	q.retry = q.arrivedAt != now
	d := e.placer.Offer(Request{
		PromptTokens: q.tokens, Priority: q.kind.priority, CallerRetry: q.retry, LatencyObjective: q.kind.objective,
		ArrivedAt: now, Deadline: q.deadline,
	}, now)
	if d.Verdict == Waiting {
		e.waiting[d.Ticket] = q
		r.setWake(e)
		return
	}
	r.decided(e, q, d)
}

func (r *overloadReplay) decide(e *replayEntry) {
	for _, d := range e.placer.DecideWaiting(r.events.Now()) {
		if q := e.waiting[d.Ticket]; q != nil {
			delete(e.waiting, d.Ticket)
			r.decided(e, q, d)
		}
	}
	r.setWake(e)
}

func (r *overloadReplay) setWake(e *replayEntry) {
	e.wake++
	wake := e.wake
	if at, ok := e.placer.NextWake(r.events.Now()); ok {
		r.events.After(max(0, at.Sub(r.events.Now())), func() {
			if wake == e.wake {
				r.decide(e)
			}
		})
	}
}

func (r *overloadReplay) decided(e *replayEntry, q *replayRequest, d Decision) {
	if d.Verdict == Refused {
		pause := min(d.RetryAfter, q.deadline.Sub(r.events.Now())/3)
		if q.immediate {
			pause = 20 * time.Millisecond
		}
		if q.deadline.Sub(r.events.Now())-pause > 800*time.Millisecond {
			r.events.After(pause, func() { r.offer(q) })
		}
		return
	}
	s := r.servers[d.Server.Instance]
	run := func() {
		now := r.events.Now()
		if s.readAt.Before(now) {
			s.readAt = now
		}
		s.readAt = s.readAt.Add(time.Duration(float64(q.tokens) / 30_000 * float64(time.Second)))
		first := s.readAt.Sub(now) + time.Duration((1+r.random.Float64())*float64(r.engine.TokenTime)*float64(r.engine.TokensPerEvent))
		took := max(first, time.Duration((0.4+1.2*r.random.Float64())*float64(replayServiceTime)))
		r.events.After(first, func() {
			if q.counted {
				q.kind.served++
				if r.events.Now().Sub(q.arrivedAt) <= q.kind.objective {
					q.kind.inTime++
				}
			}
			e.placer.RecordFirstEvent(d.Server.Instance, q.tokens)
			r.decide(e)
		})
		r.events.After(took, func() {
			e.placer.RecordEnd(d.Server.Instance, q.tokens, true, Answered, took, r.events.Now())
			if s.inFlight--; len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next()
			}
			r.decide(e)
		})
	}
	if s.inFlight++; s.inFlight > 4 {
		s.queue = append(s.queue, run)
		return
	}
	run()
}

// Replays twice the usual load while a part of the servers is missing, with callers that
// retry. Guards against the order in which requests with short latency objectives, which are
// the most urgent ones, were rejected most, against kinds that get nothing, and against slots
// that early rejections leave empty.
func TestOverloadRejectsLessUrgentFirst(t *testing.T) {
	for name, c := range map[string]struct {
		entries      int
		passTime     time.Duration
		usual, burst float64
		missing      int
		// inTime is the part of all requests that were in time before there were early
		// rejections.
		inTime float64
	}{
		"twice the load, waits of 0.2 and 0.6 s":             {6, 42 * time.Millisecond, 0.6, 2, 60, 0.55},
		"twice the load, waits of 0.06 and 0.5 s":            {22, 125 * time.Millisecond, 0.6, 2, 60, 0.385},
		"servers missing in a swap, waits of 0.2 and 0.6 s":  {6, 42 * time.Millisecond, 0.85, 1, 60, 0.76},
		"servers missing in a swap, waits of 0.06 and 0.5 s": {6, 125 * time.Millisecond, 0.85, 1, 60, 0.605},
	} {
		t.Run(name, func(t *testing.T) {
			r := newOverloadReplay(1, c.entries, c.passTime, []replayKind{
				{share: 0.34, objective: 400 * time.Millisecond, priority: 0},
				{share: 0.40, objective: 400 * time.Millisecond, priority: 1},
				{share: 0.26, objective: 800 * time.Millisecond, priority: 2},
			})
			r.usual, r.burst, r.missing = c.usual, c.burst, c.missing
			r.run()
			r.check(t, c.inTime)
		})
	}
}

// check checks the shares of the requests of each kind that were served, and that of all that
// were in time.
func (r *overloadReplay) check(t *testing.T, minInTime float64) {
	t.Helper()
	const (
		// minPart is the least share of a kind that is served, as a part of the mean.
		minPart = 0.4
		// maxInversion is how much less a more urgent kind may be served.
		maxInversion = 0.05
	)
	var all replayKind
	for _, k := range r.kinds {
		all.counted, all.served, all.inTime = all.counted+k.counted, all.served+k.served, all.inTime+k.inTime
	}
	least := 1.0
	for _, k := range r.kinds {
		served := part(k.served, k.counted)
		t.Logf("priority %d: %d requests, %.3f served, %.3f in time", k.priority, k.counted, served, part(k.inTime, k.counted))
		if served < minPart*part(all.served, all.counted) {
			t.Errorf("%.3f of priority %d are served, want at least %.1f of the mean %.3f", served, k.priority, minPart, part(all.served, all.counted))
		}
		if served > least+maxInversion {
			t.Errorf("%.3f of priority %d are served, want at most %.2f more than the %.3f of a more urgent one", served, k.priority, maxInversion, least)
		}
		least = min(least, served)
	}
	t.Logf("all: %.3f served, %.3f in time", part(all.served, all.counted), part(all.inTime, all.counted))
	if inTime := part(all.inTime, all.counted); inTime < minInTime {
		t.Errorf("%.3f of all are in time, want at least %.3f", inTime, minInTime)
	}
}

func part(n, of int) float64 { return float64(n) / float64(of) }
