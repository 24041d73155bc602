// Package admission limits the requests in flight of one pool and shares them
// fairly between workspaces.
//
//	Offer --> room and nobody waits --> admitted
//	   |----> queue of the workspace, unless its delay is too long
//	   \----> refused early
//	Release --> Next --> waiting request of the workspace that had the least
package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// DefaultMaxQueueDelay keeps the queue below the time in which the first
	// token is due, 1.1 s.
	DefaultMaxQueueDelay = time.Second
	// DefaultRetryRatio is the share of live requests that may be retries.
	DefaultRetryRatio = 0.1
	// retryBurst bounds the retries that quiet periods can save up.
	retryBurst = 10
	// minimumSweep is the smallest number of workspaces that are swept.
	minimumSweep = 64
	// minimumRetryAfter is the shortest hint for a refused caller.
	minimumRetryAfter = 100 * time.Millisecond
	// priorityHeadStart is the service, in seconds of the whole pool, that one
	// step of priority is worth. It is bounded so that no priority starves
	// another workspace.
	priorityHeadStart = 0.05
)

type (
	// Limiter implements mulberryspool.Admission. Set the exported fields
	// before the first use.
	Limiter struct {
		// MaxQueueDelay bounds the expected wait of a queued request;
		// DefaultMaxQueueDelay when 0.
		MaxQueueDelay time.Duration
		// MaxQueuedTokens bounds the estimated tokens of all waiting
		// requests; 0 means no bound beside MaxQueueDelay.
		MaxQueuedTokens int
		// Weights holds the shares of workspaces; 1 for those not named.
		Weights map[string]float64
		// RetryRatio is DefaultRetryRatio when 0.
		RetryRatio float64

		capacity   int
		rate       float64
		inFlight   int
		requests   map[mulberryspool.RequestID]*request
		workspaces map[string]*workspace
		// queued holds the workspaces with waiting requests.
		queued       map[string]*workspace
		queuedTokens int
		// sweepAt is the number of workspaces at which those without work
		// are dropped.
		sweepAt int
		// virtual is the service, in tokens for a weight of 1, that a
		// workspace without work is taken to have had.
		virtual float64
		retries float64
	}

	workspace struct {
		name   string
		weight float64
		// served is the service in tokens over the weight.
		served       float64
		queue        []*request
		queuedTokens int
		running      int
	}

	request struct {
		mulberryspool.AdmissionRequest
		workspace *workspace
		admitted  bool
	}
)

// SetCapacity bounds the estimated tokens in flight and says how many are
// worked off a second.
func (l *Limiter) SetCapacity(tokens int, tokensPerSecond float64) {
	l.capacity, l.rate = tokens, tokensPerSecond
}

// Offer admits, queues or refuses a request.
func (l *Limiter) Offer(offered mulberryspool.AdmissionRequest, now time.Time) mulberryspool.AdmissionDecision {
	l.retries = min(retryBurst, l.retries+l.retryRatio())
	if _, found := l.requests[offered.ID]; found {
		return mulberryspool.AdmissionDecision{Reason: "request ID is in use"}
	}
	w := l.workspace(offered.Workspace)
	q := &request{AdmissionRequest: offered, workspace: w}
	if l.fits(q) && len(l.queued) == 0 {
		l.remember(q)
		w.served = max(w.served, l.virtual)
		l.admit(q)
		// Nobody waits, so nobody is ahead of a share.
		l.virtual = w.served
		return mulberryspool.AdmissionDecision{Admitted: true}
	}
	delay := l.queueDelay(w, offered.Tokens)
	if l.MaxQueuedTokens > 0 && l.queuedTokens+offered.Tokens > l.MaxQueuedTokens {
		return mulberryspool.AdmissionDecision{Reason: "too many tokens wait", RetryAfter: max(minimumRetryAfter, delay)}
	}
	if delay > l.maxQueueDelay() || now.Add(delay).After(offered.Deadline) {
		return mulberryspool.AdmissionDecision{Reason: "queue is too long", RetryAfter: max(minimumRetryAfter, delay)}
	}
	l.remember(q)
	l.enqueue(q)
	return mulberryspool.AdmissionDecision{Queued: true}
}

// Next returns queued requests that are admitted now, and those whose
// deadline has passed.
func (l *Limiter) Next(now time.Time) (admitted, expired []mulberryspool.RequestID) {
	expired = l.expire(now)
	for {
		w := l.mostDeserving()
		if w == nil || !l.fits(w.queue[0]) {
			return admitted, expired
		}
		q := w.queue[0]
		l.dequeue(w, 0)
		l.admit(q)
		admitted = append(admitted, q.ID)
	}
}

