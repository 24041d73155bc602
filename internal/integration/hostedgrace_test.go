package integration

import (
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/testkit/hostedsystem"
)

// Guards against entries that stop using a server which the copy lacks, within its grace period,
// because an entry that starts beside the restore reports its first list as exact.
func TestStartedEntryLeavesServersThatCopyLacksInUse(t *testing.T) {
	t.Parallel()
	runConcurrently(t, map[string]bool{"an entry starts": true, "no entry starts": false}, func(t *testing.T, starts bool) {
		s := startRestored(t, restoreMode{lost: 60, revisions: behind}, &hostedsystem.System{Backends: 2, Entries: 2})
		s.probe(hostedsystem.Call{Prefix: hostedsystem.LookupPrefix}, 20*time.Millisecond)
		s.copied = s.Store.Copy()
		added := s.AddServer(t)
		time.Sleep(knownBefore)
		s.restore(t, func() {
			if starts {
				s.RefuseEntries(s.AddEntry(t))
				time.Sleep(300 * time.Millisecond)
			}
		}, func() {}, func() {})
		// The grace period lasts for 2 s from the first answer on.
		until := s.restoredAt.Add(1900 * time.Millisecond)
		time.Sleep(time.Until(until))
		s.endProbes()
		for _, from := range []time.Duration{100, 400, 700, 1000, 1300, 1600} {
			s.checkUsedByAny(added, s.restoredAt.Add(from*time.Millisecond), s.restoredAt.Add((from+300)*time.Millisecond))
		}
		s.report(t)
	})
}
