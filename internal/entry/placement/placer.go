package placement

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// peerTimeout is how long an entry's word on its requests counts.
	peerTimeout = time.Second
	// plainQueue is the number of requests per slot at a plain service, whose
	// requests are short and which queues itself.
	plainQueue = 2
	// defaultSlots is assumed for a backend server that names none.
	defaultSlots = 4
	// lateMargin is kept free for the way of the answer when a request waits.
	lateMargin = 60 * time.Millisecond
	// shortestWait is how long any request may wait for a place; the entry's
	// view of the others' requests is about as old.
	shortestWait = 40 * time.Millisecond
	// shortestRetry and longestRetry bound the hint for a refused caller.
	shortestRetry = 400 * time.Millisecond
	longestRetry  = 1900 * time.Millisecond
	// fullFor is how long a backend server that refused for lack of room is passed over.
	fullFor = 80 * time.Millisecond
	// initialService is assumed for a plain service until answers were seen.
	initialService = 50 * time.Millisecond
	// smoothing is the weight of a new observation in a moving mean.
	smoothing = 0.1
)

type (
	// Placer is the state of one pool. Set the exported fields before the first use.
	Placer struct {
		Figures Figures
		Random  *rand.Rand

		pool    mulberryspool.IngressPool
		servers map[mulberryspool.InstanceID]*server
		ordered []*server
		peers   map[string]peer
		// named holds since when each version has been named.
		named map[int64]time.Time
		// service is the moving mean of the time that requests take.
		service time.Duration
		last    Ticket
		waiting []*waiter
	}

	server struct {
		mulberryspool.BackendServer
		version int64
		// misdirectedUntil holds back a server whose version is in doubt.
		misdirectedUntil time.Time
		fullUntil        time.Time
		// closesAt is when the server takes nothing new; zero for not known.
		closesAt time.Time
		own      Load
		// others is the sum of the peers' words, valid until the next change.
		others Load
		// freedAt is when a peer's place became free while the server was full.
		freedAt time.Time
		// before is used by sumPeers only.
		before int
		health health
	}

	peer struct {
		at      time.Time
		domain  string
		waiting int
		loads   map[mulberryspool.InstanceID]Load
	}

	waiter struct {
		ticket  Ticket
		request Request
		until   time.Time
		// late requests no longer look for an answer on time.
		late bool
	}
)

// SetPool takes over the published figures of the pool.
func (p *Placer) SetPool(pool mulberryspool.IngressPool) {
	p.pool = pool
}

// SetServers takes over the backend servers of the pool. Those that are
// leaving are kept only for their requests in flight.
func (p *Placer) SetServers(list []mulberryspool.BackendServer) {
	known := p.servers
	p.servers = make(map[mulberryspool.InstanceID]*server, len(list))
	p.ordered = p.ordered[:0]
	for _, b := range list {
		s := known[b.Instance]
		if s == nil || s.Born != b.Born || s.Address != b.Address {
			s = &server{}
		}
		served := b.Serves(p.pool.Model)
		if s.Instance == "" || served > s.version {
			s.version, s.misdirectedUntil = served, time.Time{}
		}
		s.BackendServer = b
		p.servers[b.Instance] = s
		p.ordered = append(p.ordered, s)
	}
	slices.SortFunc(p.ordered, func(a, b *server) int { return cmp.Compare(a.Instance, b.Instance) })
	p.sumPeers(time.Time{})
}

// SetServed takes in what an agent says of its backend server: the version
// that it takes requests for, 0 for none, and until when; zero for not known.
func (p *Placer) SetServed(id mulberryspool.InstanceID, born, version int64, until time.Time) {
	s := p.servers[id]
	if s == nil || born != 0 && s.Born != 0 && born != s.Born {
		return
	}
	// An incarnation never goes back to an older version, so a smaller one is old news.
	if version == 0 || version > s.version {
		s.version, s.misdirectedUntil = version, time.Time{}
	}
	s.closesAt = until
}

// SetNamed takes in the versions that were named, and since when. The map is
// not changed until the next call.
func (p *Placer) SetNamed(named map[int64]time.Time) {
	p.named = named
}

