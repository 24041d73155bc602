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
// earlier ones.
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
	}

	// View is a process's knowledge of the backend servers. It does no I/O, and is not
	// safe for concurrent use.
	View struct {
		servers Servers
		// completeAt is the position as of which no server is missing.
		completeAt mulberryspool.Position
		// exactAt is the position as of which, in addition, no server was removed.
		exactAt mulberryspool.Position
		// leaving holds the incarnations that are known to leave.
		leaving map[incarnation]struct{}
		// marked holds the keys of leaving, the first marked first.
		marked []incarnation
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
		if _, listed := s.Servers[id]; listed || known.Position().After(s.CompleteAt) {
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
			merged[id], changed = b, true
		}
		ordered = ordered && b.Revision > 0
	}
	if v.applyMarks(merged) {
		changed = true
	}
	v.servers = merged
	if !ordered {
		// A peer of an earlier build sends no revisions, so that rows of its list may be
		// missing here.
		return changed
	}
	if s.CompleteAt.After(v.completeAt) {
		v.completeAt = s.CompleteAt
	}
	if !s.Assumed && s.CompleteAt.After(v.exactAt) {
		v.exactAt = s.CompleteAt
	}
	return changed
}

// isNewer reports whether a row of a snapshot is newer than what is known of the
// server, or than its removal.
func (v *View) isNewer(b mulberryspool.BackendServer) bool {
	if v.servers == nil {
		return true
	}
	if known, ok := v.servers[b.Instance]; ok {
		return b.Position().After(known.Position())
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
	v.servers = marked
	return true
}

// Servers returns the servers in use, including assumed ones; nil if no list is known.
// The caller must not modify the map.
func (v *View) Servers() Servers {
	return v.servers
}

// Snapshot returns what other processes may merge. The caller must not modify the map.
func (v *View) Snapshot() Snapshot {
	return Snapshot{Servers: v.servers, CompleteAt: v.exactAt}
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
