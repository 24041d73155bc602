// Package membership merges what the store, other processes and the backend servers
// themselves report about backend servers.
//
//	Merge (own list or watch, peers), MarkLeaving (answers) --> View --> Servers, Snapshot
//
// Reports arrive late, repeatedly and in any order, and the store may refuse a process
// while it serves the others. The positions of the store order them: each server has
// the position of its object's last change, and each snapshot has the position as of
// which it is complete. The result of merging depends neither on the order of the
// snapshots nor on their sender, and an older one brings back nothing that was removed.
//
// A store that is restored from a copy begins a new era, whose positions are after all
// earlier ones. The copy may lack that a server leaves or was removed: a server that leaves
// still does so, and one that was removed is withheld until its object changes or Release
// is called. It may also lack servers: until EndGrace is called, all lists of the new era
// count as assumed, whoever reports them, and remove none of an earlier era.
package membership

import (
	"maps"

	"github.com/mulberryspool/mulberryspool"
)

// maxMarks is the number of leaving incarnations that are remembered.
const maxMarks = 4096

type (
	// Servers maps instances to backend servers.
	Servers = map[mulberryspool.InstanceID]mulberryspool.BackendServer

	// Snapshot is a set of backend servers as of a revision of the store.
	Snapshot struct {
		// Servers may contain rows that are newer than CompleteAt.
		Servers Servers
		// Unchanged holds further servers, of which the snapshot has nothing new.
		Unchanged []mulberryspool.InstanceID
		// CompleteAt is the position as of which no server is missing: one that is in
		// neither and was last changed at or before CompleteAt has been removed.
		CompleteAt mulberryspool.Position
		// Assumed is set if Servers contains some whose objects have been removed, but
		// that may only have been unable to renew them.
		Assumed bool
		// ExactAt is the last position as of which, in addition, no server was assumed; zero
		// if it is not known.
		ExactAt mulberryspool.Position
	}

	// View is a process's knowledge of the backend servers. It does no I/O, and is not
	// safe for concurrent use.
	View struct {
		servers Servers
		// usable is servers with the withheld ones as leaving.
		usable Servers
		// completeAt is the position as of which no server is missing.
		completeAt mulberryspool.Position
		// exactAt is the position as of which, in addition, no server was removed.
		exactAt mulberryspool.Position
		// graceEra is the era whose grace period lasts; 0 for none. pendingExactAt becomes
		// exactAt when it ends.
		graceEra       mulberryspool.Era
		pendingExactAt mulberryspool.Position
		// leaving holds the incarnations that are known to leave.
		leaving map[incarnation]struct{}
		// marked holds the keys of leaving, the first marked first.
		marked []incarnation
		// removed holds the removals of incarnations.
		removed map[incarnation]removal
		// withheld holds the position of the object of each server that is withheld.
		withheld map[incarnation]mulberryspool.Position
	}

	// removal is the removal of an incarnation.
	removal struct {
		// at is the position as of which it was removed.
		at mulberryspool.Position
		// changedAt is the position of its object's last known change. It is of an earlier
		// era than at if the copy of a restored store lacked the object.
		changedAt mulberryspool.Position
	}

	incarnation struct {
		instance mulberryspool.InstanceID
		// born is the start of the incarnation in Unix milliseconds, by its own clock.
		born int64
	}
)

