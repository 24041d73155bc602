// Package swap decides when a model server swaps its version for a newer one that
// was named as the version to serve.
//
//	named versions, engine state, staged versions --> Decider.Next --> fetch, Upload, Drain, Load or Wait
//
// A new version may be named while the pool is busy. A server that swaps accepts
// no new requests until its running ones have ended. If all servers swapped at
// once, no server would be left for callers; if they swapped one after the other,
// the time bound for the new version would be missed. Servers without a loaded
// version therefore swap at once, and the others take turns within a fraction of
// the bound, in an order that every agent computes on its own.
//
// The running requests of a server take seconds to end, as long as a transfer. The
// first turns therefore begin before the copy is complete, while the transfer makes
// progress.
//
// A Decider does no I/O, reads no clock and is not safe for concurrent use.
package swap

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// latestSwapFraction is the fraction of the bound by which the last swap
	// must begin. Requests in flight at that time began before the bound.
	latestSwapFraction = 0.85
	// lastTurnFraction is the fraction of the bound at which the last turn begins if
	// the copies were complete in the usual time. A full server serves again 2.7 to 4.3 s
	// after its turn begins. The earlier the last turn, the more servers drain at the
	// same time: with 0.6, requests in time fell to 0.61 of the usual share in a swap of a
	// full pool, with 0.85 to 0.8.
	lastTurnFraction = 0.85
	// minSpreadFraction is the fraction of the bound over which the turns are spread
	// at least, so that a late copy does not stop all servers at once.
	minSpreadFraction = 0.35
	// leadTime is how long before the copy is complete a turn may begin. The running
	// requests of a full server end after 2.4 to 4.0 s.
	leadTime = 3000 * time.Millisecond
	// restCopies is the remaining time of a whole transfer, in copies on the link,
	// once it makes progress; elapsedFactor relates the time that the rest takes to that
	// of the part before it, which is slower at first.
	restCopies    = 1.4
	elapsedFactor = 0.55
	// maxEarlyDrain is how long a server stays drained without the copy. Then it serves
	// the old version again.
	maxEarlyDrain = 3500 * time.Millisecond
	// slowAfter is the time without a new chunk after which no server drains before its
	// copy is complete, and stalledAfter that after which one that did serves again.
	// Usually 10 to 25 chunks arrive in a second.
	slowAfter    = 500 * time.Millisecond
	stalledAfter = time.Second
	// firstChunkAfter is the time without a first chunk after which a transfer counts as
	// stalled. It usually takes up to 0.7 s.
	firstChunkAfter = 1500 * time.Millisecond
	// unavailableAfter is the time without a new chunk after which a transfer counts as stalled
	// if missing chunks are unavailable.
	unavailableAfter = 700 * time.Millisecond
	// minEarlyMembers is the number of servers from which on turns begin before the
	// copy is complete. In a smaller pool, one that waits for its copy is missed.
	minEarlyMembers = 4
	// Of firstDrainShare servers, one drains as soon as its transfer makes progress, so
	// that the version serves early on a few servers.
	firstDrainShare = 30
	// Of firstShare servers, the first one in the order needs its copy early.
	firstShare = 20
	// awaitFraction is the fraction of the bound after which a named version whose
	// manifest can't be read is not expected soon, and beginFraction the same for one of
	// which no chunk has arrived.
	awaitFraction = 0.1
	beginFraction = 0.3
	// transferFraction is the fraction of the bound that a transfer usually takes.
	transferFraction = 0.45
	// keepTransferShare is the completed share from which a transfer is
	// finished even though a newer version has been named, if it isn't known how long the
	// origin takes for a copy, and keepCompleteShare that if it is.
	keepTransferShare = 0.5
	keepCompleteShare = 0.85
	// finishReadTime is the rest of the origin's time for a copy in which agents continue to read
	// it before they turn to a newer version, and finishReadDelay how long after that time they
	// do. An agent that has not read its chunks by then waits for maxReadDelay: in the replay
	// of internal/role/hosted, the last chunk arrives 0.2 to 0.7 s after that time. The agents
	// can then exchange a complete copy if the newer one can't be read.
	finishReadTime  = 500 * time.Millisecond
	finishReadDelay = 200 * time.Millisecond
	maxReadDelay    = 800 * time.Millisecond
	// minResumedShare is the completed share from which a transfer that was replaced by that
	// of a newer version is resumed when the newer one stalls.
	minResumedShare = 0.3
	// minUseTime is how long a version must at least be usable for a swap to it to begin. A full
	// server loses about 2 s of its slots by a swap.
	minUseTime = 2 * time.Second
	// minTurnShare is the completed share of a transfer from which turns begin. The first
	// chunks don't show that the others can be had.
	minTurnShare = 0.1
	// drainNoticeTime is how long entries may take to learn that a server
	// accepts no new requests.
	drainNoticeTime = 80 * time.Millisecond
)

