package rollout

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
)

type (
	// Event is one input of the reducer.
	Event interface{ isEvent() }
	// Effect is one order to the adapters. Effects are run in their order.
	Effect interface{ isEffect() }
)

// Events.
type (
	// TablesChanged brings the agent's pool at a revision.
	TablesChanged struct {
		Revision mulberryspool.Revision
		// Pool is the agent's row; Exists is false when there is none.
		Pool   mulberryspool.Pool
		Exists bool
		// Change is the ID of the last known change to the row; empty if none is known.
		Change string
	}
	// ManifestRead answers a ReadManifest.
	ManifestRead struct {
		Version  string
		Manifest mulberryspool.Manifest
		Error    string
	}
	// Staged answers a Stage.
	Staged struct {
		Digest mulberryspool.Digest
		Error  string
	}
	// LeaseWritten says that this incarnation holds the lease.
	LeaseWritten struct {
		// Number is this incarnation's part of its fencing numbers.
		Number uint64
		// ValidUntil is on the agent's monotonic clock, counted from before the write.
		ValidUntil time.Duration
		// OrdersFrom is when the predecessor's last order has taken effect;
		// it counts only for engines that ignore fencing numbers.
		OrdersFrom time.Duration
	}
	// LeaseFailed says that the lease was not written.
	LeaseFailed struct {
		// Superseded is set when a newer incarnation holds the lease.
		Superseded bool
		Error      string
	}
	// EngineRead answers a ReadBack. Its reading began after the effect.
	EngineRead struct {
		Token  uint64
		Loaded mulberryspool.Loaded
		Error  string
	}
	// LoadEnded answers a Load.
	LoadEnded struct {
		Token uint64
		Error string
		// NotSent is set when the order was withheld, because the lease had lapsed.
		NotSent bool
		// Unreached is set when the engine certainly did not get the order, and
		// Uncertain when the order may still take effect.
		Unreached, Uncertain bool
		// Unstaged is set when the content was not there to be loaded.
		Unstaged bool
	}
	// InFlight says how many requests the gate has accepted that have not ended.
	InFlight struct {
		Count int
	}
	// Members brings the live agents of the pool, in any order.
	Members struct {
		Instances []mulberryspool.InstanceID
	}
	// PeerHeard brings another agent's state.
	PeerHeard struct {
		Instance mulberryspool.InstanceID
		Status   mulberryspool.Heartbeat
	}
	// PeerSuspected says that an agent is silent.
	PeerSuspected struct {
		Instance mulberryspool.InstanceID
	}
	// PeerDead says that a suspicion was confirmed by a second path.
	PeerDead struct {
		Instance mulberryspool.InstanceID
	}
	// ContentChanged says that a request saw other weights than the served ones.
	ContentChanged struct{}
	// Leaving says that the agent leaves: it serves no more and orders no more.
	Leaving struct{}
	// Tick lets time pass.
	Tick struct{}
)

// Effects.
type (
	// ReadManifest asks for a version's manifest.
	ReadManifest struct {
		Version string
	}
	// Stage asks for a content.
	Stage struct {
		Manifest mulberryspool.Manifest
	}
	// StopStaging ends a transfer that is no longer needed.
	StopStaging struct {
		Digest mulberryspool.Digest
	}
	// Release drops a staged content.
	Release struct {
		Digest mulberryspool.Digest
	}
	// WriteLease takes or renews the lease.
	WriteLease struct {
		// AtLeast is a lower bound of the number.
		AtLeast uint64
		// Renew is set when this incarnation has held the lease before. It
		// must not be taken again from a newer incarnation.
		Renew bool
	}
	// Load orders the engine to load a version.
	Load struct {
		Token   uint64
		Goal    Goal
		Content mulberryspool.Manifest
		// Adapter is the zero value without an adapter.
		Adapter mulberryspool.Manifest
		Fencing uint64
		// CheckLease is set when the order must not be sent at ValidUntil or later.
		CheckLease bool
		ValidUntil time.Duration
	}
	// ReadBack asks the engine what it serves.
	ReadBack struct {
		Token uint64
	}
	// SetServing opens or closes the gate.
	SetServing struct {
		On      bool
		Weights mulberryspool.Loaded
		// Changed is set when the engine's content changed without an order.
		Changed bool
	}
	// Record puts an event on the time line.
	Record struct {
		Event mulberryspool.Event
	}
)

func (TablesChanged) isEvent()  {}
func (ManifestRead) isEvent()   {}
func (Staged) isEvent()         {}
func (LeaseWritten) isEvent()   {}
func (LeaseFailed) isEvent()    {}
func (EngineRead) isEvent()     {}
func (LoadEnded) isEvent()      {}
func (InFlight) isEvent()       {}
func (Members) isEvent()        {}
func (PeerHeard) isEvent()      {}
func (PeerSuspected) isEvent()  {}
func (PeerDead) isEvent()       {}
func (ContentChanged) isEvent() {}
func (Leaving) isEvent()        {}
func (Tick) isEvent()           {}

func (ReadManifest) isEffect() {}
func (Stage) isEffect()        {}
func (StopStaging) isEffect()  {}
func (Release) isEffect()      {}
func (WriteLease) isEffect()   {}
func (Load) isEffect()         {}
func (ReadBack) isEffect()     {}
func (SetServing) isEffect()   {}
func (Record) isEffect()       {}