// Merge adopts the parts of a snapshot that are newer. It reports whether the servers
// have changed.
func (v *View) Merge(s Snapshot) bool {
	if s.CompleteAt.Revision == 0 {
		return false
	}
	changed := v.servers == nil
	merged := make(Servers, len(v.servers))
	for id, known := range v.servers {
		if _, listed := s.Servers[id]; listed || known.Position().After(s.CompleteAt) || v.inGrace(s.CompleteAt.Era) && known.Era < v.graceEra {
			merged[id] = known
		}
	}
	for _, id := range s.Unchanged {
		if known, ok := v.servers[id]; ok {
			merged[id] = known
		}
	}
	if len(merged) < len(v.servers) {
		changed = true
	}
	ordered := true
	for id, b := range s.Servers {
		if b.Validate() != nil || b.Instance != id {
			// A peer of an earlier build accepts such rows. The server has none any more.
			if known, ok := merged[id]; ok && b.Position().After(known.Position()) {
				delete(merged, id)
				changed = true
			}
			continue
		}
		if b.Leaving {
			v.mark(id, b.Born)
		}
		if v.isNewer(b) {
			merged[id], changed = v.adopt(b), true
		}
		ordered = ordered && b.Revision > 0
	}
	if v.applyMarks(merged) {
		changed = true
	}
	v.recordRemoved(merged, s.CompleteAt)
	v.setServers(merged)
	if !ordered {
		// A peer of an earlier build sends no revisions, so that rows of its list may be
		// missing here.
		return changed
	}
	v.completeAt = v.completeAt.Max(s.CompleteAt)
	exactAt := s.CompleteAt
	if s.Assumed {
		exactAt = s.ExactAt
	}
	if v.inGrace(exactAt.Era) {
		v.pendingExactAt = v.pendingExactAt.Max(exactAt)
	} else {
		v.exactAt = v.exactAt.Max(exactAt)
	}
	return changed
}

// BeginGrace begins the grace period of an era.
func (v *View) BeginGrace(era mulberryspool.Era) {
	v.graceEra, v.pendingExactAt = era, mulberryspool.Position{}
}

// EndGrace ends the grace period of an era unless a later one has begun, and removes the servers
// that the store does not list in it. It reports whether the servers have changed.
func (v *View) EndGrace(era mulberryspool.Era) bool {
	if v.graceEra != era {
		return false
	}
	v.graceEra = 0
	if v.pendingExactAt.Revision == 0 {
		return false
	}
	v.exactAt = v.exactAt.Max(v.pendingExactAt)
	listed := maps.Clone(v.servers)
	maps.DeleteFunc(listed, func(_ mulberryspool.InstanceID, b mulberryspool.BackendServer) bool { return b.Era < era })
	if len(listed) == len(v.servers) {
		return false
	}
	v.recordRemoved(listed, v.exactAt)
	v.setServers(listed)
	return true
}

// inGrace reports whether lists of an era lack servers that may write themselves again.
func (v *View) inGrace(era mulberryspool.Era) bool { return v.graceEra > 0 && era >= v.graceEra }

// adopt returns a row that is newer than what is known, with what the copy that the row may
// come from lacks.
func (v *View) adopt(b mulberryspool.BackendServer) mulberryspool.BackendServer {
	key := incarnation{b.Instance, b.Born}
	if known, ok := v.servers[b.Instance]; ok && known.Born == b.Born && known.Era < b.Era {
		b.Leaving = b.Leaving || known.Leaving
	}
	at, withheld := v.withheld[key]
	if !v.maybeRemoved(b) || withheld && at.Era == b.Era {
		delete(v.removed, key)
		delete(v.withheld, key)
		return b
	}
	if v.withheld == nil {
		v.withheld = make(map[incarnation]mulberryspool.Position)
	}
	v.withheld[key] = b.Position()
	return b
}

// maybeRemoved reports whether a row may come from the copy of a restored store although its
// incarnation was removed afterwards. Objects of the copy have smaller revisions than the
// removal. One that was written again may have, too, as revisions are given out again. An
// incarnation that was removed because an earlier copy lacked it has no object in the era of its
// removal, so that only a row with the revision of the last known one comes from a copy.
func (v *View) maybeRemoved(b mulberryspool.BackendServer) bool {
	r, ok := v.removed[incarnation{b.Instance, b.Born}]
	if !ok || r.at.Era >= b.Era {
		return false
	}
	if r.changedAt.Era < r.at.Era {
		return b.Revision == r.changedAt.Revision
	}
	return b.Revision <= r.at.Revision
}