// Release ends an admitted request or removes a queued one.
func (l *Limiter) Release(id mulberryspool.RequestID, _ time.Time) {
	q, found := l.requests[id]
	if !found {
		return
	}
	delete(l.requests, id)
	if q.admitted {
		l.inFlight -= q.Tokens
		q.workspace.running--
	} else {
		l.dequeue(q.workspace, slices.Index(q.workspace.queue, q))
	}
}

// AllowRetry takes one retry from the budget.
func (l *Limiter) AllowRetry(time.Time) bool {
	if l.retries < 1 {
		return false
	}
	l.retries--
	return true
}

// fits always lets one request in, whatever its size.
func (l *Limiter) fits(q *request) bool {
	return l.inFlight == 0 || l.inFlight+q.Tokens <= l.capacity
}

// queueDelay estimates the wait of a workspace's next request from its own
// queue and its share of the pool, so that a long queue of one workspace
// leads to no refusal of another.
func (l *Limiter) queueDelay(w *workspace, tokens int) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	weights := w.weight
	for _, other := range l.queued {
		if other != w {
			weights += other.weight
		}
	}
	share := l.rate * w.weight / weights
	return time.Duration(float64(w.queuedTokens+tokens) / share * float64(time.Second))
}

func (l *Limiter) admit(q *request) {
	q.admitted = true
	l.inFlight += q.Tokens
	w := q.workspace
	w.running++
	l.virtual = max(l.virtual, w.served)
	w.served += float64(q.Tokens) / w.weight
}

// enqueue sorts by falling priority, then by arrival.
func (l *Limiter) enqueue(q *request) {
	w := q.workspace
	if len(w.queue) == 0 {
		w.served = max(w.served, l.virtual)
	}
	position := len(w.queue)
	for position > 0 && w.queue[position-1].Priority < q.Priority {
		position--
	}
	if l.queued == nil {
		l.queued = make(map[string]*workspace)
	}
	l.queued[w.name] = w
	w.queue = slices.Insert(w.queue, position, q)
	w.queuedTokens += q.Tokens
	l.queuedTokens += q.Tokens
}

func (l *Limiter) dequeue(w *workspace, position int) {
	w.queuedTokens -= w.queue[position].Tokens
	l.queuedTokens -= w.queue[position].Tokens
	w.queue = slices.Delete(w.queue, position, position+1)
	if len(w.queue) == 0 {
		delete(l.queued, w.name)
	}
}

// mostDeserving returns the workspace with waiting requests that had the
// least service for its weight, less the head start of its first request.
func (l *Limiter) mostDeserving() *workspace {
	var best *workspace
	var bestKey float64
	for _, w := range l.queued {
		key := w.served - priorityHeadStart*l.rate*float64(w.queue[0].Priority)
		if best == nil || key < bestKey || key == bestKey && w.name < best.name {
			best, bestKey = w, key
		}
	}
	return best
}

// expire removes queued requests whose deadline has passed.
func (l *Limiter) expire(now time.Time) []mulberryspool.RequestID {
	var expired []mulberryspool.RequestID
	for _, w := range l.queued {
		for i := len(w.queue) - 1; i >= 0; i-- {
			if q := w.queue[i]; now.After(q.Deadline) {
				expired = append(expired, q.ID)
				l.dequeue(w, i)
				delete(l.requests, q.ID)
			}
		}
	}
	slices.SortFunc(expired, cmp.Compare[mulberryspool.RequestID])
	return expired
}

func (l *Limiter) remember(q *request) {
	if l.requests == nil {
		l.requests = make(map[mulberryspool.RequestID]*request)
	}
	l.requests[q.ID] = q
}

func (l *Limiter) workspace(name string) *workspace {
	if w, found := l.workspaces[name]; found {
		return w
	}
	weight := 1.0
	if configured := l.Weights[name]; configured > 0 {
		weight = configured
	}
	if len(l.workspaces) >= l.sweepAt {
		l.sweep()
	}
	w := &workspace{name: name, weight: weight, served: l.virtual}
	l.workspaces[name] = w
	return w
}

// sweep drops workspaces without work, so that memory is bounded by the
// requests in flight. One that is ahead of its share is kept until the others
// have caught up.
func (l *Limiter) sweep() {
	if l.workspaces == nil {
		l.workspaces = make(map[string]*workspace)
	}
	for name, w := range l.workspaces {
		if w.running == 0 && len(w.queue) == 0 && w.served <= l.virtual {
			delete(l.workspaces, name)
		}
	}
	l.sweepAt = 2*len(l.workspaces) + minimumSweep
}

func (l *Limiter) maxQueueDelay() time.Duration {
	if l.MaxQueueDelay > 0 {
		return l.MaxQueueDelay
	}
	return DefaultMaxQueueDelay
}

func (l *Limiter) retryRatio() float64 {
	if l.RetryRatio > 0 {
		return l.RetryRatio
	}
	return DefaultRetryRatio
}
