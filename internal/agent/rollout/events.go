package rollout

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
)

type (
	// Event is an input of the reducer.
	Event interface{ isEvent() }
	// Effect is an action that the caller of Step must perform, in the order in
	// which Step returns them.
	Effect interface{ isEffect() }
)

// Events.
type (
	// TablesChanged reports the row of the agent's pool at a revision of the
	// tables.
	TablesChanged struct {
		Revision mulberryspool.Revision
		// Pool is the agent's row; Exists is false when there is none.
		Pool   mulberryspool.Pool
		Exists bool
		// Change is the ID of the last known change to the row; empty if none is known.
		Change string
	}
	// ManifestRead is the result of a ReadManifest.
	ManifestRead struct {
		Version  string
		Manifest mulberryspool.Manifest
		Error    string
	}
	// Staged is the result of a Stage.
	Staged struct {
		Digest mulberryspool.Digest
		Error  string
	}
	// LeaseWritten reports that this incarnation took or renewed the lease.
	LeaseWritten struct {
		// Number is the lease number, the high bits of this incarnation's
		// fencing numbers.
		Number uint64
		// ValidUntil is the expiry on the agent's monotonic clock. The lease
		// duration counts from before the write.
		ValidUntil time.Duration
		// OrdersAllowedFrom is the time by which the last load order of the previous
		// incarnation has taken effect. It matters only for engines that ignore
		// fencing numbers.
		OrdersAllowedFrom time.Duration
	}
	// LeaseFailed reports that the lease was not written.
	LeaseFailed struct {
		// Superseded is set when a newer incarnation holds the lease.
		Superseded bool
		Error      string
	}
	// EngineRead is the result of a ReadBack. The read began after the effect
	// was returned.
	EngineRead struct {
		Token  uint64
		Loaded mulberryspool.Loaded
		Error  string
	}
	// LoadEnded is the result of a Load.
	LoadEnded struct {
		Token uint64
		Error string
		// NotSent is set when the order was not sent because the lease had
		// expired.
		NotSent bool
		// NotReceived is set when the engine definitely did not receive the
		// order, and Uncertain when the order may still take effect.
		NotReceived, Uncertain bool
		// ContentMissing is set when the content was no longer staged.
		ContentMissing bool
	}
	// InFlight reports the number of accepted requests that have not ended.
	InFlight struct {
		Count int
	}
	// Members reports the live agents of the pool, in any order.
	Members struct {
		Instances []mulberryspool.InstanceID
	}
	// PeerHeartbeat reports a heartbeat of another agent.
	PeerHeartbeat struct {
		Instance mulberryspool.InstanceID
		Status   mulberryspool.Heartbeat
	}
	// PeerSuspected reports that an agent does not reply to heartbeats.
	PeerSuspected struct {
		Instance mulberryspool.InstanceID
	}
	// PeerDead reports that a suspected agent is dead: it was unreachable on new
	// connections too.
	PeerDead struct {
		Instance mulberryspool.InstanceID
	}
	// WeightsMismatch reports that a request was answered with other weights than
	// the served ones.
	WeightsMismatch struct{}
	// Leaving reports that the agent is shutting down: it starts no more swaps
	// and sends no more load orders.
	Leaving struct{}
	// Tick reports that time has passed.
	Tick struct{}
)

// Effects.
type (
	// ReadManifest requests a version's manifest.
	ReadManifest struct {
		Version string
	}
	// Stage starts the transfer of a content.
	Stage struct {
		Manifest mulberryspool.Manifest
	}
	// StopStaging cancels a transfer that is no longer needed.
	StopStaging struct {
		Digest mulberryspool.Digest
	}
	// Release frees a staged content.
	Release struct {
		Digest mulberryspool.Digest
	}
	// WriteLease takes or renews the lease.
	WriteLease struct {
		// AtLeast is a lower bound of the lease number.
		AtLeast uint64
		// Renew is set when this incarnation has held the lease before. It must
		// then not take the lease back from a newer incarnation.
		Renew bool
	}
	// Load orders the engine to load a version.
	Load struct {
		Token   uint64
		Goal    Goal
		Content mulberryspool.Manifest
		// Adapter is the zero value if the goal has no adapter.
		Adapter mulberryspool.Manifest
		Fencing uint64
		// CheckLease is set when the order must not be sent at ValidUntil or
		// later, because the engine ignores fencing numbers.
		CheckLease bool
		ValidUntil time.Duration
	}
	// ReadBack asks the engine what it has loaded.
	ReadBack struct {
		Token uint64
	}
	// SetServing lets requests start with the weights, or stops new requests.
	SetServing struct {
		On      bool
		Weights mulberryspool.Loaded
		// WeightsChanged is set when the engine's weights changed without an order.
		WeightsChanged bool
	}
	// Record adds an event to the timeline.
	Record struct {
		Event mulberryspool.Event
	}
)

func (TablesChanged) isEvent()   {}
func (ManifestRead) isEvent()    {}
func (Staged) isEvent()          {}
func (LeaseWritten) isEvent()    {}
func (LeaseFailed) isEvent()     {}
func (EngineRead) isEvent()      {}
func (LoadEnded) isEvent()       {}
func (InFlight) isEvent()        {}
func (Members) isEvent()         {}
func (PeerHeartbeat) isEvent()   {}
func (PeerSuspected) isEvent()   {}
func (PeerDead) isEvent()        {}
func (WeightsMismatch) isEvent() {}
func (Leaving) isEvent()         {}
func (Tick) isEvent()            {}

func (ReadManifest) isEffect() {}
func (Stage) isEffect()        {}
func (StopStaging) isEffect()  {}
func (Release) isEffect()      {}
func (WriteLease) isEffect()   {}
func (Load) isEffect()         {}
func (ReadBack) isEffect()     {}
func (SetServing) isEffect()   {}
func (Record) isEffect()       {}