// Actions of an agent.
const (
	// Wait means that there is nothing to do until Decision.WakeAt.
	Wait Action = iota
	// Upload means that the chunks are to be uploaded to the model server.
	Upload
	// Drain means that entries are told to send no new requests.
	Drain
	// Load means that the uploaded chunks are checked and the model server is
	// ordered to load the version.
	Load
)

type (
	// Action is the next action of an agent.
	Action int

	// Decider is the state of one model server. Set the exported fields
	// before the first use.
	Decider struct {
		// Self is this agent's instance ID among the members.
		Self mulberryspool.InstanceID
		// Bound is the time within which a named version must replace the
		// previous one.
		Bound time.Duration
		// CopyTime is the time that a copy takes on the slowest link on its way to one
		// agent; 0 if unknown, then no turn begins before the copy is complete.
		CopyTime time.Duration
		// OriginTime is the time that a copy takes on the origin's link; 0 if unknown.
		OriginTime time.Duration

		members []mulberryspool.InstanceID
		// named holds the named versions with the time at which each was
		// named, in the order of the versions.
		named []namedVersion
		// drainingVersion is the version for whose load entries were told to
		// send no new requests; 0 while the server is not draining.
		drainingVersion int64
		drainingSince   time.Time
		// lateVersion is a version for which the server was drained without a load, because its
		// transfer took too long.
		lateVersion int64
		// progress is what was last seen of the running transfer.
		progress transferProgress
		// stalled is the newest transfer that has stalled, until it makes progress again.
		stalled transferProgress
		// resumed is the version whose transfer was resumed because that of a newer one had
		// stalled.
		resumed int64
		// planned is the turn that was planned last, before the copy was complete.
		planned plannedTurn
	}

	// transferProgress is the share of a transfer, and when it last rose. It has moved once
	// it has risen above the share that it began with.
	transferProgress struct {
		version int64
		share   float64
		at      time.Time
		moved   bool
	}

	plannedTurn struct {
		version int64
		at      time.Time
	}

	// View is the state of a model server and its staged versions.
	View struct {
		// Served is the loaded version; 0 for none.
		Served int64
		// Loading is set while the model server executes a load order.
		Loading bool
		// Staged is the newest version that the agent holds completely, since
		// StagedAt; 0 for none.
		Staged   int64
		StagedAt time.Time
		// Uploaded is the version whose chunks were all uploaded to the model server and not
		// replaced since; 0 for none.
		Uploaded int64
		// Fetching is the version being transferred, and FetchedShare the
		// completed share of the transfer, 0 to 1.
		Fetching     int64
		FetchedShare float64
		// FetchBegan is when the transfer began, and AwaitsManifest is set while its
		// manifest could not be read yet.
		FetchBegan     time.Time
		AwaitsManifest bool
		// ReadsOrigin is set while the agent reads chunks of the running transfer from the
		// origin, or has yet to.
		ReadsOrigin bool
		// ChunksUnavailable is set if no agent of the region is known to hold some of the missing
		// chunks, though they should have been read from the origin by now.
		ChunksUnavailable bool
		// Kept is an older version whose transfer was replaced by the running one and can be
		// resumed, and KeptShare its completed share; 0 for none.
		Kept      int64
		KeptShare float64
	}

	// Decision is the result of Decider.Next.
	Decision struct {
		Action  Action
		Version int64
		// Fetch is the version whose transfer is to be started; 0 starts none
		// and leaves a running transfer alone.
		Fetch int64
		// Prepare is the version whose available chunks may be uploaded to the model
		// server already; 0 for none. They replace those of another version there.
		Prepare int64
		// WakeAt is the latest time at which a waiting agent must decide again;
		// zero if there is none.
		WakeAt time.Time
		// TurnAt is when the server is expected to accept no more requests; zero if
		// unknown.
		TurnAt time.Time
	}

	namedVersion struct {
		version int64
		at      time.Time
	}
)

