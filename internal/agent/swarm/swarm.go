// Package swarm plans which chunk of a version an agent fetches next, and from
// whom.
//
//	Start, Members, Have, Fetched, Failed, ... --> Planner.Step --> Fetch, Cancel, Announce, SetTimer, RecordEvent, Complete
//
// For each chunk, rendezvous hashing over the participating live agents selects
// one owner in each region. The owner with the highest score of all regions
// fetches the chunk from the origin, the owner in the next region fetches it from
// there, and so on, or all of them do with Limits.DirectRegions, so each chunk crosses
// into each region once. Within a region,
// the chunks spread rarest first among small sets of neighbours. If an owner makes
// no progress, its successors in the hash order query it and then take over from
// it.
//
// The planner does no I/O, reads no clock and starts no goroutines. It is not safe
// for concurrent use.
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
	// FromPeer is an agent of the local region.
	FromPeer
)

// Reasons for the failure of a fetch.
const (
	// Unreachable means that the connection could not be opened or broke off.
	Unreachable Reason = iota
	// Stalled means that no byte arrived within the progress timeout.
	Stalled
	// Busy means that the source has no free slot for another transfer.
	Busy
	// NotHeld means that the source does not hold the chunk.
	NotHeld
	// WrongDigest means that the data does not match the chunk's digest.
	WrongDigest
	// Abandoned means that the fetch was no longer wanted. It does not count against
	// the source.
	Abandoned
)

type (
	// SourceKind is the kind of a source.
	SourceKind int
	// Reason is the reason for the failure of a fetch.
	Reason int
	// Attempt identifies one fetch. Values are never reused.
	Attempt uint64

	// Source is where a chunk is fetched from.
	Source struct {
		Kind SourceKind
		// Instance is empty for the origin and the weight store.
		Instance mulberryspool.InstanceID
	}

	// Member is an agent in the instance list.
	Member struct {
		Instance mulberryspool.InstanceID
		Region   string
		Pool     string
	}

	// Event is an input of the planner.
	Event interface{ event() }

	// Start begins the transfer of a manifest and replaces a transfer that is
	// running.
	Start struct {
		Manifest mulberryspool.Manifest
		// Held contains the chunks that are already staged.
		Held bitset.Set
		// OriginBytesPerSecond replaces Limits.OriginBytesPerSecond unless it is 0.
		OriginBytesPerSecond int64
	}
	// Suspend stops starting fetches, or starts them again. Those that run go on.
	Suspend struct{ Suspended bool }
	// Stop ends the transfer.
	Stop struct{}
	// Members carries the newest instance list.
	Members struct{ Live []Member }
	// Have reports which chunks another agent holds.
	Have struct {
		Instance mulberryspool.InstanceID
		Manifest mulberryspool.Digest
		// Held has length 0 if the agent does not want the manifest. If the agent only
		// holds no chunk of it yet, all bits are 0.
		Held bitset.Set
		// Announced is what this agent announced in the same exchange; nil if nothing.
		Announced bitset.Set
	}
	// AnnounceFailed reports that an agent could not be reached for an Announce.
	AnnounceFailed struct{ Instance mulberryspool.InstanceID }
	// Progressed reports that an attempt has received bytes.
	Progressed struct{ Attempt Attempt }
	// Fetched reports that the chunk of an attempt was verified and staged.
	Fetched struct {
		Attempt Attempt
		Chunk   mulberryspool.Digest
	}
	// Failed reports that an attempt ended without a verified chunk.
	Failed struct {
		Attempt Attempt
		Reason  Reason
		Err     error
	}
	// Tick reports that the time of the last SetTimer has come.
	Tick struct{}

	// Effect is an action that the planner requests from its caller.
	Effect interface{ effect() }

	// Fetch starts an attempt, which ends with Fetched or Failed.
	Fetch struct {
		Attempt  Attempt
		Source   Source
		Manifest mulberryspool.Digest
		Chunk    mulberryspool.Chunk
		// Path and Offset locate the chunk at the origin.
		Path   string
		Offset int64
	}
	// Cancel cancels an attempt. The end of the attempt is still reported.
	Cancel struct{ Attempt Attempt }
	// Announce sends the held chunks to an agent. It results in a Have, or in
	// AnnounceFailed.
	Announce struct {
		Instance mulberryspool.InstanceID
		Manifest mulberryspool.Digest
		Held     bitset.Set
	}
	// SetTimer requests a Tick at the given time. It replaces earlier requests.
	SetTimer struct{ At time.Time }
	// RecordEvent adds an event to the timeline.
	RecordEvent struct{ Event mulberryspool.Event }
	// Complete reports that all chunks are held.
	Complete struct{ Manifest mulberryspool.Digest }
)

func (Start) event()          {}
func (Suspend) event()        {}
func (Stop) event()           {}
func (Members) event()        {}
func (Have) event()           {}
func (AnnounceFailed) event() {}
func (Progressed) event()     {}
func (Fetched) event()        {}
func (Failed) event()         {}
func (Tick) event()           {}

func (Fetch) effect()       {}
func (Cancel) effect()      {}
func (Announce) effect()    {}
func (SetTimer) effect()    {}
func (RecordEvent) effect() {}
func (Complete) effect()    {}

// String returns the name of the source as used in events and logs.
func (s Source) String() string {
	switch s.Kind {
	case FromOrigin:
		return "origin"
	case FromWeightStore:
		return "weightStore"
	}
	return string(s.Instance)
}
