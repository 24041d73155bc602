package evacuation

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

const maxAge = 2 * time.Second

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func position(era mulberryspool.Era, revision mulberryspool.Revision) mulberryspool.Position {
	return mulberryspool.Position{Era: era, Revision: revision}
}

// Guards against a begun or revoked evacuation that an older report undoes, in whatever order the
// store and peers deliver them, also around a restore, which gives revisions out again.
func TestLaterPositionIsInForce(t *testing.T) {
	sets := []struct {
		at      mulberryspool.Position
		domains []string
	}{
		{position(1, 10), nil},
		{position(1, 20), []string{"a"}},
		{position(1, 30), []string{"a", "b"}},
		{position(1, 40), []string{"b"}},
		// The copy lacks the evacuation of b; then c is evacuated.
		{position(2, 15), []string{"a"}},
		{position(2, 30), []string{"a", "c"}},
	}
	var permute func(order, rest []int)
	permute = func(order, rest []int) {
		for i, next := range rest {
			permute(append(slices.Clone(order), next), slices.Delete(slices.Clone(rest), i, i+1))
		}
		if len(order) == 0 {
			return
		}
		var v View
		applied := map[string]bool{}
		newest := 0
		for n, i := range order {
			var changes []Change
			if n%2 == 0 {
				changes = v.Replace(sets[i].domains, sets[i].at, start)
			} else {
				changes = v.Merge(Report{Era: sets[i].at.Era, Revision: sets[i].at.Revision, Domains: sets[i].domains}, 0, start)
			}
			for _, c := range changes {
				applied[c.Domain] = c.Evacuated
			}
			newest = max(newest, i)
			if !slices.Equal(v.Domains(), sets[newest].domains) {
				t.Fatalf("order %v: %v after %d, want %v", order, v.Domains(), n, sets[newest].domains)
			}
		}
		for domain, evacuated := range applied {
			if evacuated != slices.Contains(v.Domains(), domain) {
				t.Fatalf("order %v: changes say %v, in force are %v", order, applied, v.Domains())
			}
		}
	}
	permute(nil, []int{0, 1, 2, 3, 4, 5})
}

// Guards against a process that sends requests by what it knew before it was suspended or, at its
// start, by the old report of a peer, and against one that never sends because the store answers
// none.
func TestOldSetIsNotUsedAfterSuspension(t *testing.T) {
	v := View{MaxAge: maxAge}
	now := start
	run := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
			v.Tick(now)
		}
	}
	check := func(want bool, when string) {
		t.Helper()
		if got := v.Ready(now); got != want {
			t.Errorf("ready is %t %s, want %t", got, when, want)
		}
	}
	v.Tick(now)
	check(false, "before anything is known")
	v.Merge(Report{Revision: 5, AgeMillis: 4000}, 0, now)
	check(false, "by an old report at the start")
	v.Merge(Report{Revision: 6, AgeMillis: 100}, 3*time.Second, now)
	check(false, "by a report that was delayed")
	v.Merge(Report{Revision: 7, AgeMillis: 500}, 0, now)
	check(true, "by a fresh report")
	run(10 * time.Second)
	check(true, "while nothing confirms what is known")
	now = now.Add(3 * time.Second)
	check(false, "after a suspension, before the next tick")
	run(maxAge - 300*time.Millisecond)
	check(false, "shortly after a suspension")
	run(600 * time.Millisecond)
	check(true, "if nothing confirms what is known for long")
	now = now.Add(3 * time.Second)
	v.Replace(nil, position(0, 7), now.Add(-time.Second))
	v.Tick(now)
	check(true, "once the same set is confirmed")
}

// Guards against reports that grow without bound with what other writers put into the store, and
// against one that lacks a failure domain of this system because of them.
func TestDomainsAreBounded(t *testing.T) {
	var many []string
	for i := range 500 {
		many = append(many, "other-"+strconv.Itoa(i))
	}
	many = append(many, "zone", "zone")
	got := Bound(many, func(domain string) bool { return domain == "zone" })
	if len(got) != maxDomains || !slices.Contains(got, "zone") || !slices.IsSorted(got) {
		t.Errorf("%d domains %v", len(got), got)
	}
	if got, want := Bound([]string{"b", "a", "b"}, nil), []string{"a", "b"}; !reflect.DeepEqual(got, want) {
		t.Errorf("domains are %v, want %v", got, want)
	}
	var v View
	v.Replace([]string{"a"}, position(1, 1), start)
	for _, invalid := range []Report{{Revision: 9, Era: 1, Domains: many}, {Revision: 9, Era: 1, Domains: []string{fmt.Sprintf("%0300d", 1)}}, {Revision: 9, Era: 1, AgeMillis: -1}} {
		if v.Merge(invalid, 0, start); !reflect.DeepEqual(v.Domains(), []string{"a"}) {
			t.Errorf("in force are %v after an invalid report", v.Domains())
		}
	}
}
