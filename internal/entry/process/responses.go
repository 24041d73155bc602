package process

import (
	"context"
	"sync"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/callers"
	"github.com/mulberryspool/mulberryspool/internal/entry/deferred"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
)

// responses maps requests in progress to the buffers of their responses.
type responses struct {
	mu   sync.Mutex
	open map[mulberryspool.RequestID]*callers.ResponseBuffer
}

// submit starts a request. It returns false if a request with the same ID is
// in progress.
func (p *Process) submit(sub dispatch.Submission, buffer *callers.ResponseBuffer) bool {
	p.responses.mu.Lock()
	defer p.responses.mu.Unlock()
	if p.responses.open[sub.ID] != nil {
		return false
	}
	p.responses.open[sub.ID] = buffer
	// Posting under the lock preserves the order of Submitted and CallerDisconnected
	// events of one ID.
	p.inbox.post(dispatch.Submitted{Submission: sub})
	return true
}

// callerDisconnected reports to the reducer that the caller no longer waits. It
// does nothing if the request has ended.
func (p *Process) callerDisconnected(id mulberryspool.RequestID) {
	p.responses.mu.Lock()
	defer p.responses.mu.Unlock()
	if p.responses.open[id] == nil {
		return
	}
	delete(p.responses.open, id)
	p.inbox.post(dispatch.CallerDisconnected{ID: id})
}

// deliver passes an effect on to the response buffer of its request.
func (r *responses) deliver(p *Process, effect dispatch.Effect) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch e := effect.(type) {
	case dispatch.CallerHead:
		if buffer := r.open[e.ID]; buffer != nil {
			buffer.SetHead(e.Status, e.ContentType)
		}
	case dispatch.CallerData:
		if buffer := r.open[e.ID]; buffer != nil {
			buffer.Append(e.Data)
		}
	case dispatch.CallerReset:
		if buffer := r.open[e.ID]; buffer != nil {
			buffer.Reset()
		}
	case dispatch.CallerEnd:
		if buffer := r.open[e.ID]; buffer != nil {
			buffer.Complete(e.Weights, e.Version)
			delete(r.open, e.ID)
		}
		p.Metrics.Tagged(map[string]string{"outcome": string(mulberryspool.OutcomeDone)}).Counter("requests_ended").Inc(1)
	case dispatch.CallerError:
		if buffer := r.open[e.ID]; buffer != nil {
			buffer.Fail(e.Error)
			delete(r.open, e.ID)
		}
		p.Metrics.Tagged(map[string]string{"outcome": string(e.Error.Outcome)}).Counter("requests_ended").Inc(1)
	}
}

// executeDeferred runs a deferred submission to its end and returns its
// complete answer.
func (p *Process) executeDeferred(_ context.Context, sub dispatch.Submission) (deferred.Answer, *dispatch.Error) {
	buffer := callers.NewResponseBuffer(p.maxAnswer(), func() { p.inbox.post(dispatch.CallerTooSlow{ID: sub.ID}) })
	if !p.submit(sub, buffer) {
		return deferred.Answer{}, &dispatch.Error{Outcome: mulberryspool.OutcomeNotRun, Code: dispatch.CodeDuplicateID,
			Message: "a request with this ID is in progress"}
	}
	// Every request has a deadline, so Collect returns while the process runs.
	answer, err := buffer.Collect(p.callContext)
	if err != nil {
		return deferred.Answer{}, &dispatch.Error{Outcome: mulberryspool.OutcomeUnknown, Code: dispatch.CodeStopping,
			Message: "the entry stopped before the end"}
	}
	if answer.Err != nil {
		return deferred.Answer{}, answer.Err
	}
	return deferred.Answer{
		Status: answer.Status, ContentType: answer.ContentType, Body: answer.Data,
		Weights: answer.Weights, Version: answer.Version,
	}, nil
}

func (p *Process) maxAnswer() int64 {
	if p.MaxAnswer > 0 {
		return p.MaxAnswer
	}
	return callers.DefaultMaxBufferedResponse
}

// serving reports whether the route's pool currently accepts work.
func (p *Process) serving(route string) bool {
	serving := false
	p.inspect(func(r *dispatch.Reducer) { serving = r.Serving(route) })
	return serving
}
