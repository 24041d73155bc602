package process

import (
	"context"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/gate"
	"github.com/mulberryspool/mulberryspool/internal/agent/rollout"
	"github.com/mulberryspool/mulberryspool/internal/peer/rpc"
)

const (
	// maxAnswerChunk is the maximum size of one chunk of an answer.
	maxAnswerChunk = 32 << 10
	// maxUnsentChunks is the number of chunks of an answer after which the agent
	// waits until they are sent. It is small, because many answers share the queue
	// of a connection.
	maxUnsentChunks = 16
	// readBackAttempts is the number of attempts to read back the weights of
	// a request. A later read-back proves as much as the first one, so a single
	// failure need not make the outcome of the request unknown.
	readBackAttempts = 3
)

// submit runs a request at the backend server. It posts AnswerEnd exactly once.
func (p *Process) submit(request mulberryspool.BackendRequest) {
	ctx, cancel := context.WithCancel(p.runCtx)
	p.requestCancels[request.RequestID] = cancel
	p.tasks.Go(func() {
		defer cancel()
		end := gate.AnswerEnd{ID: request.RequestID}
		if err := p.relay(ctx, request); err != nil {
			end.Error = err.Error()
			end.NotSent = errors.Is(err, mulberryspool.ErrUnavailable)
			end.Uncertain = errors.Is(err, mulberryspool.ErrUncertain)
		}
		p.post(func() {
			delete(p.requestCancels, request.RequestID)
			p.stepRequests(end)
		})
	})
}

// relay submits the request and posts the head and the chunks of the answer.
// It returns nil if the answer is complete.
func (p *Process) relay(ctx context.Context, request mulberryspool.BackendRequest) error {
	answer, err := p.Backend.Submit(ctx, request)
	if err != nil {
		return mulberryspool.AtStep(err, "submit request", "backend server")
	}
	defer answer.Body.Close()
	p.post(gate.AnswerHead{ID: request.RequestID, Status: answer.Status, ContentType: answer.ContentType})
	buffer := make([]byte, maxAnswerChunk)
	unsent := 0
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			p.post(gate.AnswerChunk{ID: request.RequestID, Data: slices.Clone(buffer[:n])})
			unsent++
		}
		if unsent >= maxUnsentChunks {
			p.awaitSent(ctx, request.RequestID)
			unsent = 0
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return mulberryspool.AtStep(err, "read answer", "backend server")
		}
	}
}

// awaitSent waits until all chunks of an answer that were posted are sent to the
// connections that receive it.
func (p *Process) awaitSent(ctx context.Context, id mulberryspool.RequestID) {
	receivers := make(chan []*rpc.Conn, 1)
	p.post(func() {
		var conns []*rpc.Conn
		for _, conn := range p.requests.Subscribers(id) {
			if c := p.connsByID[conn]; c != nil {
				conns = append(conns, c)
			}
		}
		receivers <- conns
	})
	select {
	case conns := <-receivers:
		for _, conn := range conns {
			// An error means that the connection is closed or the request cancelled.
			_ = conn.Flush(ctx)
		}
	case <-ctx.Done():
	}
}

// cancelBackend asks the backend server to cancel the request, and then cancels
// the call that reads the answer.
func (p *Process) cancelBackend(id mulberryspool.RequestID) {
	stop := p.requestCancels[id]
	p.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(p.runCtx, callTimeout)
		defer cancel()
		if err := p.Backend.Cancel(ctx, id); err != nil {
			p.Logger.Warn().Err(err).Str("requestID", string(id)).Msg("could not cancel request at backend server")
		}
		if stop != nil {
			stop()
		}
	})
}

// readBackForRequest reads back the engine's weights for a request, with retries.
func (p *Process) readBackForRequest(effect gate.ReadBack, attempts int) {
	p.readBacks.request(p, func(loaded mulberryspool.Loaded, failure string) {
		if failure != "" && attempts > 1 {
			p.readBackForRequest(effect, attempts-1)
			return
		}
		p.stepRequests(gate.ReadBackDone{ID: effect.ID, Before: effect.Before, Loaded: loaded, Error: failure})
	})
}

// readBackBatcher coalesces read-backs: all that are requested while one is in
// progress share the next one. Thus the engine is always queried after the
// read-back was requested.
type readBackBatcher struct {
	pending []func(mulberryspool.Loaded, string)
	active  bool
}

func (r *readBackBatcher) request(p *Process, done func(mulberryspool.Loaded, string)) {
	r.pending = append(r.pending, done)
	if !r.active {
		r.start(p)
	}
}

func (r *readBackBatcher) start(p *Process) {
	batch := r.pending
	r.pending = nil
	r.active = true
	p.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(p.runCtx, p.ReadBackTimeout)
		defer cancel()
		loaded, err := p.engine.Loaded(ctx)
		failure := ""
		if err != nil {
			failure = mulberryspool.AtStep(err, "read back", "engine").Error()
		}
		p.post(func() {
			r.active = false
			if len(r.pending) > 0 {
				r.start(p)
			}
			for _, done := range batch {
				done(loaded, failure)
			}
		})
	})
}

// load sends a load order, unless the lease must be checked and has expired.
func (p *Process) load(effect rollout.Load) {
	p.tasks.Go(func() {
		ended := p.runLoad(effect)
		p.loading.Store(false)
		p.post(ended)
	})
}

func (p *Process) runLoad(effect rollout.Load) (ended rollout.LoadEnded) {
	ended.Token = effect.Token
	order := mulberryspool.LoadOrder{
		Version: effect.Goal.Version, Adapter: effect.Goal.Adapter, Role: effect.Goal.Role,
		Size: effect.Content.Size, Fencing: effect.Fencing,
	}
	release, err := p.content.offer(effect.Content, effect.Adapter, &order)
	if err != nil {
		ended.Error, ended.ContentMissing = err.Error(), true
		return ended
	}
	defer func() {
		if failure := release(); failure != nil {
			ended.ContentMissing = true
		}
	}()
	ctx, cancel := context.WithTimeout(p.runCtx, p.LoadTimeout)
	defer cancel()
	if effect.CheckLease && p.now() >= effect.ValidUntil {
		ended.NotSent = true
		ended.Error = "the lease expired before the load order was sent"
		return ended
	}
	if err := p.engine.Load(ctx, order); err != nil {
		ended.Error = mulberryspool.AtStep(err, "load version", "engine").Error()
		ended.NotReceived = errors.Is(err, mulberryspool.ErrUnavailable)
		ended.Uncertain = errors.Is(err, mulberryspool.ErrUncertain)
	}
	return ended
}

func (p *Process) pollLoadReport() {
	ctx, cancel := context.WithTimeout(p.runCtx, callTimeout)
	defer cancel()
	report, err := p.Backend.Report(ctx)
	if err != nil {
		return
	}
	at := p.Clock.Now()
	p.post(func() { p.latestReport, p.reportedAt = report, at })
}

// loadReport returns the latest load report with its current age.
func (p *Process) loadReport() mulberryspool.LoadReport {
	report := p.latestReport
	if !p.reportedAt.IsZero() {
		report.Age += max(p.Clock.Since(p.reportedAt), time.Duration(0))
	}
	return report
}
