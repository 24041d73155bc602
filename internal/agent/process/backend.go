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
)

const (
	// readBytes is the most that one chunk of an answer holds.
	readBytes = 32 << 10
	// readTries is the number of readings before an answer's weights count as
	// unknown. Any reading after the answer will do, so one that was lost
	// need not cost the answer.
	readTries = 3
)

// submit runs a request at the backend server. It posts End exactly once.
func (p *Process) submit(request mulberryspool.BackendRequest) {
	ctx, cancel := context.WithCancel(p.running)
	p.cancels[request.RequestID] = cancel
	p.tasks.Go(func() {
		defer cancel()
		end := gate.AnswerEnd{ID: request.RequestID}
		if err := p.relay(ctx, request); err != nil {
			end.Error = err.Error()
			end.NotSent = errors.Is(err, mulberryspool.ErrUnavailable)
			end.Uncertain = errors.Is(err, mulberryspool.ErrUncertain)
		}
		p.post(func() {
			delete(p.cancels, request.RequestID)
			p.stepGate(end)
		})
	})
}

// relay posts the answer's head and chunks. It returns nil when the answer is complete.
func (p *Process) relay(ctx context.Context, request mulberryspool.BackendRequest) error {
	answer, err := p.Backend.Submit(ctx, request)
	if err != nil {
		return mulberryspool.AtStep(err, "submit request", "backend server")
	}
	defer answer.Body.Close()
	p.post(gate.AnswerHead{ID: request.RequestID, Status: answer.Status, ContentType: answer.ContentType})
	buffer := make([]byte, readBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			p.post(gate.AnswerChunk{ID: request.RequestID, Data: slices.Clone(buffer[:n])})
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return mulberryspool.AtStep(err, "read answer", "backend server")
		}
	}
}

// cancelBackend asks the backend server to stop and then breaks off the call.
func (p *Process) cancelBackend(id mulberryspool.RequestID) {
	stop := p.cancels[id]
	p.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(p.running, callTimeout)
		defer cancel()
		if err := p.Backend.Cancel(ctx, id); err != nil {
			p.Logger.Warn().Err(err).Str("requestID", string(id)).Msg("backend server did not take the cancel")
		}
		if stop != nil {
			stop()
		}
	})
}

// readForGate reads the engine back for a request, more than once if need be.
func (p *Process) readForGate(order gate.ReadBack, tries int) {
	p.readings.add(p, func(loaded mulberryspool.Loaded, failure string) {
		if failure != "" && tries > 1 {
			p.readForGate(order, tries-1)
			return
		}
		p.stepGate(gate.ReadBackDone{ID: order.ID, Before: order.Before, Loaded: loaded, Error: failure})
	})
}

// readings joins readings of the engine: all that are asked for while one is
// under way share the next one, so that each began after it was asked for.
type readings struct {
	waiting []func(mulberryspool.Loaded, string)
	active  bool
}

func (r *readings) add(p *Process, done func(mulberryspool.Loaded, string)) {
	r.waiting = append(r.waiting, done)
	if !r.active {
		r.begin(p)
	}
}

func (r *readings) begin(p *Process) {
	batch := r.waiting
	r.waiting = nil
	r.active = true
	p.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(p.running, p.ReadBackTimeout)
		defer cancel()
		loaded, err := p.engine.Loaded(ctx)
		failure := ""
		if err != nil {
			failure = mulberryspool.AtStep(err, "read back", "engine").Error()
		}
		p.post(func() {
			r.active = false
			if len(r.waiting) > 0 {
				r.begin(p)
			}
			for _, done := range batch {
				done(loaded, failure)
			}
		})
	})
}

// load sends a load order, unless its lease has lapsed by then.
func (p *Process) load(order rollout.Load) {
	p.tasks.Go(func() {
		ended := p.runLoad(order)
		p.loading.Store(false)
		p.post(ended)
	})
}

func (p *Process) runLoad(order rollout.Load) (ended rollout.LoadEnded) {
	ended.Token = order.Token
	message := mulberryspool.LoadOrder{
		Version: order.Goal.Version, Adapter: order.Goal.Adapter, Role: order.Goal.Role,
		Size: order.Content.Size, Fencing: order.Fencing,
	}
	release, err := p.content.offer(order.Content, order.Adapter, &message)
	if err != nil {
		ended.Error, ended.Unstaged = err.Error(), true
		return ended
	}
	defer func() {
		if failure := release(); failure != nil {
			ended.Unstaged = true
		}
	}()
	ctx, cancel := context.WithTimeout(p.running, p.LoadTimeout)
	defer cancel()
	if order.CheckLease && p.now() >= order.ValidUntil {
		ended.NotSent = true
		ended.Error = "the lease lapsed before the order was sent"
		return ended
	}
	if err := p.engine.Load(ctx, message); err != nil {
		ended.Error = mulberryspool.AtStep(err, "load version", "engine").Error()
		ended.Unreached = errors.Is(err, mulberryspool.ErrUnavailable)
		ended.Uncertain = errors.Is(err, mulberryspool.ErrUncertain)
	}
	return ended
}

func (p *Process) readReport() {
	ctx, cancel := context.WithTimeout(p.running, callTimeout)
	defer cancel()
	report, err := p.Backend.Report(ctx)
	if err != nil {
		return
	}
	at := p.Clock.Now()
	p.post(func() { p.report, p.reported = report, at })
}

// loadReport returns the newest report with its present age.
func (p *Process) loadReport() mulberryspool.LoadReport {
	report := p.report
	if !p.reported.IsZero() {
		report.Age += max(p.Clock.Since(p.reported), time.Duration(0))
	}
	return report
}