// SetPeer takes in what another entry says of itself.
func (p *Placer) SetPeer(name string, said Peer, now time.Time) {
	if p.peers == nil {
		p.peers = make(map[string]peer)
	}
	known, ok := p.peers[name]
	if !ok || !said.Partial {
		known.loads = make(map[mulberryspool.InstanceID]Load, len(said.Loads))
	}
	known.at, known.waiting, known.domain = now, said.Waiting, cmp.Or(said.Domain, known.domain)
	maps.Copy(known.loads, said.Loads)
	p.peers[name] = known
	p.sumPeers(now)
}

// Own returns what this entry has in flight.
func (p *Placer) Own(into map[mulberryspool.InstanceID]Load) {
	for _, s := range p.ordered {
		if s.own.Requests > 0 {
			into[s.Instance] = s.own
		}
	}
}

// Waiting returns the number of requests that wait for a place.
func (p *Placer) Waiting() int { return len(p.waiting) }

// Offer decides on a request.
func (p *Placer) Offer(r Request, now time.Time) Decision {
	p.last++
	w := &waiter{ticket: p.last, request: r}
	if len(p.waiting) == 0 || r.Resumed {
		if d, ok := p.place(w, now); ok {
			return d
		}
	}
	return p.hold(w, now)
}

// Withdraw takes back a request that waits.
func (p *Placer) Withdraw(t Ticket) {
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool { return w.ticket == t })
}

// Began takes in the first event of a request, or its whole answer.
func (p *Placer) Began(id mulberryspool.InstanceID, promptTokens int) {
	if s := p.servers[id]; s != nil {
		s.own.Unread = max(0, s.own.Unread-promptTokens)
	}
}

// Ended takes in the end of an exchange. Began says whether it had been
// called. It returns whether that made a place at a full server free.
func (p *Placer) Ended(id mulberryspool.InstanceID, promptTokens int, began bool, o Outcome, took time.Duration, now time.Time) bool {
	s := p.servers[id]
	if s == nil {
		return false
	}
	full := s.inFlight() >= p.places(s)
	s.own.Requests = max(0, s.own.Requests-1)
	if !began {
		p.Began(id, promptTokens)
	}
	switch o {
	case Answered:
		p.service = mean(p.serviceTime(), took)
	case Full:
		s.fullUntil = now.Add(fullFor)
	case Misdirected:
		s.misdirectedUntil = now.Add(misdirectedFor)
	}
	s.health.ended(o, now)
	return full && s.inFlight() < p.places(s)
}

// Paced takes in how the pause between two events compares with the published one.
func (p *Placer) Paced(id mulberryspool.InstanceID, ratio float64) {
	if s := p.servers[id]; s != nil {
		s.health.paced(ratio)
	}
}

// Tick decides on requests that wait. Call it after any change and at Next.
func (p *Placer) Tick(now time.Time) []Decision {
	var decisions []Decision
	for len(p.waiting) > 0 {
		i := p.head()
		d, ok := p.place(p.waiting[i], now)
		if !ok {
			break
		}
		decisions = append(decisions, d)
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool {
		if now.Before(w.until) {
			return false
		}
		decisions = append(decisions, p.expire(w, now))
		return true
	})
	return decisions
}

// expire ends a wait. A server that has a place but prompts still to read
// answers late, which is better than not at all.
func (p *Placer) expire(w *waiter, now time.Time) Decision {
	w.late = true
	if d, ok := p.place(w, now); ok {
		return d
	}
	return p.refuse(w, ReasonTooLate, now)
}

// Next returns when Tick has something to do without any other change: a
// request has waited for too long, or this entry's turn has come.
func (p *Placer) Next(now time.Time) (time.Time, bool) {
	var next time.Time
	sooner := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	for _, w := range p.waiting {
		sooner(w.until)
	}
	if len(p.waiting) > 0 {
		for _, s := range p.ordered {
			if at := p.turn(s, now); at.After(now) && s.inFlight() < p.places(s) {
				sooner(at)
			}
		}
	}
	return next, !next.IsZero()
}

// head returns which waiting request is next: a resumed one, then the most
// urgent, then one that can still be on time, then the one that is due first.
func (p *Placer) head() int {
	best := 0
	for i, w := range p.waiting {
		if p.before(w.request, p.waiting[best].request) {
			best = i
		}
	}
	return best
}

