package silencesoak

import (
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Guards against schedules of earlier seeds that change as restores are added, so that their
// regression cases show nothing any more.
func TestRestoresKeepOtherEvents(t *testing.T) {
	added := []action{copyStore, away, restore, rewrite, deny, admit, arrive, leave, remove}
	for seed, want := range map[uint64]uint64{1: 0xb0fe8428c0cc5bc6, 2: 0x1be175eb90d44167, 3: 0x6859d3cf7b42206} {
		p := newPlan(seed, 12*time.Second)
		if newPlan(seed, 12*time.Second).String() != p.String() {
			t.Errorf("seed %d has two schedules", seed)
		}
		p.events = slices.DeleteFunc(p.events, func(e event) bool { return slices.Contains(added, e.action) })
		if got := xxhash.Sum64String(p.String()); got != want {
			t.Errorf("seed %d has other events than before, hash %#x, want %#x:\n%s", seed, got, want, p)
		}
	}
}

// Guards against restores that are none: from a copy of the wrong age, or without the writes
// that were lost.
func TestRestoresAreWithinBounds(t *testing.T) {
	followed, kept, refused, removals := 0, 0, 0, 0
	for seed := range uint64(100) {
		var copiedAt []time.Duration
		restoredAt, written := time.Duration(-1), true
		for _, e := range newPlan(seed, 25*time.Second).events {
			switch e.action {
			case copyStore:
				copiedAt = append(copiedAt, e.at)
				if e.target >= len(copiedAt) {
					copiedAt = append(copiedAt, make([]time.Duration, e.target+1-len(copiedAt))...)
				}
				copiedAt[e.target] = e.at
			case restore:
				if age := e.at - copiedAt[e.target]; age < minAge || age > maxAge {
					t.Errorf("seed %d restores a copy of %v", seed, age)
				}
				if !written {
					followed++
				}
				if e.keepWatches {
					kept++
				}
				restoredAt, written = e.at, false
			case rewrite:
				if after := e.at - restoredAt; restoredAt < 0 || after > maxRewrite {
					t.Errorf("seed %d writes again %v after a restore", seed, after)
				}
				written = true
			case deny:
				refused++
			case remove:
				removals++
			}
		}
		if !written {
			t.Errorf("seed %d does not write again what was lost", seed)
		}
	}
	if followed == 0 || kept == 0 || refused == 0 || removals == 0 {
		t.Errorf("100 seeds have %d restores before what was lost is written again, %d that keep watches, %d refused entries and %d removals, want some of each", followed, kept, refused, removals)
	}
}
