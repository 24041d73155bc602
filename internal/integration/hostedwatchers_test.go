package integration

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/platform/configwatch"
	"github.com/mulberryspool/mulberryspool/internal/testkit/hostedsystem"
)

const (
	// watchersBound is how long after its acknowledgement a change of the configuration must be in
	// force, and a server that leaves must get no more requests.
	watchersBound = 2 * time.Second
	// watchersSettle is how long after its start a system has more watchers than in calm operation.
	watchersSettle = 6 * time.Second
	// watchersAnnounce is how long a watcher takes to announce a change.
	watchersAnnounce = 300 * time.Millisecond
	// watchersLost is how long watchers are lost.
	watchersLost = 3500 * time.Millisecond
)

// watchersLoss makes entries lose the store, or stop, until the function that it returns is called.
type watchersLoss func(t *testing.T, s *restoredSystem, watchers []*hostedsystem.Entry) (end func())

// Guards against a key that is accepted, or a server that gets requests, after the bound of its
// removal at undisturbed entries, because those that watch the store for them get no answers from
// it, are refused by it or are paused.
func TestChangesAreInForceWithoutWatchers(t *testing.T) {
	t.Parallel()
	runConcurrently(t, map[string]watchersLoss{
		"no path to the store": func(_ *testing.T, s *restoredSystem, watchers []*hostedsystem.Entry) func() {
			return s.Partition(watchers...)
		},
		"store refuses them": func(_ *testing.T, s *restoredSystem, watchers []*hostedsystem.Entry) func() {
			s.RefuseEntries(watchers...)
			return func() { s.RefuseEntries() }
		},
		"paused": func(t *testing.T, _ *restoredSystem, watchers []*hostedsystem.Entry) func() {
			for _, e := range watchers {
				e.Process.Freeze(t)
			}
			return func() {
				for _, e := range watchers {
					_ = e.Process.Signal(syscall.SIGCONT)
				}
			}
		},
	}, checkWatchersLoss)
}

func checkWatchersLoss(t *testing.T, lose watchersLoss) {
	s := startRestored(t, restoreMode{}, &hostedsystem.System{
		Backends: 4, Entries: 8, EntryDomains: []string{"a", "b", "a", "c"}, Keys: []string{keptKey, takenKey},
	})
	time.Sleep(watchersSettle)
	watchers := watchersOf(s.Members)
	s.probeChanges()
	// The store answers all watchers at once.
	s.PutConfiguration(s.version)
	s.ListVersion(keptServer, 1)
	time.Sleep(lostBefore)
	end := lose(t, s, watchers)
	defer end()
	lostAt := time.Now()
	time.Sleep(lostBefore / 2)
	inForceAt := s.change().Add(watchersBound)
	time.Sleep(time.Until(lostAt.Add(watchersLost)))
	s.endProbes()
	s.checkChange(inForceAt, watchers...)
	s.report(t)
}

// Guards against a key that is accepted, or a server that gets requests, after the bound of its
// removal at an entry that the store answers, because the watcher of its failure domain has lost
// the store, and the peer that it reads the change from instead is paused before the read.
func TestChangesAreInForceWhilePeerIsSilent(t *testing.T) {
	t.Parallel()
	const lostDomain, pausedDomain = "b", "a"
	s := startRestored(t, restoreMode{}, &hostedsystem.System{
		Backends: 4, Entries: 8, EntryDomains: []string{pausedDomain, lostDomain, "c", "d"}, Keys: []string{keptKey, takenKey},
	})
	time.Sleep(watchersSettle)
	watchers := watchersOf(s.Members)
	s.probeChanges()
	in := func(domain string) *hostedsystem.Entry {
		return watchers[slices.IndexFunc(watchers, func(e *hostedsystem.Entry) bool { return e.FailureDomain == domain })]
	}
	lost, paused := in(lostDomain), in(pausedDomain)
	defer s.Partition(lost)()
	// The watcher that is paused has the change first.
	endDelay := s.Partition(in("c"), in("d"))
	inForceAt := s.change().Add(watchersBound)
	time.Sleep(watchersAnnounce)
	endDelay()
	paused.Process.Freeze(t)
	defer func() { _ = paused.Process.Signal(syscall.SIGCONT) }()
	time.Sleep(time.Until(s.restoredAt.Add(watchersLost)))
	s.endProbes()
	s.checkChange(inForceAt, lost, paused)
	s.report(t)
}

// probeChanges sends requests that show the changes of change.
func (s *restoredSystem) probeChanges() {
	for _, e := range s.Members {
		s.probeEntry(e, hostedsystem.Call{Prefix: hostedsystem.LookupPrefix, Key: keptKey}, 60*time.Millisecond)
		s.probeEntry(e, hostedsystem.Call{Prefix: hostedsystem.ExtraPrefix, Key: keptKey}, 60*time.Millisecond)
		s.probeEntry(e, hostedsystem.Call{Prefix: hostedsystem.LookupPrefix, Key: takenKey}, 60*time.Millisecond)
	}
}

// change adds a route, takes a key away, and makes a server leave and another one disappear. It
// returns the time of the acknowledgement.
func (s *restoredSystem) change() time.Time {
	s.version, s.ExtraRoute, s.Keys = s.version+1, true, []string{keptKey}
	s.PutConfiguration(s.version)
	s.SetLeaving(leavingServer)
	s.RemoveServer(removedServer)
	s.roles = []string{"the server that leaves", "the removed server"}
	s.restoredAt = time.Now()
	return s.restoredAt
}

// checkChange checks that a change is in force from a time on, except at disturbed entries.
func (s *restoredSystem) checkChange(inForceAt time.Time, disturbed ...*hostedsystem.Entry) {
	for i, e := range s.Members {
		if slices.Contains(disturbed, e) {
			continue
		}
		s.checkConfiguration(i, inForceAt)
		s.checkUnused(e, leavingServer, inForceAt)
		s.checkUnused(e, removedServer, inForceAt)
	}
}

// watchersOf returns the entries that watch the configuration in calm operation.
func watchersOf(entries []*hostedsystem.Entry) []*hostedsystem.Entry {
	now := time.Now()
	return slices.DeleteFunc(slices.Clone(entries), func(e *hostedsystem.Entry) bool {
		election := configwatch.Election{Self: e.Registration, FailureDomain: e.FailureDomain}
		for _, other := range entries {
			if other != e {
				election.Record(other.Registration, other.FailureDomain, 0, now)
			}
		}
		return !election.Watches(now)
	})
}
