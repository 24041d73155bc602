package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/backend/exchange"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
)

const (
	// freshIdle is the longest idle time of a connection for a request that
	// must not be repeated: a loss on it could not be mended.
	freshIdle = 500 * time.Millisecond
	// silenceFloor is the least time without a byte after which a request that
	// may be repeated is sent elsewhere.
	silenceFloor = 1200 * time.Millisecond
	// silenceFactor is the same as a multiple of the objective.
	silenceFactor = 3
	// leastUseful is the time below which another send is no offer.
	leastUseful = 150 * time.Millisecond
	// maxUnsent bounds the backend servers that could not be reached.
	maxUnsent = 2
	// notRunRetry is the hint when a backend server turned a request away.
	notRunRetry = 300 * time.Millisecond
)

// What became of an attempt.
const (
	// finished means that the caller has its answer, or has left.
	finished verdict = iota
	// notRun means that the backend server turned the request away.
	notRun
	// unsent means that no byte of the request left.
	unsent
	// lost means that it may have run.
	lost
	// failing means that the backend server answered with a failure of its own.
	failing
)

type (
	verdict int

	// flight is one request on its way.
	flight struct {
		h         *Handler
		w         http.ResponseWriter
		r         *http.Request
		head      mulberryspool.RequestHead
		arrived   time.Time
		config    int64
		route     *mulberryspool.IngressRoute
		pool      mulberryspool.IngressPool
		workspace *mulberryspool.Workspace
		target    string
		body      []byte
		returning bool

		deadline time.Time
		// tried are the backend servers that brought no answer.
		tried []mulberryspool.InstanceID
		// sent counts the backend servers that the request was sent to.
		sent int
		// ran is set once the request may have run.
		ran bool
		// failure is a backend server's own failure, for want of a better answer.
		failure *held
		// stream is set once events went to the caller.
		stream *stream
		// placed is the last decision, waited how long it took.
		placed placement.Decision
		waited time.Duration
		// cause is why the last attempt ended.
		cause error
	}

	// held is a whole answer.
	held struct {
		status int
		header http.Header
		body   []byte
	}
)

// run sends the request until it has an answer or may not be sent again.
func (f *flight) run() {
	timeout := f.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if f.head.Deadline > 0 {
		timeout = min(timeout, f.head.Deadline)
	}
	f.deadline = f.arrived.Add(timeout)
	ctx, cancel := clockwork.WithDeadline(f.r.Context(), f.h.Clock, f.deadline)
	defer cancel()
	f.h.Desk.Request(f.pool.Name)
	for {
		asked := f.h.Clock.Now()
		d := f.h.Desk.Place(ctx, f.pool.Name, f.request())
		f.placed, f.waited = d, f.h.Clock.Since(asked)
		f.h.Metrics.Timer("queue").Record(f.waited)
		if f.r.Context().Err() != nil {
			if d.Verdict == placement.Placed {
				f.ended(d, false, placement.Abandoned, 0)
			}
			f.gone()
		}
		if d.Verdict == placement.Refused {
			f.unplaced(d)
			return
		}
		switch f.attempt(ctx, d) {
		case finished:
			return
		case unsent:
		case notRun:
			f.sent++
		case lost, failing:
			f.sent++
			f.ran = true
		}
		f.tried = append(f.tried, d.Server.Instance)
		if f.r.Context().Err() != nil {
			f.gone()
		}
		if reason := f.mayRepeat(); reason != "" {
			f.giveUp(reason)
			return
		}
		f.h.count("repeats", f.route.Name, f.pool.Name, string(d.Reason))
	}
}

func (f *flight) request() placement.Request {
	r := placement.Request{
		PromptTokens: f.head.PromptTokens, AnswerTokens: f.head.ExpectedTokens, Priority: f.priority(), Returning: f.returning,
		Objective: f.route.Objective, Offered: f.arrived, Deadline: f.deadline, Exclude: f.tried,
		Resumed: len(f.tried) > 0,
	}
	if f.stream != nil {
		r.Version = f.stream.version
	}
	return r
}

func (f *flight) priority() int {
	if f.workspace != nil && f.workspace.Priority != nil {
		return *f.workspace.Priority
	}
	return f.route.Priority
}