func (p *Placer) before(a, b Request) bool {
	if a.Resumed != b.Resumed {
		return a.Resumed
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.Returning != b.Returning {
		// A returning request is late in any case, and in a long overload each
		// place that it takes makes a newcomer return as well.
		return b.Returning
	}
	return a.Offered.Add(a.Objective).Before(b.Offered.Add(b.Objective))
}

func (p *Placer) place(w *waiter, now time.Time) (Decision, bool) {
	s := p.choose(w, now)
	if s == nil {
		return Decision{}, false
	}
	d := Decision{
		Ticket: w.ticket, Verdict: Placed, Reason: ReasonRoom, Server: s.BackendServer, Version: s.version,
		InFlight: s.inFlight(), Places: p.places(s), Unread: s.unread(),
	}
	s.own.Requests++
	s.own.Unread += w.request.PromptTokens
	s.health.sent(now)
	return d, true
}

// hold lets a request wait if a place is expected in time.
func (p *Placer) hold(w *waiter, now time.Time) Decision {
	usable, places, _ := p.capacity(w.request, now)
	if usable == 0 {
		reason := ReasonNoServer
		if len(w.request.Exclude) > 0 {
			reason = ReasonNoOther
		}
		return p.refuse(w, reason, now)
	}
	patience := p.patience(w.request, now)
	if p.expectedWait(places) > patience {
		return p.refuse(w, ReasonFull, now)
	}
	w.until = now.Add(patience)
	p.waiting = append(p.waiting, w)
	return Decision{Ticket: w.ticket, Verdict: Waiting, Reason: ReasonFull}
}

// patience is how long a request may wait and still be on time, or, when it
// is late already, a short while.
func (p *Placer) patience(r Request, now time.Time) time.Duration {
	if r.Resumed {
		return min(r.Deadline.Sub(now)/2, r.Objective)
	}
	left := r.Offered.Add(r.Objective).Sub(now) - p.firstEvent(r.PromptTokens) - lateMargin
	return min(max(left, shortestWait), r.Deadline.Sub(now)/2)
}

// firstEvent is the usual time from sending to the first event.
func (p *Placer) firstEvent(promptTokens int) time.Duration {
	e := p.pool.Engine
	if e == nil {
		return p.serviceTime()
	}
	return 2*p.pass() + p.reading(promptTokens)
}

// pass is the time of one batch with its steps.
func (p *Placer) pass() time.Duration {
	e := p.pool.Engine
	return time.Duration(max(1, e.StepsPerPass)) * (e.Step + time.Duration(e.Slots)*e.PerSequence)
}

func (p *Placer) reading(tokens int) time.Duration {
	if e := p.pool.Engine; e != nil && e.PromptTokensPerSecond > 0 {
		return time.Duration(float64(tokens) / e.PromptTokensPerSecond * float64(time.Second))
	}
	return 0
}

// serviceTime is the mean time that a request occupies a place.
func (p *Placer) serviceTime() time.Duration {
	if p.service > 0 {
		return p.service
	}
	e := p.pool.Engine
	if e == nil {
		return initialService
	}
	passes := float64(e.UsualAnswer) / float64(max(1, e.StepsPerPass))
	// While one request is written, as many as there are slots are read.
	return time.Duration(passes*float64(p.pass())) + time.Duration(e.Slots)*p.reading(e.UsualPrompt)
}

// expectedWait is the time until a place is free for one more waiting request.
func (p *Placer) expectedWait(places int) time.Duration {
	if places == 0 {
		return longestRetry
	}
	share := float64(places) / float64(1+len(p.peers))
	return time.Duration(float64(len(p.waiting)+1) / share * float64(p.serviceTime()))
}

func (p *Placer) refuse(w *waiter, reason Reason, now time.Time) Decision {
	_, places, inFlight := p.capacity(w.request, now)
	expected := min(max(2*p.expectedWait(places), shortestRetry), longestRetry)
	if reason == ReasonNoServer || places > 0 && inFlight >= places {
		expected = longestRetry
	}
	return Decision{
		Ticket: w.ticket, Verdict: Refused, Reason: reason, InFlight: inFlight, Places: places,
		// Callers that were refused together come back apart.
		RetryAfter: time.Duration((0.7 + 0.3*p.Random.Float64()) * float64(expected)),
	}
}
