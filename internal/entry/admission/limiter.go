// Package admission limits the requests in flight of one pool and shares them
// fairly between workspaces.
//
//	Offer --> free capacity and all queues empty --> admitted
//	   |----> queue of the workspace, unless its expected delay is too long
//	   \----> refused without waiting
//	Release --> Next --> first request of the queued workspace that had the least service
//
// Capacity is shared by weighted fair queuing: each workspace has a virtual time,
// which is the service that it has received divided by its weight.
package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// DefaultMaxQueueDelay is below the time within which the first token is due,
	// 1.1 s.
	DefaultMaxQueueDelay = time.Second
	// DefaultRetryRatio is the number of retries allowed for each live request.
	DefaultRetryRatio = 0.1
	// retryBurst bounds the retries that accumulate while few are used.
	retryBurst = 10
	// minimumSweep is the number of workspaces below which none are dropped.
	minimumSweep = 64
	// minimumRetryAfter is the lower bound of the hint for a refused caller.
	minimumRetryAfter = 100 * time.Millisecond
	// priorityHeadStart is the service, in seconds of the whole pool, by which one
	// step of priority puts a workspace ahead. Because it is finite, no priority
	// starves another workspace.
	priorityHeadStart = 0.05
)

type (
	// Limiter implements mulberryspool.Admission. Set the exported fields
	// before the first use.
	Limiter struct {
		// MaxQueueDelay bounds the expected wait of a queued request; 0 means
		// DefaultMaxQueueDelay.
		MaxQueueDelay time.Duration
		// MaxQueuedTokens bounds the estimated tokens of all queued requests; 0
		// means that only MaxQueueDelay limits the queues.
		MaxQueuedTokens int
		// Weights holds the weights of workspaces; the default is 1.
		Weights map[string]float64
		// RetryRatio is the number of retries allowed for each live request; 0
		// means DefaultRetryRatio.
		RetryRatio float64

		// capacity and inFlight are in estimated tokens, tokensPerSecond is the
		// rate at which the pool processes them.
		capacity        int
		tokensPerSecond float64
		inFlight        int
		requests        map[mulberryspool.RequestID]*request
		workspaces      map[string]*workspace
		// queued holds the workspaces with queued requests.
		queued       map[string]*workspace
		queuedTokens int
		// sweepAt is the number of workspaces at which the idle ones are dropped.
		sweepAt int
		// virtualTime is the virtual time of the pool, in tokens for a weight of 1.
		// A workspace that was idle continues from it, so that it cannot save up
		// service.
		virtualTime float64
		// retries is the number of retries that AllowRetry may grant.
		retries float64
	}

	workspace struct {
		name   string
		weight float64
		// virtualTime is the service that was received, in tokens divided by
		// the weight.
		virtualTime  float64
		queue        []*request
		queuedTokens int
		running      int
	}

	request struct {
		mulberryspool.AdmissionRequest
		workspace *workspace
		// admitted is false while the request is queued.
		admitted bool
	}
)

// SetCapacity sets the limit of the estimated tokens in flight and the rate at
// which the pool processes them.
func (l *Limiter) SetCapacity(tokens int, tokensPerSecond float64) {
	l.capacity, l.tokensPerSecond = tokens, tokensPerSecond
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
		l.track(q)
		w.virtualTime = max(w.virtualTime, l.virtualTime)
		l.admit(q)
		// No request is queued, so the workspace used capacity that no other one
		// asked for. Advancing the pool's virtual time keeps that from counting
		// against the workspace.
		l.virtualTime = w.virtualTime
		return mulberryspool.AdmissionDecision{Admitted: true}
	}
	delay := l.queueDelay(w, offered.Tokens)
	if l.MaxQueuedTokens > 0 && l.queuedTokens+offered.Tokens > l.MaxQueuedTokens {
		return mulberryspool.AdmissionDecision{Reason: "too many tokens wait", RetryAfter: max(minimumRetryAfter, delay)}
	}
	if delay > l.maxQueueDelay() || now.Add(delay).After(offered.Deadline) {
		return mulberryspool.AdmissionDecision{Reason: "queue is too long", RetryAfter: max(minimumRetryAfter, delay)}
	}
	l.track(q)
	l.enqueue(q)
	return mulberryspool.AdmissionDecision{Queued: true}
}

// Next admits queued requests while there is capacity and removes those whose
// deadline has passed. It returns both.
func (l *Limiter) Next(now time.Time) (admitted, expired []mulberryspool.RequestID) {
	expired = l.expire(now)
	for {
		w := l.nextWorkspace()
		if w == nil || !l.fits(w.queue[0]) {
			return admitted, expired
		}
		q := w.queue[0]
		l.dequeue(w, 0)
		l.admit(q)
		admitted = append(admitted, q.ID)
	}
}

// Release must be called when an admitted request has ended, or to remove a
// queued one.
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

// AllowRetry takes one retry from the budget and reports false if there is none.
func (l *Limiter) AllowRetry(time.Time) bool {
	if l.retries < 1 {
		return false
	}
	l.retries--
	return true
}

// fits reports whether the request fits into the free capacity. A single request
// always fits, so that one above the whole capacity can run.
func (l *Limiter) fits(q *request) bool {
	return l.inFlight == 0 || l.inFlight+q.Tokens <= l.capacity
}

// queueDelay estimates how long another request of the workspace would wait. It
// depends only on the workspace's own queue and its share of the pool, so that a
// long queue of one workspace does not cause refusals in another.
func (l *Limiter) queueDelay(w *workspace, tokens int) time.Duration {
	if l.tokensPerSecond <= 0 {
		return 0
	}
	totalWeight := w.weight
	for _, other := range l.queued {
		if other != w {
			totalWeight += other.weight
		}
	}
	share := l.tokensPerSecond * w.weight / totalWeight
	return time.Duration(float64(w.queuedTokens+tokens) / share * float64(time.Second))
}

func (l *Limiter) admit(q *request) {
	q.admitted = true
	l.inFlight += q.Tokens
	w := q.workspace
	w.running++
	l.virtualTime = max(l.virtualTime, w.virtualTime)
	w.virtualTime += float64(q.Tokens) / w.weight
}

// enqueue inserts a request by descending priority, then by arrival.
func (l *Limiter) enqueue(q *request) {
	w := q.workspace
	if len(w.queue) == 0 {
		w.virtualTime = max(w.virtualTime, l.virtualTime)
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

// nextWorkspace returns the queued workspace with the lowest virtual time, less
// the head start from the priority of its first request.
func (l *Limiter) nextWorkspace() *workspace {
	var best *workspace
	var lowest float64
	for _, w := range l.queued {
		virtualTime := w.virtualTime - priorityHeadStart*l.tokensPerSecond*float64(w.queue[0].Priority)
		if best == nil || virtualTime < lowest || virtualTime == lowest && w.name < best.name {
			best, lowest = w, virtualTime
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

func (l *Limiter) track(q *request) {
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
	w := &workspace{name: name, weight: weight, virtualTime: l.virtualTime}
	l.workspaces[name] = w
	return w
}

// sweep drops idle workspaces, so that memory is bounded by the requests in
// flight. A workspace whose virtual time is ahead of the pool's is kept until the
// others have caught up, so that it does not regain service by being dropped.
func (l *Limiter) sweep() {
	if l.workspaces == nil {
		l.workspaces = make(map[string]*workspace)
	}
	for name, w := range l.workspaces {
		if w.running == 0 && len(w.queue) == 0 && w.virtualTime <= l.virtualTime {
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
