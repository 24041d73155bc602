package namedversion

import (
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// Guards against a version that counts as named after a restore of the store, although it was
// named before it, lost, and named again.
func TestVersionNamedAgainKeepsTimeOfNaming(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	position := func(era mulberryspool.Era, revision mulberryspool.Revision) mulberryspool.Position {
		return mulberryspool.Position{Era: era, Revision: revision}
	}
	// Version 2 is named at 1000 ms. At 2000 ms the store is restored without it, at 2500 ms
	// the version is named again.
	for _, seenBefore := range []bool{true, false} {
		h := History{AssumedAge: 8 * time.Second}
		h.RecordAnswer(at(900), position(1, 20), true)
		if seenBefore {
			h.RecordVersion("m", 2, position(1, 30), at(1050))
		}
		h.RecordAnswer(at(1900), position(1, 40), false)
		h.BeginEra(2, at(2000))
		h.RecordAnswer(at(2100), position(2, 18), true)
		h.RecordAnswer(at(2400), position(2, 24), true)
		h.RecordVersion("m", 2, position(2, 25), at(2600))
		if _, since := h.Newest("m"); !since.Equal(at(900)) {
			t.Errorf("seen before the restore %t: the version counts as named %v after the start, want 900ms", seenBefore, since.Sub(start))
		}
	}
}

// Guards against a report of a peer that started after the restore, and does not know of it.
func TestReportsOfRestoredStoreDoNotDateVersion(t *testing.T) {
	h := History{AssumedAge: 8 * time.Second}
	h.BeginEra(2, start)
	now := start.Add(time.Second)
	h.Merge("peer", "m", Report{Version: 2, Revision: 25, Era: 2, AgeMillis: 300, SeenMillis: 100, UnnamedMillis: 300}, Delay{Known: true}, now)
	if _, since := h.Newest("m"); since.After(start) {
		t.Errorf("the version counts as named %v after the restore, although the store may have lacked it", since.Sub(start))
	}
}

// Guards against a version whose age is not known although it was named long after a restore.
func TestVersionNamedLongAfterRestoreIsDated(t *testing.T) {
	h := History{AssumedAge: 8 * time.Second}
	h.BeginEra(2, start)
	named := start.Add(settleTime + time.Second)
	h.RecordAnswer(named, mulberryspool.Position{Era: 2, Revision: 24}, false)
	h.RecordVersion("m", 2, mulberryspool.Position{Era: 2, Revision: 25}, named.Add(200*time.Millisecond))
	if _, since := h.Newest("m"); !since.Equal(named) {
		t.Errorf("the version counts as named %v late, want 0", since.Sub(named))
	}
}
