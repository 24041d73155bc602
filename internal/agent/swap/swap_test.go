package swap

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

const bound = 8 * time.Second

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func members(n int) []mulberryspool.InstanceID {
	var ids []mulberryspool.InstanceID
	for i := range n {
		ids = append(ids, mulberryspool.InstanceID(fmt.Sprintf("10.0.0.%d", i)))
	}
	return ids
}

func decider(self int) *Decider {
	d := &Decider{Self: members(15)[self], Bound: bound}
	d.SetMembers(members(15))
	return d
}

// ordered returns when an agent orders the version if nothing else happens.
func ordered(t *testing.T, d *Decider, v View, from time.Time) time.Time {
	t.Helper()
	for now := from; now.Before(from.Add(2 * bound)); now = now.Add(20 * time.Millisecond) {
		switch step := d.Next(v, now); step.Action {
		case Lay:
			v.Laid = step.Version
		case Order:
			return now
		}
	}
	t.Fatal("the version is never ordered")
	return time.Time{}
}

// A version is named while the pool is loaded: servers take turns, and all
// turns are within the bound.
func TestServersTakeTurnsWithinBound(t *testing.T) {
	staged := start.Add(3500 * time.Millisecond)
	var turns []time.Duration
	for i := range 15 {
		d := decider(i)
		d.SetNamed(2, start)
		turns = append(turns, ordered(t, d, View{Served: 1, Staged: 2, StagedAt: staged}, staged).Sub(start))
	}
	slices.Sort(turns)
	if last := turns[len(turns)-1]; last > 7*time.Second {
		t.Errorf("the last order is at %v, want at most 7s", last)
	}
	for i := range turns {
		together := 0
		for _, other := range turns {
			if other >= turns[i] && other < turns[i]+time.Second {
				together++
			}
		}
		if together > 6 {
			t.Errorf("%d of 15 servers change within a second after %v", together, turns[i])
		}
	}
}

func TestEmptyServerDoesNotWait(t *testing.T) {
	d := decider(3)
	d.SetNamed(1, start)
	if step := d.Next(View{Staged: 1, StagedAt: start}, start); step.Action != Order || step.Version != 1 {
		t.Errorf("step is %+v, want an order at once", step)
	}
}

func TestEntriesHearBeforeTheOrder(t *testing.T) {
	d := decider(0)
	d.SetMembers(members(1))
	d.SetNamed(2, start)
	v := View{Served: 1, Staged: 2, StagedAt: start}
	if step := d.Next(v, start); step.Action != Lay {
		t.Fatalf("first step is %+v, want the pieces laid", step)
	}
	v.Laid = 2
	if step := d.Next(v, start); step.Action != Announce || !d.Leaving() {
		t.Fatalf("second step is %+v, want the announcement", step)
	}
	if step := d.Next(v, start.Add(announceTime/2)); step.Action != Rest {
		t.Errorf("step before entries have heard is %+v, want rest", step)
	}
	if step := d.Next(v, start.Add(announceTime)); step.Action != Order {
		t.Errorf("step after entries have heard is %+v, want the order", step)
	}
	d.Next(View{Served: 2, Staged: 2, Laid: 2}, start.Add(time.Second))
	if d.Leaving() {
		t.Error("still leaving after the change")
	}
}

// Pieces must not be replaced while an order loads them.
func TestNothingIsLaidWhileLoading(t *testing.T) {
	d := decider(0)
	d.SetNamed(3, start)
	for _, served := range []int64{0, 1} {
		v := View{Served: served, Staged: 3, StagedAt: start, Loading: true, Laid: 2}
		if step := d.Next(v, start.Add(bound)); step.Action != Rest {
			t.Errorf("step while loading with version %d served is %+v, want rest", served, step)
		}
	}
}

// A second version follows so soon that the first need not be served.
func TestPassesOverVersionThatIsReplacedInTime(t *testing.T) {
	d := decider(0)
	d.SetNamed(2, start)
	d.SetNamed(3, start.Add(2*time.Second))
	now := start.Add(4 * time.Second)
	v := View{Served: 1, Staged: 2, StagedAt: now, Laid: 2, Fetching: 3, FetchedShare: 0.4}
	if step := d.Next(v, now); step.Action != Rest {
		t.Errorf("step is %+v, want to wait for version 3", step)
	}
	// The newer version is late, and the served one has to go.
	late := start.Add(7 * time.Second)
	if step := d.Next(v, late); step.Action != Announce || step.Version != 2 {
		t.Errorf("step is %+v, want version 2 after all", step)
	}
}

// The newer version comes too late for the one that is served.
func TestServesVersionInBetween(t *testing.T) {
	d := decider(0)
	d.SetNamed(2, start)
	d.SetNamed(3, start.Add(4*time.Second))
	at := ordered(t, d, View{Served: 1, Staged: 2, StagedAt: start.Add(4 * time.Second), Fetching: 3}, start.Add(4*time.Second))
	if at.Sub(start) > 7*time.Second {
		t.Errorf("version 2 is ordered after %v, want within the bound of version 1", at.Sub(start))
	}
}

func TestEndsTransferThatIsHalfDone(t *testing.T) {
	d := decider(0)
	d.SetNamed(2, start)
	d.SetNamed(3, start.Add(time.Second))
	for share, want := range map[float64]int64{0.2: 3, 0.7: 0} {
		step := d.Next(View{Served: 1, Fetching: 2, FetchedShare: share}, start.Add(time.Second))
		if step.Fetch != want {
			t.Errorf("with %v of version 2 here, version %d is fetched, want %d", share, step.Fetch, want)
		}
	}
}
