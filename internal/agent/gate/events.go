package gate

import (
	"github.com/mulberryspool/mulberryspool"
)

type (
	// ConnID identifies a connection from an entry; 0 means none.
	ConnID uint64
	// CallID identifies an RPC that waits for its reply.
	CallID uint64

	// Event is an input of Gate.Step.
	Event interface{ isEvent() }
	// Effect is an action that the caller of Gate.Step must perform.
	Effect interface{ isEffect() }
)

// Events.
type (
	// Start is a request.start message.
	Start struct {
		Conn   ConnID
		Call   CallID
		Params mulberryspool.StartParams
	}
	// Resolve is a request.resolve message.
	Resolve struct {
		Conn   ConnID
		Call   CallID
		Params mulberryspool.ResolveParams
	}
	// Cancel is a request.cancel message.
	Cancel struct {
		ID mulberryspool.RequestID
	}
	// AnswerHead carries the status and content type of the backend server's answer.
	AnswerHead struct {
		ID          mulberryspool.RequestID
		Status      int
		ContentType string
	}
	// AnswerChunk carries a part of the answer's body. The Gate takes
	// ownership of Data.
	AnswerChunk struct {
		ID   mulberryspool.RequestID
		Data []byte
	}
	// AnswerEnd reports the end of the backend server's answer. There is
	// exactly one for each Submit.
	AnswerEnd struct {
		ID mulberryspool.RequestID
		// Error is empty only for a complete answer.
		Error string
		// NotSent is set if the request certainly did not reach the backend
		// server. Uncertain is set if it may have, but no answer began.
		NotSent, Uncertain bool
	}
	// ReadBackDone is the result of a ReadBack effect. The engine was asked
	// after the effect was returned.
	ReadBackDone struct {
		ID     mulberryspool.RequestID
		Before bool
		Loaded mulberryspool.Loaded
		// Error is empty if the read-back succeeded.
		Error string
	}
	// ConnClosed reports that a connection was closed or lost.
	ConnClosed struct {
		Conn ConnID
	}
	// Serving sets whether requests are accepted, and for which weights.
	Serving struct {
		On bool
		// Weights are those that the engine serves; zero for plain services.
		Weights mulberryspool.Loaded
		// WeightsChanged is set if the engine's weights changed without an
		// order of this agent. Answers in progress may come from both the old
		// and the new weights.
		WeightsChanged bool
	}
	// Leaving stops the acceptance of requests for good.
	Leaving struct{}
	// Tick checks deadlines and retention times. It is sent periodically.
	Tick struct{}
)

// Effects.
type (
	// ReplyStart sends the reply to a Start.
	ReplyStart struct {
		Call   CallID
		Result mulberryspool.StartResult
	}
	// ReplyResolve sends the reply to a Resolve.
	ReplyResolve struct {
		Call   CallID
		Result mulberryspool.ResolveResult
	}
	// SendChunk sends a part of an answer.
	SendChunk struct {
		Conn   ConnID
		Notice mulberryspool.ChunkNotice
	}
	// SendEnd sends the outcome of a request, which ends its answer.
	SendEnd struct {
		Conn   ConnID
		Notice mulberryspool.EndNotice
	}
	// ReadBack asks the engine which weights it serves.
	ReadBack struct {
		ID     mulberryspool.RequestID
		Before bool
	}
	// Submit sends a request to the backend server.
	Submit struct {
		Request mulberryspool.BackendRequest
	}
	// CancelBackend stops a submitted request at the backend server.
	CancelBackend struct {
		ID mulberryspool.RequestID
	}
	// Record adds an event to the timeline.
	Record struct {
		Event mulberryspool.Event
	}
	// WeightsMismatch reports that the engine serves other weights than those
	// of the request.
	WeightsMismatch struct {
		Loaded mulberryspool.Loaded
	}
)

func (Start) isEvent()        {}
func (Resolve) isEvent()      {}
func (Cancel) isEvent()       {}
func (AnswerHead) isEvent()   {}
func (AnswerChunk) isEvent()  {}
func (AnswerEnd) isEvent()    {}
func (ReadBackDone) isEvent() {}
func (ConnClosed) isEvent()   {}
func (Serving) isEvent()      {}
func (Leaving) isEvent()      {}
func (Tick) isEvent()         {}

func (ReplyStart) isEffect()      {}
func (ReplyResolve) isEffect()    {}
func (SendChunk) isEffect()       {}
func (SendEnd) isEffect()         {}
func (ReadBack) isEffect()        {}
func (Submit) isEffect()          {}
func (CancelBackend) isEffect()   {}
func (Record) isEffect()          {}
func (WeightsMismatch) isEffect() {}
