package namedversion

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberryspool/mulberryspool"
)

// process is a process with what its scheduler was told.
type process struct {
	h       *History
	told    map[int64]time.Time
	changes int
}

func newProcess(assumed time.Duration) *process {
	return &process{h: &History{AssumedAge: assumed, Bound: bound}, told: map[int64]time.Time{}}
}

func (p *process) apply(c Change, ok bool) {
	if ok {
		p.told[c.Version] = c.Since
		p.changes++
	}
}

func (p *process) firstNewer(served int64) time.Time {
	var first time.Time
	for number, since := range p.told {
		if number > served && (first.IsZero() || since.Before(first)) {
			first = since
		}
	}
	return first
}

// Guards against late bounds and endless changes, whatever the order of versions, restarts and
// reports. One entry is never restarted; an agent has no assumed age.
func TestBoundsHoldInAnyOrderOfReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"kept", "entry", "agent"}
		assumed := map[string]time.Duration{"kept": 8 * time.Second, "entry": 8 * time.Second}
		ps := map[string]*process{}
		for _, n := range names {
			ps[n] = newProcess(assumed[n])
		}
		now := start
		named := map[int64]time.Time{}
		newest := int64(1)
		maxStep := rapid.SampledFrom([]int{100, 600, 3000, 9000}).Draw(t, "max step")
		exchange := func(sender, receiver string) {
			if sender == receiver {
				return
			}
			for _, r := range ps[sender].h.Reports(now)["m"] {
				c, ok := ps[receiver].h.Merge(sender, "m", r, Delay{Known: true}, now.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "latency"))*time.Millisecond))
				ps[receiver].apply(c, ok)
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(10, maxStep).Draw(t, "step")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1, 2:
				newest++
				named[newest] = now
				at := mulberryspool.Position{Revision: mulberryspool.Revision(10 * newest)}
				for _, n := range names {
					if n != "kept" && rapid.Bool().Draw(t, "misses it") {
						continue
					}
					h := ps[n].h
					if n == "kept" || rapid.Bool().Draw(t, "had an answer") {
						h.RecordAnswer(now.Add(-time.Millisecond), mulberryspool.Position{Revision: at.Revision - 1}, false)
					}
					c, ok := h.RecordVersion("m", newest, at, now)
					ps[n].apply(c, ok)
				}
			case 3:
				n := rapid.SampledFrom(names[1:]).Draw(t, "restarts")
				ps[n] = newProcess(assumed[n])
			case 4:
				exchange(rapid.SampledFrom(names).Draw(t, "from"), rapid.SampledFrom(names).Draw(t, "to"))
			}
			// Each entry hears from the one that was not restarted; the agent may come first.
			if rapid.Bool().Draw(t, "agent first") {
				exchange("agent", "entry")
			}
			exchange("kept", "entry")
			for _, n := range names[:2] {
				for served := max(1, newest-150); served < newest; served++ {
					got := ps[n].firstNewer(served)
					if late := got.Sub(named[served+1]); late > 10*time.Millisecond && now.Add(10*time.Millisecond).Before(got.Add(bound)) {
						t.Fatalf("%s: the bound of version %d of %d counts from %v late", n, served, newest, late)
					}
				}
			}
		}
		for range 5 {
			for _, s := range names {
				for _, r := range names {
					exchange(s, r)
				}
			}
		}
		for _, n := range names {
			ps[n].changes = 0
		}
		for range 30 {
			now = now.Add(100 * time.Millisecond)
			for _, s := range names {
				for _, r := range names {
					exchange(s, r)
				}
			}
		}
		for _, n := range names {
			if ps[n].changes > 20 {
				t.Fatalf("%s: %d changes although nothing changes", n, ps[n].changes)
			}
			if k := len(ps[n].h.Reports(now.Add(bound))["m"]); k > 1 {
				t.Fatalf("%s: %d reports after all bounds", n, k)
			}
		}
	})
}
