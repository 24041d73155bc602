package shedding

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type (
	// source offers requests.
	source struct {
		priority  int
		workspace string
		perSecond float64
		// offered and placed count the requests after the first second.
		offered, placed int
		// refused is the number of requests since the last one that was placed, and
		// longestRefused the largest one.
		refused, longestRefused int
	}

	// slots is a supply of slots.
	slots struct {
		perSecond, free float64
	}
)

// run offers the requests of the sources to a pool for some seconds. The supply of slots is
// that of several pools if they share it.
func run(p *Pool, sources []*source, supply *slots, random *rand.Rand, from time.Time, length time.Duration, each func(now time.Time)) {
	const tick = time.Millisecond
	for now := from; now.Before(from.Add(length)); now = now.Add(tick) {
		supply.free = min(supply.free+supply.perSecond*tick.Seconds(), 5)
		for _, s := range sources {
			if random.Float64() >= s.perSecond*tick.Seconds() {
				continue
			}
			verdict := p.Offer(s.priority, s.workspace, now)
			counted := now.Sub(start) >= time.Second
			if counted {
				s.offered++
				s.refused++
			}
			// The first ones in the queue get one of the next slots.
			need := 1.0
			if verdict == AdmitFirst || verdict == AdmitSecond || s.priority == 0 {
				need = -10
			}
			switch {
			case verdict == Reject:
			case supply.free < need:
				p.Refused(s.priority, s.workspace)
			default:
				supply.free--
				p.Placed(s.priority, s.workspace, now)
				if counted {
					s.placed++
					s.refused = 0
				}
			}
			s.longestRefused = max(s.longestRefused, s.refused)
		}
		if each != nil {
			each(now)
		}
	}
}

func (s *source) share() float64 { return float64(s.placed) / float64(s.offered) }

// Guards against a less urgent kind that is served more often than a more urgent one, and
// against one that is not served at all.
func TestLessUrgentRequestsAreRejectedFirst(t *testing.T) {
	const minPart = 0.4
	var p Pool
	sources := []*source{{priority: 0, perSecond: 340}, {priority: 1, perSecond: 400}, {priority: 2, perSecond: 260}}
	run(&p, sources, &slots{perSecond: 500}, rand.New(rand.NewPCG(1, 1)), start, 8*time.Second, nil)
	before := 1.0
	for _, s := range sources {
		t.Logf("priority %d: %.2f are placed", s.priority, s.share())
		if s.share() > before+0.05 || s.share() < minPart*0.5 {
			t.Errorf("%.2f of priority %d are placed, want at most %.2f and at least %.2f", s.share(), s.priority, before+0.05, minPart*0.5)
		}
		before = min(before, s.share())
	}
	if sources[0].share() < 0.85 {
		t.Errorf("%.2f of the most urgent ones are placed although there are slots for all of them", sources[0].share())
	}
}

// Guards against rejections while there are slots for all, in the ordinary fluctuation of the
// load.
func TestNothingIsRejectedWithoutOverload(t *testing.T) {
	var p Pool
	supply := &slots{perSecond: 10_000}
	run(&p, []*source{{priority: 1, perSecond: 300}, {priority: 2, perSecond: 300}}, supply, rand.New(rand.NewPCG(1, 2)), start, 8*time.Second, func(now time.Time) {
		if p.Overloaded(now) {
			t.Fatalf("overloaded after %s with slots for all", now.Sub(start))
		}
	})
}

// Guards against rejections that continue after the overload.
func TestAllAreAdmittedAfterOverload(t *testing.T) {
	var p Pool
	random := rand.New(rand.NewPCG(1, 3))
	sources := []*source{{priority: 0, perSecond: 300}, {priority: 1, perSecond: 300}}
	run(&p, sources, &slots{perSecond: 300}, random, start, 3*time.Second, nil)
	if !p.Overloaded(start.Add(3 * time.Second)) {
		t.Fatal("not overloaded with twice as many requests as slots")
	}
	// Those that are rejected would be admitted by the placement, as slots are free.
	now := start.Add(3 * time.Second)
	for ; p.Overloaded(now) && now.Before(start.Add(6*time.Second)); now = now.Add(2 * time.Millisecond) {
		p.Offer(1, "", now)
		p.Placed(1, "", now)
	}
	if after := now.Sub(start) - 3*time.Second; after > 2*time.Second {
		t.Errorf("still overloaded %s after the end", after)
	}
}

// Guards against workspaces that get nothing for long because others of the same priority send
// much more, or because they send few requests.
func TestEachWorkspaceKeepsFloor(t *testing.T) {
	const minPart = 0.4
	var p Pool
	sources := []*source{{priority: 0, workspace: "urgent", perSecond: 200}, {priority: 1, workspace: "large", perSecond: 700}}
	for i := range 20 {
		sources = append(sources, &source{priority: 1 + i%2, workspace: fmt.Sprint(i), perSecond: 5})
	}
	run(&p, sources, &slots{perSecond: 400}, rand.New(rand.NewPCG(1, 4)), start, 30*time.Second, nil)
	offered, placed := 0, 0
	for _, s := range sources {
		offered, placed = offered+s.offered, placed+s.placed
	}
	mean := float64(placed) / float64(offered)
	for _, s := range sources {
		if s.share() < minPart*mean {
			t.Errorf("%.2f of the %d requests of workspace %s with priority %d are placed, want at least %.2f", s.share(), s.offered, s.workspace, s.priority, minPart*mean)
		}
		if limit := int(2 / (minPart * mean)); s.longestRefused > limit {
			t.Errorf("%d requests of workspace %s in series are refused, want at most %d", s.longestRefused, s.workspace, limit)
		}
	}
}

// Guards against entries that reject other priorities than each other because each sees only a
// part of the load.
func TestEntriesAdmitSameShares(t *testing.T) {
	pools := []*Pool{{}, {}}
	// The first entry gets three times the load of the second, and as many slots.
	loads := [][]*source{
		{{priority: 0, perSecond: 300}, {priority: 1, perSecond: 300}},
		{{priority: 0, perSecond: 100}, {priority: 1, perSecond: 100}},
	}
	random := rand.New(rand.NewPCG(1, 5))
	for step := start; step.Before(start.Add(4 * time.Second)); step = step.Add(200 * time.Millisecond) {
		for i, p := range pools {
			run(p, loads[i], &slots{perSecond: 250}, random, step, 200*time.Millisecond, nil)
		}
		now := step.Add(200 * time.Millisecond)
		for i, p := range pools {
			if report, ok := p.Report(now); ok {
				pools[1-i].SetPeer(fmt.Sprint(i), report, now)
			}
		}
	}
	end := start.Add(4 * time.Second)
	a, b := pools[0].Shares(end), pools[1].Shares(end)
	for i := range a {
		if difference := math.Abs(a[i].Share - b[i].Share); difference > 0.1 {
			t.Errorf("shares of priority %d are %.2f and %.2f", a[i].Priority, a[i].Share, b[i].Share)
		}
	}
	if !pools[1].Overloaded(end) {
		t.Error("the entry with enough slots doesn't know that the pool is overloaded")
	}
}
