// Package swarm plans which chunk of a version an agent fetches next and from whom.
//
//	Start, Members, Have, Fetched, Failed, ... --> Planner.Step --> Fetch, Cancel, Tell, Wake, Record, Complete
//
// For each chunk, rendezvous hashing over the live agents that take part gives
// one head in each region. The head with the highest score of all fetches the
// chunk from the origin, the head of the next region from that one, and so on,
// so each chunk crosses into each region once. Within a region the chunk
// spreads rarest first among small neighbour sets. When a head brings
// nothing, its successors in the hash order ask it, and later take its place.
//
// The planner does no I/O, reads no clock and starts no goroutine. It is used
// by one goroutine.
package swarm

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/bitset"
)

// Kinds of sources.
const (
	FromOrigin SourceKind = iota
	FromWeightStore
	// FromRegion is an agent of another region.
	FromRegion
	// FromPeer is an agent of the own region.
	FromPeer
)

// Reasons for which a fetch fails.
const (
	// Unreachable means no connection, or one that broke off.
	Unreachable Reason = iota
	// Stalled means that no byte came within the progress timeout.
	Stalled
	// Busy means that the source takes no further transfer now.
	Busy
	// NotHeld means that the source does not hold the chunk.
	NotHeld
	// WrongDigest means that the data is not that of the chunk.
	WrongDigest
	// Abandoned means that the fetch was no longer wanted; nobody is to blame.
	Abandoned
)

type (
	// SourceKind says what kind of place a chunk comes from.
	SourceKind int
	// Reason says why a fetch failed.
	Reason int
	// Attempt numbers one fetch; numbers are not used again.
	Attempt uint64

	// Source is where a chunk comes from.
	Source struct {
		Kind SourceKind
		// Instance is empty for the origin and the weight store.
		Instance mulberryspool.InstanceID
	}

	// Member is an agent of the instance list.
	Member struct {
		Instance mulberryspool.InstanceID
		Region   string
		Pool     string
	}

	// Event is what happened outside the planner.
	Event interface{ event() }

	// Start begins the transfer of a manifest and ends that of another one.
	Start struct {
		Manifest mulberryspool.Manifest
		// Held are the chunks that are staged already.
		Held bitset.Set
	}
	// Stop ends the transfer.
	Stop struct{}
	// Members is the newest instance list.
	Members struct{ Live []Member }
	// Have says what another agent holds.
	Have struct {
		Instance mulberryspool.InstanceID
		Manifest mulberryspool.Digest
		// Held is empty when the agent does not want the manifest.
		Held bitset.Set
		// Told is what the agent was told in the same exchange; nil for nothing.
		Told bitset.Set
	}
	// Lost says that an agent could not be reached for a Tell.
	Lost struct{ Instance mulberryspool.InstanceID }
	// Progressed says that bytes of an attempt arrived.
	Progressed struct{ Attempt Attempt }
	// Fetched says that an attempt's chunk was verified and is staged.
	Fetched struct {
		Attempt Attempt
		Chunk   mulberryspool.Digest
	}
	// Failed says that an attempt ended without a verified chunk.
	Failed struct {
		Attempt Attempt
		Reason  Reason
		Err     error
	}
	// Tick says that the time of the last Wake has come.
	Tick struct{}

	// Effect is what the planner wants done.
	Effect interface{ effect() }

	// Fetch starts an attempt. It ends with Fetched or Failed.
	Fetch struct {
		Attempt  Attempt
		Source   Source
		Manifest mulberryspool.Digest
		Chunk    mulberryspool.Chunk
		// Path and Offset say where the chunk is at the origin.
		Path   string
		Offset int64
	}
	// Cancel ends an attempt; its end is still reported.
	Cancel struct{ Attempt Attempt }
	// Tell sends an agent what is held and brings back a Have, or a Lost.
	Tell struct {
		Instance mulberryspool.InstanceID
		Manifest mulberryspool.Digest
		Held     bitset.Set
	}
	// Wake asks for a Tick at the time, in place of earlier ones.
	Wake struct{ At time.Time }
	// Record puts an event on the time line.
	Record struct{ Event mulberryspool.Event }
	// Complete says that all chunks are held.
	Complete struct{ Manifest mulberryspool.Digest }
)

func (Start) event()      {}
func (Stop) event()       {}
func (Members) event()    {}
func (Have) event()       {}
func (Lost) event()       {}
func (Progressed) event() {}
func (Fetched) event()    {}
func (Failed) event()     {}
func (Tick) event()       {}

func (Fetch) effect()    {}
func (Cancel) effect()   {}
func (Tell) effect()     {}
func (Wake) effect()     {}
func (Record) effect()   {}
func (Complete) effect() {}

// String names the source in events and logs.
func (s Source) String() string {
	switch s.Kind {
	case FromOrigin:
		return "origin"
	case FromWeightStore:
		return "weightStore"
	}
	return string(s.Instance)
}