// SetNamedVersion records that a version was named, and when. Of several times
// for a version the earliest counts, because a report can only be late.
func (d *Decider) SetNamedVersion(version int64, at time.Time) {
	if version <= 0 {
		return
	}
	i, known := slices.BinarySearchFunc(d.named, version, func(n namedVersion, v int64) int { return cmp.Compare(n.version, v) })
	if !known {
		d.named = slices.Insert(d.named, i, namedVersion{version: version, at: at})
		return
	}
	if at.Before(d.named[i].at) {
		d.named[i].at = at
	}
}

// CorrectNamedVersion records that a version was named, and replaces an earlier report of
// when.
func (d *Decider) CorrectNamedVersion(version int64, at time.Time) {
	d.SetNamedVersion(version, at)
	for i := range d.named {
		if d.named[i].version == version {
			d.named[i].at = at
		}
	}
}

// SetMembers sets the agents whose model servers take turns.
func (d *Decider) SetMembers(members []mulberryspool.InstanceID) {
	d.members = members
}

// Wanted returns the newest named version, or 0 if there is none.
func (d *Decider) Wanted() int64 {
	if len(d.named) == 0 {
		return 0
	}
	return d.named[len(d.named)-1].version
}

// Next decides on the next action and on the transfer to start.
func (d *Decider) Next(v View, now time.Time) Decision {
	wanted := d.Wanted()
	d.noteProgress(v, now)
	decision := d.nextSwapAction(v, now)
	decision.Prepare = d.prepared(v, now)
	switch {
	case wanted <= v.Staged || wanted <= v.Served:
	case v.Fetching != wanted && !d.keepsCurrentTransfer(v, now):
		decision.Fetch = wanted
	case v.Fetching == wanted && d.resumesKept(v, now):
		d.resumed, decision.Fetch = v.Kept, v.Kept
	}
	return decision
}

// noteProgress records whether the running transfer makes progress.
func (d *Decider) noteProgress(v View, now time.Time) {
	before := d.progress
	if v.Fetching != before.version || v.FetchedShare != before.share {
		d.progress = transferProgress{version: v.Fetching, share: v.FetchedShare, at: now}
		d.progress.moved = v.Fetching == before.version && (before.moved || before.share > 0 && v.FetchedShare > before.share)
	}
	switch {
	case v.Fetching == 0 || v.Fetching < d.stalled.version:
	case d.hasStalled(v, now):
		d.stalled = d.progress
	case v.Fetching > d.stalled.version || v.FetchedShare > d.stalled.share:
		d.stalled = transferProgress{}
	}
}

// hasStalled reports whether the running transfer makes no progress, so that an older version
// is used instead.
func (d *Decider) hasStalled(v View, now time.Time) bool {
	silent := now.Sub(d.progress.at)
	return silent >= firstChunkAfter || d.progress.share > 0 && silent >= stalledAfter || v.ChunksUnavailable && silent >= unavailableAfter
}

// resumesKept reports whether the transfer of an older version is resumed: that of the newer
// one has stalled, and half of the servers can serve the older one before the bound of the
// served one. A later swap costs more than it gives. It is resumed once.
func (d *Decider) resumesKept(v View, now time.Time) bool {
	if v.Kept <= max(v.Served, v.Staged, d.resumed) || v.KeptShare < minResumedShare || !d.hasStalled(v, now) {
		return false
	}
	rest := time.Duration(restCopies * (1 - v.KeptShare) * float64(d.CopyTime))
	if v.Served == 0 {
		return now.Add(rest).Before(d.firstNamed(v.Kept).Add(d.Bound))
	}
	half := d.fraction(minSpreadFraction) / 2
	return now.Add(max(rest, leadTime) + half).Before(d.firstNamed(v.Served).Add(d.Bound))
}

// prepared returns the version that is loaded next.
func (d *Decider) prepared(v View, now time.Time) int64 {
	if v.Staged > v.Served && !d.isOutdated(v.Staged, now) && (v.Served == 0 || !d.skipsToNewer(v, now)) {
		return v.Staged
	}
	return v.Fetching
}

// isOutdated reports whether a newer version was named so long ago that this one may be served
// for less than minUseTime.
func (d *Decider) isOutdated(version int64, now time.Time) bool {
	newer := d.firstNamed(version)
	return !newer.IsZero() && !now.Add(minUseTime).Before(newer.Add(d.Bound))
}

