package gate

import (
	"github.com/mulberryspool/mulberryspool"
)

type (
	// ConnID names a connection from an entry; 0 is none.
	ConnID uint64
	// CallID names a call that is waiting for its reply.
	CallID uint64

	// Event is one input of the reducer.
	Event interface{ isEvent() }
	// Effect is one order to the adapters. Effects are run in their order.
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
	// Head is the head of the backend server's answer.
	Head struct {
		ID          mulberryspool.RequestID
		Status      int
		ContentType string
	}
	// Chunk is a part of the backend server's answer. The gate keeps Data.
	Chunk struct {
		ID   mulberryspool.RequestID
		Data []byte
	}
	// End ends the backend server's answer. It follows each Submit exactly once.
	End struct {
		ID mulberryspool.RequestID
		// Error is empty only for a complete answer.
		Error string
		// NotSent is set when the request certainly did not reach the backend
		// server, and Uncertain when it may have, but no answer began.
		NotSent, Uncertain bool
	}
	// ReadBackDone answers a ReadBack. Its reading began after the effect.
	ReadBackDone struct {
		ID     mulberryspool.RequestID
		Before bool
		Loaded mulberryspool.Loaded
		// Error says why nothing could be read.
		Error string
	}
	// ConnLost says that a connection has ended.
	ConnLost struct {
		Conn ConnID
	}
	// Serving says whether requests may start, and on which weights.
	Serving struct {
		On bool
		// Weights is what the engine serves; the zero value for plain services.
		Weights mulberryspool.Loaded
		// Changed is set when the engine's content changed without an order of
		// this agent: answers being generated are mixed.
		Changed bool
	}
	// Leaving says that no new work is taken any more.
	Leaving struct{}
	// Tick lets time pass.
	Tick struct{}
)

// Effects.
type (
	// ReplyStart answers a Start.
	ReplyStart struct {
		Call   CallID
		Result mulberryspool.StartResult
	}
	// ReplyResolve answers a Resolve.
	ReplyResolve struct {
		Call   CallID
		Result mulberryspool.ResolveResult
	}
	// SendChunk sends a part of an answer.
	SendChunk struct {
		Conn   ConnID
		Notice mulberryspool.ChunkNotice
	}
	// SendEnd ends an answer.
	SendEnd struct {
		Conn   ConnID
		Notice mulberryspool.EndNotice
	}
	// ReadBack asks the engine what it serves now.
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
	// Record puts an event on the time line.
	Record struct {
		Event mulberryspool.Event
	}
	// Mismatch says that a reading differs from the weights that are gated.
	Mismatch struct {
		Loaded mulberryspool.Loaded
	}
)

func (Start) isEvent()        {}
func (Resolve) isEvent()      {}
func (Cancel) isEvent()       {}
func (Head) isEvent()         {}
func (Chunk) isEvent()        {}
func (End) isEvent()          {}
func (ReadBackDone) isEvent() {}
func (ConnLost) isEvent()     {}
func (Serving) isEvent()      {}
func (Leaving) isEvent()      {}
func (Tick) isEvent()         {}

func (ReplyStart) isEffect()    {}
func (ReplyResolve) isEffect()  {}
func (SendChunk) isEffect()     {}
func (SendEnd) isEffect()       {}
func (ReadBack) isEffect()      {}
func (Submit) isEffect()        {}
func (CancelBackend) isEffect() {}
func (Record) isEffect()        {}
func (Mismatch) isEffect()      {}