// repeatable says whether the request may run more than once.
func (f *flight) repeatable() bool {
	switch f.route.Kind {
	case mulberryspool.Idempotent:
		return true
	case mulberryspool.Streaming:
		return f.route.Resumable
	}
	return false
}

// mayRepeat returns why the request is not sent again, empty if it may be.
func (f *flight) mayRepeat() string {
	switch {
	case f.ran && !f.repeatable():
		return "notRepeatable"
	case f.sent >= f.route.Attempts || len(f.tried) >= f.route.Attempts+maxUnsent:
		return "attemptsUsed"
	case f.h.Clock.Until(f.deadline) < leastUseful:
		return "noTimeLeft"
	case f.sent > 0 && !f.h.Desk.AllowRepeat(f.pool.Name):
		return "repeatBudgetUsed"
	}
	return ""
}

// unplaced ends a request for which there is no place.
func (f *flight) unplaced(d placement.Decision) {
	if f.ran || f.stream != nil {
		f.giveUp(string(d.Reason))
		return
	}
	f.refuse(http.StatusServiceUnavailable, typeNotRun, string(d.Reason), f.honoured(d.RetryAfter))
}

// honoured keeps a hint within the time that callers honour: a third of what
// they have left.
func (f *flight) honoured(retryAfter time.Duration) time.Duration {
	if f.head.Deadline <= 0 {
		return retryAfter
	}
	left := f.head.Deadline - f.h.Clock.Since(f.arrived)
	return max(0, min(retryAfter, left/3-20*time.Millisecond))
}

// giveUp ends a request that is not sent again.
func (f *flight) giveUp(reason string) {
	switch {
	case f.stream != nil:
		f.logEnd(f.stream.status, "broken:"+reason, 0)
		// An answer that ends early must not look whole.
		panic(http.ErrAbortHandler)
	case f.failure != nil:
		f.pass(f.failure, "failure:"+reason)
	case !f.ran:
		f.refuse(http.StatusServiceUnavailable, typeNotRun, reason, f.honoured(notRunRetry))
	case f.h.Clock.Until(f.deadline) <= 0:
		f.refuse(http.StatusGatewayTimeout, typeUnknown, reason, 0)
	default:
		f.refuse(http.StatusBadGateway, typeUnknown, reason, 0)
	}
}

// gone ends a request whose caller has left.
func (f *flight) gone() {
	f.logEnd(0, "callerLeft", 0)
	panic(http.ErrAbortHandler)
}

// silence is how long an attempt may go without a byte.
func (f *flight) silence() time.Duration {
	if !f.repeatable() || f.sent+1 >= f.route.Attempts {
		return f.h.Clock.Until(f.deadline)
	}
	return min(max(silenceFloor, silenceFactor*f.route.Objective), f.h.Clock.Until(f.deadline))
}

// attempt sends the request to the backend server of a decision.
func (f *flight) attempt(ctx context.Context, d placement.Decision) verdict {
	began := f.h.Clock.Now()
	target := exchange.Target{Instance: d.Server.Instance, Born: d.Server.Born, Address: d.Server.Address}
	longestIdle := time.Duration(0)
	if !f.repeatable() {
		longestIdle = freshIdle
	}
	conn, err := f.h.Pool.Acquire(ctx, target, longestIdle)
	if err != nil {
		f.cause = err
		f.ended(d, false, f.blame(ctx, placement.Unreached), 0)
		f.logAttempt(d, "unreached", began)
		return unsent
	}
	stop := conn.Watch(ctx)
	a := &attempt{flight: f, decision: d, conn: conn, began: began}
	v, outcome := a.run(ctx)
	stop()
	conn.Release(a.whole && ctx.Err() == nil)
	f.ended(d, a.read, outcome, f.h.Clock.Since(began))
	return v
}

// blame keeps a caller's leaving from counting against a backend server.
func (f *flight) blame(ctx context.Context, o placement.Outcome) placement.Outcome {
	if f.r.Context().Err() != nil || errors.Is(ctx.Err(), context.Canceled) {
		return placement.Abandoned
	}
	return o
}

func (f *flight) ended(d placement.Decision, began bool, o placement.Outcome, took time.Duration) {
	f.h.Desk.Ended(f.pool.Name, d.Server.Instance, f.head.PromptTokens, began, o, took)
}