// keepsCurrentTransfer reports whether the running transfer is finished, or its chunks read
// from the origin, even though a newer version has been named.
func (d *Decider) keepsCurrentTransfer(v View, now time.Time) bool {
	switch {
	case v.Fetching <= max(v.Served, v.Staged) || d.isOutdated(v.Fetching, now):
		return false
	case v.Fetching == d.resumed:
		return now.Sub(d.progress.at) < stalledAfter
	case d.OriginTime <= 0 || v.FetchBegan.IsZero():
		return v.FetchedShare >= keepTransferShare
	}
	readEnd, delay := v.FetchBegan.Add(d.OriginTime), finishReadDelay
	if v.ReadsOrigin {
		delay = maxReadDelay
	}
	return v.FetchedShare >= keepCompleteShare || !now.Before(readEnd.Add(-finishReadTime)) && now.Before(readEnd.Add(delay))
}

// nextSwapAction decides on the next action towards the version that is loaded next.
func (d *Decider) nextSwapAction(v View, now time.Time) Decision {
	if v.Staged <= v.Served && v.Fetching <= v.Served {
		d.drainingVersion = 0
		return Decision{Action: Wait}
	}
	if v.Loading {
		return Decision{Action: Wait}
	}
	if d.drainingVersion != v.Staged && d.drainingVersion != v.Fetching {
		d.drainingVersion = 0
	}
	next := d.prepared(v, now)
	if d.drainingVersion != next {
		d.drainingVersion = 0
	}
	if next <= v.Served {
		return Decision{Action: Wait}
	}
	if next != v.Staged {
		return d.beforeCopy(v, next, now)
	}
	if v.Served == 0 {
		return Decision{Action: Load, Version: next}
	}
	if v.Uploaded != next {
		return Decision{Action: Upload, Version: next}
	}
	if d.drainingVersion != next {
		if at := d.turnOfCopy(v); now.Before(at) {
			return Decision{Action: Wait, WakeAt: at, TurnAt: at}
		}
		return d.drain(next, now)
	}
	if at := d.drainingSince.Add(drainNoticeTime); now.Before(at) {
		return Decision{Action: Wait, WakeAt: at}
	}
	return Decision{Action: Load, Version: next}
}

func (d *Decider) drain(version int64, now time.Time) Decision {
	d.drainingVersion, d.drainingSince = version, now
	return Decision{Action: Drain, Version: version}
}

// beforeCopy decides whether the server drains although the copy is not complete yet.
func (d *Decider) beforeCopy(v View, next int64, now time.Time) Decision {
	rank, count := d.rank(next)
	rest, known := d.restOfTransfer(v, now)
	if v.Served == 0 || !known || count < minEarlyMembers || d.lateVersion == next {
		d.drainingVersion = 0
		return Decision{Action: Wait}
	}
	silent := now.Sub(d.progress.at)
	if d.drainingVersion == next {
		if at := d.drainingSince.Add(maxEarlyDrain); now.Before(at) && silent < stalledAfter {
			return Decision{Action: Wait, WakeAt: at}
		}
		d.drainingVersion, d.lateVersion = 0, next
		return Decision{Action: Wait}
	}
	if silent >= slowAfter || !d.progress.moved || v.FetchedShare < minTurnShare || v.ChunksUnavailable || d.replacedSoon(next, now) {
		return Decision{Action: Wait}
	}
	turn := d.turn(v, next, later(now.Add(rest-leadTime), v.FetchBegan))
	d.planned = plannedTurn{version: next, at: turn}
	if rank*firstDrainShare < count {
		turn = now
	}
	if now.Before(turn) {
		return Decision{Action: Wait, WakeAt: turn, TurnAt: turn}
	}
	return d.drain(next, now)
}

// replacedSoon reports whether the transfer of a version is about to be replaced by that of the
// newest one, whose manifest is being read.
func (d *Decider) replacedSoon(version int64, now time.Time) bool {
	wanted := d.Wanted()
	return version < wanted && d.stalled.version != wanted && now.Before(d.named[len(d.named)-1].at.Add(d.fraction(awaitFraction)))
}

// turnOfCopy returns when the turn to the staged version begins: as planned while it was
// transferred, and no later than if the turns began with the complete copy.
func (d *Decider) turnOfCopy(v View) time.Time {
	turn := d.turn(v, v.Staged, v.StagedAt)
	if d.planned.version == v.Staged && d.planned.at.Before(turn) {
		return d.planned.at
	}
	return turn
}

