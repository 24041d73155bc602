// Package swap decides when a model server changes to the named version.
//
//	Named, engine's state, what is staged --> Decider.Next --> Fetch, Lay, Announce, Order or Rest
//
// It answers the pattern of a version that is named while the pool is loaded:
// a server that changes takes nothing new until its requests have ended, so
// all of them at once would leave callers with nobody, and one after the other
// would miss the bound. Servers that hold nothing change at once; the others
// take turns within a part of the bound, in an order that all agents know.
//
// A Decider does no I/O and reads no clock. It is used by one goroutine.
package swap

import (
	"cmp"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// lastTurn is the part of the bound by which the last change begins. The
	// requests that are in flight then began before the bound.
	lastTurn = 0.85
	// transferPart is the part of the bound that a transfer takes.
	transferPart = 0.45
	// keepShare is the share of a transfer from which it is ended although a
	// newer version has been named.
	keepShare = 0.5
	// announceTime is how long entries may take to hear that a server takes
	// nothing new.
	announceTime = 80 * time.Millisecond
)

// Actions of an agent.
const (
	// Rest means that nothing is to be done until the time.
	Rest Action = iota
	// Lay means that the pieces are to be given to the model server.
	Lay
	// Announce means that entries are told to send nothing new.
	Announce
	// Order means that the pieces are checked and the version is ordered.
	Order
)

type (
	// Action is what an agent does next.
	Action int

	// Decider is the state of one model server. Set the exported fields
	// before the first use.
	Decider struct {
		// Self names this agent among the members.
		Self mulberryspool.InstanceID
		// Bound is the time in which a named version replaces the last.
		Bound time.Duration

		members []mulberryspool.InstanceID
		// named holds when each version became known, oldest first.
		named []namedAt
		// announced is the version for which entries were told to send nothing new.
		announced   int64
		announcedAt time.Time
	}

	// View is what an agent sees of its model server.
	View struct {
		// Served is the version loaded; 0 for none.
		Served int64
		// Loading is set while an order is in progress.
		Loading bool
		// Staged is the newest version that is here completely, since StagedAt;
		// 0 for none.
		Staged   int64
		StagedAt time.Time
		// Laid is the version whose pieces the model server was given last.
		Laid int64
		// Fetching is the version on its way, FetchedShare how much of it is here.
		Fetching     int64
		FetchedShare float64
	}

	// Step is a decision.
	Step struct {
		Action  Action
		Version int64
		// Fetch is the version to bring here; 0 for none or to go on.
		Fetch int64
		// At is when a resting agent decides again at the latest; zero for never.
		At time.Time
	}

	namedAt struct {
		version int64
		at      time.Time
	}
)

// SetNamed takes in a version that is to be served, and since when.
func (d *Decider) SetNamed(version int64, at time.Time) {
	if version > d.Wanted() {
		d.named = append(d.named, namedAt{version: version, at: at})
	}
}

// SetMembers takes in the agents whose model servers share the work.
func (d *Decider) SetMembers(members []mulberryspool.InstanceID) {
	d.members = members
}

// Wanted is the newest named version, 0 for none.
func (d *Decider) Wanted() int64 {
	if len(d.named) == 0 {
		return 0
	}
	return d.named[len(d.named)-1].version
}

// Next decides what to do.
func (d *Decider) Next(v View, now time.Time) Step {
	wanted := d.Wanted()
	step := d.change(v, now)
	if wanted > v.Staged && wanted > v.Served && v.Fetching != wanted && !d.finishes(v) {
		step.Fetch = wanted
	}
	return step
}

// finishes says whether an older transfer goes on although a newer version
// has been named.
func (d *Decider) finishes(v View) bool {
	return v.Fetching > max(v.Served, v.Staged) && v.FetchedShare >= keepShare
}

// change decides on the step towards the newest version that is here.
func (d *Decider) change(v View, now time.Time) Step {
	if v.Staged <= v.Served {
		d.announced = 0
		return Step{Action: Rest}
	}
	if v.Loading {
		return Step{Action: Rest}
	}
	if v.Served == 0 {
		return Step{Action: Order, Version: v.Staged}
	}
	if v.Laid != v.Staged {
		return Step{Action: Lay, Version: v.Staged}
	}
	if d.waitsForNewer(v, now) {
		return Step{Action: Rest}
	}
	if at := d.turn(v); now.Before(at) {
		return Step{Action: Rest, At: at}
	}
	if d.announced != v.Staged {
		d.announced, d.announcedAt = v.Staged, now
		return Step{Action: Announce, Version: v.Staged}
	}
	if at := d.announcedAt.Add(announceTime); now.Before(at) {
		return Step{Action: Rest, At: at}
	}
	return Step{Action: Order, Version: v.Staged}
}

// Leaving says whether entries have been told to send nothing new.
func (d *Decider) Leaving() bool {
	return d.announced != 0
}

// waitsForNewer says whether a version is passed over because a newer one
// will be here before the served one has to go.
func (d *Decider) waitsForNewer(v View, now time.Time) bool {
	wanted := d.Wanted()
	if wanted <= v.Staged {
		return false
	}
	transfer := time.Duration(transferPart * float64(d.Bound))
	here := d.named[len(d.named)-1].at.Add(transfer)
	if v.Fetching != wanted || here.Before(now) {
		// It is later than usual, and nobody knows by how much.
		here = now.Add(transfer)
	}
	return here.Before(d.last(v.Served))
}

// last is when the change from the served version begins at the latest. The
// bound counts from the first version that is newer.
func (d *Decider) last(served int64) time.Time {
	for _, n := range d.named {
		if n.version > served {
			return n.at.Add(time.Duration(lastTurn * float64(d.Bound)))
		}
	}
	return time.Time{}
}

// turn is when this server may change: the members share the time that is
// left when the version is here.
func (d *Decider) turn(v View) time.Time {
	rank, count := d.rank(v.Staged)
	left := d.last(v.Served).Sub(v.StagedAt)
	if count == 1 || left <= 0 {
		return v.StagedAt
	}
	return v.StagedAt.Add(left * time.Duration(rank) / time.Duration(count))
}

// rank is this agent's place among the members, in an order of the version's own.
func (d *Decider) rank(version int64) (rank, count int) {
	place := func(id mulberryspool.InstanceID) uint64 {
		return xxhash.Sum64String(string(id) + "@" + strconv.FormatInt(version, 10))
	}
	own := place(d.Self)
	for _, m := range d.members {
		if m == d.Self {
			continue
		}
		count++
		if p := place(m); p < own || p == own && cmp.Less(m, d.Self) {
			rank++
		}
	}
	return rank, count + 1
}
