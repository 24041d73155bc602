package integration

import (
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/standin/kindstore"
	"github.com/mulberryspool/mulberryspool/internal/testkit/hostedsystem"
	"github.com/mulberryspool/mulberryspool/platform"
)

const (
	// evacuationBound is how long after its acknowledgement an evacuation, or its end, must be in
	// force.
	evacuationBound = 5 * time.Second
	// evacuationHeld is how long an evacuation is observed after its bound.
	evacuationHeld = 1500 * time.Millisecond
	// waitingAtPaused is the number of requests that wait for a paused entry.
	waitingAtPaused = 60
	// evacuationStoreDelay is the delay of a slow store, a quarter of the bound.
	evacuationStoreDelay = evacuationBound / 4
	// pausedBefore is how long before an evacuation an entry is paused. Its watch has ended, and
	// its queue of datagrams is full of older ones.
	pausedBefore = 4 * time.Second
	// keptDomain and evacuatedDomain are the failure domains of the servers with even and with odd
	// indexes. The entries are in another one, so that they use both alike.
	keptDomain, evacuatedDomain = "b", "c"
)

// evacuationCase is what happens beside an evacuation and its end.
type evacuationCase struct {
	// refused is set if the store refuses all but the first entry at the begin, and all but the last
	// one at the end.
	refused bool
	// slow is set if all answers of the store are late from before the begin on.
	slow bool
	// compacted is set if the store drops its history before each change.
	compacted bool
	// paused is set if the last entry is paused before the begin until after the bound.
	paused bool
	// started is set if an entry starts after the begin, to which the store shows no evacuations.
	started bool
}

// Guards against an entry that sends requests to an evacuated failure domain after its bound, or
// none after the end of the evacuation: one that the store refuses, that starts in the meantime,
// that was suspended, or whose watch has lost its history.
func TestEvacuationIsInForceAtAllEntries(t *testing.T) {
	t.Parallel()
	runConcurrently(t, map[string]evacuationCase{
		"store refuses entries": {refused: true},
		"history is lost":       {compacted: true},
		"store is slow":         {slow: true},
		"entry is suspended":    {paused: true},
		"entry starts":          {started: true},
	}, checkEvacuation)
}

func checkEvacuation(t *testing.T, c evacuationCase) {
	call := hostedsystem.Call{Prefix: hostedsystem.LookupPrefix}
	s := startEvacuated(t, 3)
	s.probe(call, 40*time.Millisecond)
	time.Sleep(time.Second)
	last := s.Members[len(s.Members)-1]
	prepare := func(refused []*hostedsystem.Entry) {
		if c.refused {
			s.RefuseEntries(refused...)
			time.Sleep(lostBefore)
		}
		if c.slow {
			s.SlowStore(evacuationStoreDelay)
			time.Sleep(2 * evacuationStoreDelay)
		}
		if c.compacted {
			s.Store.Compact()
		}
	}
	prepare(s.Members[1:])
	if c.paused {
		last.Process.Freeze(t)
		time.Sleep(pausedBefore)
	}
	s.Evacuate(evacuatedDomain)
	begunAt := time.Now()
	// Faults are reported with the time since the evacuation.
	s.restoredAt = begunAt
	if c.started {
		started := s.AddEntry(t)
		s.Store.SetRefuse(func(r *http.Request) bool {
			return r.Host == started.StoreAddress && strings.Contains(r.URL.Path, "/"+platform.KindEvacuations)
		})
		s.probeEntry(started, call, 40*time.Millisecond)
	}
	time.Sleep(time.Until(begunAt.Add(evacuationBound + 200*time.Millisecond)))
	if c.paused {
		s.sendToPaused(last, call)
		_ = last.Process.Signal(syscall.SIGCONT)
	}
	time.Sleep(evacuationHeld)
	prepare(s.Members[:2])
	endedAt := time.Now()
	s.Revoke(evacuatedDomain)
	time.Sleep(time.Until(endedAt.Add(evacuationBound + maxUnused + evacuationHeld)))
	s.endProbes()
	s.checkUsedByAny(1, begunAt.Add(-time.Second), begunAt)
	for _, e := range s.Members {
		s.checkEvacuated(e, begunAt.Add(evacuationBound), endedAt)
		s.checkUsed(e, 0, begunAt.Add(evacuationBound))
		s.checkUsed(e, 1, endedAt.Add(evacuationBound))
	}
	s.report(t)
}

