package namedversion

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberryspool/mulberryspool"
)

// firstNewer returns when the first version that is newer than the served one was named, by what
// a process knows.
func firstNewer(h *History, served int64) time.Time {
	var first time.Time
	for number, since := range h.Since("m") {
		if number > served && (first.IsZero() || since.Before(first)) {
			first = since
		}
	}
	return first
}

const bound = 10 * time.Second

// Guards against requests on an old version whose bound has ended, at a process that started
// after several newer versions were named: the first of them decides.
func TestFirstNewerVersionIsKnownAfterRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newest := rapid.Int64Range(2, 100).Draw(t, "newest")
		maxInterval := rapid.SampledFrom([]int{300, 3000}).Draw(t, "longest interval")
		startsAfter := rapid.Int64Range(1, newest).Draw(t, "starts after version")
		names := []string{"kept", "restarted", "late"}
		processes := map[string]*History{}
		for _, name := range names {
			processes[name] = &History{AssumedAge: 8 * time.Second, Bound: bound}
		}
		named := map[int64]time.Time{}
		now := start
		for version := int64(2); version <= newest; version++ {
			now = now.Add(time.Duration(rapid.IntRange(50, maxInterval).Draw(t, "interval")) * time.Millisecond)
			named[version] = now
			at := mulberryspool.Position{Revision: mulberryspool.Revision(10 * version)}
			for _, name := range names {
				if name == "restarted" && version <= startsAfter || name == "late" && version < newest {
					continue
				}
				h := processes[name]
				if name != "late" {
					h.RecordAnswer(now.Add(-time.Millisecond), mulberryspool.Position{Revision: at.Revision - 1}, false)
				}
				h.RecordVersion("m", version, at, now)
			}
			exchangeReports(t, processes, names, now)
		}
		now = now.Add(100 * time.Millisecond)
		exchangeReports(t, processes, names, now)
		exchangeReports(t, processes, names, now)
		for _, name := range names {
			for served := int64(1); served < newest; served++ {
				got := firstNewer(processes[name], served)
				if late := got.Sub(named[served+1]); late > 0 && now.Before(got.Add(bound)) {
					t.Errorf("%s: of versions up to %d, the bound of version %d counts from %v after the next one was named", name, newest, served, late)
				}
				if early := named[served+1].Sub(got); early > 2*time.Millisecond && newest <= maxVersions {
					t.Errorf("%s: of versions up to %d, the bound of version %d counts from %v before the next one was named", name, newest, served, early)
				}
			}
		}
	})
}

// Guards against a version that is served for long and goes out of use at once when several newer
// ones are named in a row, because they count as named when one before it was.
func TestVersionsNamedInARowLeaveServedVersionInUse(t *testing.T) {
	h := History{AssumedAge: 8 * time.Second, Bound: bound}
	name := func(number int64, at time.Time) {
		h.RecordAnswer(at.Add(-time.Millisecond), mulberryspool.Position{Revision: mulberryspool.Revision(10*number - 1)}, false)
		h.RecordVersion("m", number, mulberryspool.Position{Revision: mulberryspool.Revision(10 * number)}, at)
	}
	now := start
	for number := range int64(5) {
		now = now.Add(time.Hour)
		name(number+1, now)
	}
	now = now.Add(time.Hour)
	first := now
	for number := int64(6); number <= 25; number++ {
		name(number, now)
		now = now.Add(500 * time.Millisecond)
	}
	if got := firstNewer(&h, 5); !got.Equal(first.Add(-time.Millisecond)) {
		t.Errorf("the bound of the served version counts from %v before the first newer one was named", first.Sub(got))
	}
}

// exchangeReports delivers the reports of each process to the others, in any order.
func exchangeReports(t *rapid.T, processes map[string]*History, names []string, now time.Time) {
	for _, sender := range rapid.Permutation(names).Draw(t, "senders") {
		reports := slices.Clone(processes[sender].Reports(now)["m"])
		for _, r := range rapid.Permutation(reports).Draw(t, "order") {
			for _, receiver := range names {
				if receiver != sender {
					processes[receiver].Merge(sender, "m", r, Delay{Known: true}, now)
				}
			}
		}
	}
}