// recordRemoved records which servers are about to be removed, as of a position.
func (v *View) recordRemoved(next Servers, at mulberryspool.Position) {
	for id, b := range v.servers {
		if n, ok := next[id]; ok && n.Born == b.Born {
			continue
		}
		if v.removed == nil || len(v.removed) >= maxMarks {
			v.removed = make(map[incarnation]removal)
		}
		v.removed[incarnation{id, b.Born}] = removal{at: at, changedAt: b.Position()}
	}
}

// setServers replaces the servers. It withholds those whose objects have not changed since
// they were withheld.
func (v *View) setServers(servers Servers) {
	v.servers, v.usable = servers, servers
	maps.DeleteFunc(v.withheld, func(key incarnation, at mulberryspool.Position) bool {
		b, ok := servers[key.instance]
		return !ok || b.Born != key.born || b.Position() != at
	})
	if len(v.withheld) == 0 {
		return
	}
	v.usable = maps.Clone(servers)
	for key := range v.withheld {
		b := servers[key.instance]
		b.Leaving = true
		v.usable[key.instance] = b
	}
}

// Release ends the withholding of all servers. It reports whether the servers have changed.
func (v *View) Release() bool {
	if len(v.withheld) == 0 {
		return false
	}
	for key := range v.withheld {
		delete(v.removed, key)
	}
	v.withheld = nil
	v.setServers(v.servers)
	return true
}

// isNewer reports whether a row of a snapshot is newer than what is known of the
// server, or than its removal.
func (v *View) isNewer(b mulberryspool.BackendServer) bool {
	if v.servers == nil {
		return true
	}
	if known, ok := v.servers[b.Instance]; ok {
		// A later incarnation is not replaced by an earlier one from a copy.
		return b.Position().After(known.Position()) && (b.Born == known.Born || !v.maybeRemoved(b))
	}
	return b.Position().After(v.completeAt)
}

// MarkLeaving records that an incarnation of a backend server accepts no new requests
// any more. It reports whether the servers have changed.
func (v *View) MarkLeaving(id mulberryspool.InstanceID, born int64) bool {
	v.mark(id, born)
	if b, ok := v.servers[id]; !ok || b.Leaving || b.Born != born {
		return false
	}
	marked := maps.Clone(v.servers)
	b := marked[id]
	b.Leaving = true
	marked[id] = b
	v.setServers(marked)
	return true
}

// Servers returns the servers in use, including assumed ones; nil if no list is known.
// Servers that are withheld are leaving. The caller must not modify the map.
func (v *View) Servers() Servers {
	return v.usable
}

// Snapshot returns what other processes may merge. The caller must not modify the map.
func (v *View) Snapshot() Snapshot {
	return Snapshot{Servers: v.servers, CompleteAt: v.completeAt, Assumed: v.completeAt != v.exactAt, ExactAt: v.exactAt}
}

// mark records that an incarnation leaves. Without its start, it looks like the next one.
func (v *View) mark(id mulberryspool.InstanceID, born int64) {
	key := incarnation{id, born}
	if _, ok := v.leaving[key]; ok || born == 0 {
		return
	}
	if v.leaving == nil {
		v.leaving = make(map[incarnation]struct{})
	}
	if len(v.marked) == maxMarks {
		delete(v.leaving, v.marked[0])
		v.marked = v.marked[1:]
	}
	v.leaving[key] = struct{}{}
	v.marked = append(v.marked, key)
}

// applyMarks sets Leaving in the servers whose incarnation is known to leave.
func (v *View) applyMarks(servers Servers) bool {
	changed := false
	for id, b := range servers {
		if _, ok := v.leaving[incarnation{id, b.Born}]; ok && !b.Leaving {
			b.Leaving, changed = true, true
			servers[id] = b
		}
	}
	return changed
}