// startEvacuated starts a system with a server in each failure domain.
func startEvacuated(t *testing.T, entries int) *restoredSystem {
	t.Helper()
	s := startRestored(t, restoreMode{revisions: behind}, &hostedsystem.System{
		Backends: 2, Entries: entries, Domains: []string{keptDomain, evacuatedDomain}, Evacuation: evacuationBound,
	})
	return s
}

// sendToPaused sends requests to a paused entry, which it finds as soon as it runs again.
func (s *restoredSystem) sendToPaused(e *hostedsystem.Entry, call hostedsystem.Call) {
	caller := hostedsystem.NewCaller(restoreTimeout, true)
	s.callers = append(s.callers, caller)
	call.URL = e.URL
	for range waitingAtPaused {
		caller.Go(call)
	}
	time.Sleep(lostBefore)
}

// checkEvacuated checks that no request of an entry reaches the evacuated failure domain in a span
// of time.
func (s *restoredSystem) checkEvacuated(e *hostedsystem.Entry, from, until time.Time) {
	for _, at := range s.requests(e, 1) {
		if at.After(from) && at.Before(until) {
			s.fail("sends requests to the evacuated failure domain", slices.Index(s.Members, e), at, at.Sub(from).String()+" after the bound")
		}
	}
}

// restoredEvacuation is an evacuation around a restore of the store.
type restoredEvacuation struct {
	// begunBefore is set if the evacuation began before the copy, endedBefore if it ended between
	// the copy and the restore.
	begunBefore, endedBefore bool
	// again is set if the lost evacuation begins again after the restore.
	again bool
	// refused is set if the store refuses the last entry from before the restore on.
	refused bool
}

// Guards against an entry that goes by what the store had before it was restored: an evacuation
// that the copy lacks stays in force, one that was revoked after the copy is not in force again, or
// one that begins after the restore, at a revision that was given out before, is ignored.
func TestEvacuationsFollowRestoredStore(t *testing.T) {
	t.Parallel()
	runConcurrently(t, map[string]restoredEvacuation{
		"copy lacks evacuation":             {},
		"copy lacks evacuation, refused":    {refused: true},
		"lost evacuation begins again":      {again: true, refused: true},
		"copy has ended evacuation":         {begunBefore: true, endedBefore: true},
		"copy has ended evacuation,refused": {begunBefore: true, endedBefore: true, refused: true},
	}, checkRestoredEvacuation)
}

func checkRestoredEvacuation(t *testing.T, c restoredEvacuation) {
	s := startEvacuated(t, 3)
	s.probe(hostedsystem.Call{Prefix: hostedsystem.LookupPrefix}, 40*time.Millisecond)
	if !c.begunBefore {
		s.copied = s.Store.Copy()
	}
	s.Evacuate(evacuatedDomain)
	begunAt := time.Now()
	if c.begunBefore {
		s.copied = s.Store.Copy()
	}
	time.Sleep(evacuationBound + 500*time.Millisecond)
	endedAt := time.Now()
	if c.endedBefore {
		s.Revoke(evacuatedDomain)
		time.Sleep(evacuationBound + maxUnused + 500*time.Millisecond)
	}
	var refused []*hostedsystem.Entry
	if c.refused {
		refused = append(refused, s.Members[len(s.Members)-1])
		s.RefuseEntries(refused...)
	}
	if !c.endedBefore {
		endedAt = time.Now()
	}
	s.Store.Restore(s.copied, kindstore.RestoreOptions{})
	s.restoredAt = time.Now()
	if c.again {
		s.Evacuate(evacuatedDomain)
	}
	time.Sleep(evacuationBound + maxUnused + evacuationHeld)
	s.endProbes()
	for _, e := range s.Members {
		s.checkEvacuated(e, begunAt.Add(evacuationBound), endedAt)
		switch {
		case c.again || c.begunBefore:
			s.checkEvacuated(e, s.restoredAt.Add(evacuationBound), s.stoppedAt)
		default:
			s.checkUsed(e, 1, s.restoredAt.Add(evacuationBound))
		}
		if c.endedBefore {
			s.checkUsedUntil(e, 1, endedAt.Add(evacuationBound), s.restoredAt)
		}
	}
	s.report(t)
}

// checkUsedUntil checks that a request of an entry reaches a server in a span of time, if enough
// reach the other one.
func (s *restoredSystem) checkUsedUntil(e *hostedsystem.Entry, server int, from, until time.Time) {
	within := func(i int) int {
		return len(slices.DeleteFunc(s.requests(e, i), func(at time.Time) bool { return at.Before(from) || at.After(until) }))
	}
	if within(server) == 0 && within(1-server) > maxOthers/2 {
		s.fail("does not use "+s.role(server), slices.Index(s.Members, e), from, "no request until the restore")
	}
}