// restOfTransfer estimates the time until the running transfer is complete. It is not known
// before the transfer makes progress.
func (d *Decider) restOfTransfer(v View, now time.Time) (rest time.Duration, known bool) {
	if d.CopyTime <= 0 || v.FetchedShare <= 0 || v.FetchBegan.IsZero() {
		return 0, false
	}
	missing := 1 - v.FetchedShare
	byLink := restCopies * missing * float64(d.CopyTime)
	byProgress := elapsedFactor * missing / v.FetchedShare * float64(now.Sub(v.FetchBegan))
	return time.Duration(max(byLink, byProgress)), true
}

// NeedsCopyEarly reports whether the server is among the first to swap to a version.
func (d *Decider) NeedsCopyEarly(version int64) bool {
	rank, count := d.rank(version)
	return rank*firstShare < count
}

// Draining reports whether entries have been told to send no new requests.
func (d *Decider) Draining() bool {
	return d.drainingVersion != 0
}

// skipsToNewer reports whether the staged version is skipped because a newer
// one is expected before the served version must be replaced. A draining server
// does not wait for one: meanwhile it would get no requests.
func (d *Decider) skipsToNewer(v View, now time.Time) bool {
	wanted := d.Wanted()
	if wanted <= v.Staged || d.drainingVersion == v.Staged || d.stalled.version == wanted {
		return false
	}
	named := d.named[len(d.named)-1].at
	if v.AwaitsManifest && !now.Before(named.Add(d.fraction(awaitFraction))) || v.FetchedShare == 0 && !now.Before(named.Add(d.fraction(beginFraction))) {
		return false
	}
	if rest, known := d.restOfTransfer(v, now); known && v.Fetching == wanted {
		return now.Add(rest).Before(d.firstNamed(v.Served).Add(d.Bound))
	}
	transfer := d.fraction(transferFraction)
	arrival := named.Add(transfer)
	if v.Fetching != wanted || arrival.Before(now) {
		// The transfer is not running yet or is late by an unknown time, so a
		// whole transfer from now on is assumed.
		arrival = now.Add(transfer)
	}
	return arrival.Before(d.latestSwapTime(v.Served))
}

// fraction returns a part of the bound.
func (d *Decider) fraction(part float64) time.Duration {
	return time.Duration(part * float64(d.Bound))
}

// latestSwapTime returns the latest time at which the swap from the served
// version may begin; zero if no newer version is named.
func (d *Decider) latestSwapTime(served int64) time.Time {
	first := d.firstNamed(served)
	if first.IsZero() {
		return first
	}
	return first.Add(d.fraction(latestSwapFraction))
}

// firstNamed returns when the first version newer than the served one was named, from which
// the bound counts; zero if none was.
func (d *Decider) firstNamed(served int64) time.Time {
	var first time.Time
	for _, n := range d.named {
		if n.version > served && (first.IsZero() || n.at.Before(first)) {
			first = n.at
		}
	}
	return first
}

// turn returns the time from which this server may swap to a version, if the turns begin at
// the given time. They are spread evenly.
func (d *Decider) turn(v View, version int64, begin time.Time) time.Time {
	rank, count := d.rank(version)
	named := d.firstNamed(v.Served)
	if count == 1 || named.IsZero() {
		return begin
	}
	last := later(named.Add(d.fraction(lastTurnFraction)), begin.Add(d.fraction(minSpreadFraction)))
	if latest := d.latestSwapTime(v.Served); last.After(latest) {
		last = latest
	}
	if !last.After(begin) {
		return begin
	}
	return begin.Add(last.Sub(begin) * time.Duration(rank) / time.Duration(count))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// rank returns this agent's position among the members and their number. The
// order is by hash and differs from version to version.
func (d *Decider) rank(version int64) (rank, count int) {
	score := func(id mulberryspool.InstanceID) uint64 {
		return xxhash.Sum64String(string(id) + "@" + strconv.FormatInt(version, 10))
	}
	own := score(d.Self)
	for _, m := range d.members {
		if m == d.Self {
			continue
		}
		count++
		if p := score(m); p < own || p == own && cmp.Less(m, d.Self) {
			rank++
		}
	}
	return rank, count + 1
}
