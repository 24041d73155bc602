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
	for _, e := range s.Members {
		s.probeEntry(e, hostedsystem.Call{Prefix: hostedsystem.LookupPrefix, Key: keptKey}, 60*time.Millisecond)
		s.probeEntry(e, hostedsystem.Call{Prefix: hostedsystem.ExtraPrefix, Key: keptKey}, 60*time.Millisecond)
		s.probeEntry(e, hostedsystem.Call{Prefix: hostedsystem.LookupPrefix, Key: takenKey}, 60*time.Millisecond)
	}
	// The store answers all watchers at once.
	s.PutConfiguration(s.version)
	s.ListVersion(keptServer, 1)
	time.Sleep(lostBefore)
	end := lose(t, s, watchers)
	defer end()
	lostAt := time.Now()
	time.Sleep(lostBefore / 2)
	s.version, s.ExtraRoute, s.Keys = s.version+1, true, []string{keptKey}
	s.PutConfiguration(s.version)
	s.SetLeaving(leavingServer)
	s.RemoveServer(removedServer)
	s.restoredAt = time.Now()
	inForceAt := s.restoredAt.Add(watchersBound)
	s.roles = []string{"the server that leaves", "the removed server"}
	time.Sleep(time.Until(lostAt.Add(watchersLost)))
	s.endProbes()
	for i, e := range s.Members {
		if slices.Contains(watchers, e) {
			continue
		}
		s.checkConfiguration(i, inForceAt)
		s.checkUnused(e, leavingServer, inForceAt)
		s.checkUnused(e, removedServer, inForceAt)
	}
	s.report(t)
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
