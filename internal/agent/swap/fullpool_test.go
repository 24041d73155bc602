package swap

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

type (
	// fullPool is a pool whose servers are all busy while a version is named.
	fullPool struct {
		servers  int
		bound    time.Duration
		copyTime time.Duration
		// originTime is how long a copy takes on the origin's link.
		originTime time.Duration
		// No chunk arrives between stallFrom and stallTo; zero for no stall.
		stallFrom, stallTo time.Duration
		// newerAt is when version 3 is named, which can't be read; zero for never.
		newerAt time.Duration
	}

	fullServer struct {
		*Decider
		view View
		// late is how much later than others its copy arrives.
		late time.Duration
		// slotEnds are the ends of the running requests.
		slotEnds []time.Duration
		stagedAt time.Duration
		loadedAt time.Duration
	}

	poolResult struct {
		first, half, last time.Duration
		// firstCopy is when the first agent had the copy.
		firstCopy time.Duration
		// lowest is the smallest share of slots in use over two seconds.
		lowest float64
		// drained is the largest number of servers that are drained once the transfers of
		// all agents have stalled for stalledAfter.
		drained int
	}
)

const (
	slots     = 8
	loadLasts = 300 * time.Millisecond
	step      = 20 * time.Millisecond
	// maxLate is how much later than the first agents the last one gets chunks.
	maxLate = 300 * time.Millisecond
)

// transferred returns the share of a copy that an agent has, as a transfer to all agents
// went in the replay of internal/role/hosted, in which copies took 1.7 times as long as on
// the link.
func (p fullPool) transferred(at time.Duration) float64 {
	if p.stallTo > 0 && at > p.stallFrom {
		at = max(p.stallFrom, at-(p.stallTo-p.stallFrom))
	}
	points := [][2]float64{{0.2, 0}, {0.4, 0.06}, {0.5, 0.13}, {0.75, 0.3}, {1, 0.48}, {1.25, 0.66}, {1.5, 0.84}, {1.72, 1}}
	x := at.Seconds() / p.copyTime.Seconds()
	for i := 1; i < len(points); i++ {
		if a, b := points[i-1], points[i]; x < b[0] {
			return max(0, a[1]+(b[1]-a[1])*(x-a[0])/(b[0]-a[0]))
		}
	}
	return 1
}

// swap replays the naming of version 2. Requests take 0.6 to 4 s, so that those of a full
// server end 2.4 to 4 s after it drains.
func (p fullPool) swap(seed uint64) poolResult {
	random := rand.New(rand.NewPCG(seed, 1))
	length := func() time.Duration {
		return 600*time.Millisecond + time.Duration(random.Int64N(int64(3400*time.Millisecond)))
	}
	var ids []mulberryspool.InstanceID
	for i := range p.servers {
		ids = append(ids, mulberryspool.InstanceID(fmt.Sprintf("10.%d.0.%d", seed, i)))
	}
	var servers []*fullServer
	for _, id := range ids {
		d := &Decider{Self: id, Bound: p.bound, CopyTime: p.copyTime, OriginTime: p.originTime}
		d.SetMembers(ids)
		d.SetNamedVersion(2, namedTime)
		s := &fullServer{Decider: d, view: View{Served: 1, Fetching: 2, FetchBegan: namedTime.Add(200 * time.Millisecond)}, late: time.Duration(random.Int64N(int64(maxLate)))}
		for range slots {
			s.slotEnds = append(s.slotEnds, time.Duration(random.Float64()*float64(length())))
		}
		servers = append(servers, s)
	}
	result := poolResult{lowest: 1}
	var used []float64
	for now := time.Duration(0); now < 2*p.bound+10*time.Second; now += step {
		running, drained := 0, 0
		for _, s := range servers {
			running += s.advance(p, now, length)
			if s.Draining() {
				drained++
			}
		}
		if now > p.stallFrom+maxLate+stalledAfter+step && now < p.stallTo {
			result.drained = max(result.drained, drained)
		}
		used = append(used, float64(running)/float64(p.servers*slots))
	}
	window := int(2 * time.Second / step)
	for i := range len(used) - window {
		sum := 0.0
		for _, u := range used[i : i+window] {
			sum += u
		}
		result.lowest = min(result.lowest, sum/float64(window))
	}
	var times, copies []time.Duration
	for _, s := range servers {
		times, copies = append(times, s.loadedAt), append(copies, s.stagedAt)
	}
	slices.Sort(times)
	result.firstCopy = slices.Min(copies)
	result.first, result.half, result.last = times[0], times[len(times)/2], times[len(times)-1]
	return result
}

// advance lets a server and its agent act, and returns the number of running requests.
func (s *fullServer) advance(p fullPool, now time.Duration, length func() time.Duration) int {
	s.slotEnds = slices.DeleteFunc(s.slotEnds, func(end time.Duration) bool { return end <= now })
	if s.view.Loading && len(s.slotEnds) == 0 && s.loadedAt == 0 {
		s.loadedAt = now + loadLasts
	}
	if s.loadedAt > 0 && now >= s.loadedAt {
		s.view.Served, s.view.Loading = 2, false
	}
	if s.view.Staged == 0 {
		s.view.FetchedShare = p.transferred(now - s.late)
		if s.view.FetchedShare >= 1 {
			s.view.Staged, s.view.StagedAt, s.view.Fetching, s.view.FetchedShare = 2, namedTime.Add(now), 0, 0
			s.stagedAt = now
		}
	}
	if p.newerAt > 0 && now >= p.newerAt {
		s.SetNamedVersion(3, namedTime.Add(p.newerAt))
	}
	decision := s.Next(s.view, namedTime.Add(now))
	// The transfer of version 2 continues until the manifest of version 3 has been read.
	if decision.Fetch == 3 && s.view.Fetching == 0 {
		s.view.Fetching, s.view.FetchBegan, s.view.AwaitsManifest = 3, namedTime.Add(now), true
	}
	switch decision.Action {
	case Upload:
		s.view.Uploaded = decision.Version
	case Load:
		s.view.Loading = true
	}
	accepts := s.view.Served == 2 || !s.Draining() && !s.view.Loading && now < p.bound
	for accepts && len(s.slotEnds) < slots {
		s.slotEnds = append(s.slotEnds, now+length())
	}
	return len(s.slotEnds)
}

// Load patterns: versions that are named while all servers of a pool are busy.
var (
	pool45 = fullPool{servers: 45, bound: 9700 * time.Millisecond, copyTime: 2100 * time.Millisecond, originTime: 2100 * time.Millisecond}
	pool58 = fullPool{servers: 58, bound: 8 * time.Second, copyTime: 2200 * time.Millisecond, originTime: 1700 * time.Millisecond}
)

// Guards against turns that begin only with the complete copy: the first server served the
// version 6.3 s after it was named, the last one 12.7 s, and four of ten slots were in use in
// between. A drained server must load its copy at once, the last turn must begin within
// lastTurnFraction of the bound, and half of the slots must be in use.
func TestFullPoolSwapsDuringTransfer(t *testing.T) {
	for _, p := range []fullPool{pool45, pool58} {
		for seed := range uint64(4) {
			r := p.swap(seed)
			t.Logf("%d servers, bound %v: first copy %v, first server %v, half %v, last %v, at least %.2f of the slots in use",
				p.servers, p.bound, r.firstCopy, r.first, r.half, r.last, r.lowest)
			if limit := r.firstCopy + loadLasts + 500*time.Millisecond; r.first > limit {
				t.Errorf("%d servers: the first one serves the version after %v, want at most %v", p.servers, r.first, limit)
			}
			if limit := time.Duration(lastTurnFraction*float64(p.bound)) + 4*time.Second + loadLasts + drainNoticeTime + step; r.last > limit {
				t.Errorf("%d servers: the last one serves the version after %v, want at most %v", p.servers, r.last, limit)
			}
			if r.lowest < 0.5 {
				t.Errorf("%d servers: %.2f of the slots are in use over two seconds, want at least half", p.servers, r.lowest)
			}
		}
	}
}

// Guards against a version that is nearly complete and is not used, or that many servers swap
// to at once and late, because a newer one was named that can't be read.
func TestFullPoolUsesVersionBeforeUnreadableOne(t *testing.T) {
	for _, p := range []fullPool{pool45, pool58} {
		p.newerAt = 2600 * time.Millisecond
		for seed := range uint64(4) {
			r := p.swap(seed)
			limit := time.Duration(lastTurnFraction*float64(p.bound)) + 4*time.Second + loadLasts + drainNoticeTime + step
			if r.first == 0 || r.last > limit || r.lowest < 0.5 {
				t.Errorf("%d servers: version 2 is served from %v to %v on, with at least %.2f of the slots in use, want all by %v and half of the slots",
					p.servers, r.first, r.last, r.lowest, limit)
			}
		}
	}
}

// Guards against servers that stay drained while the transfer makes no progress, because the
// origin has become unavailable.
func TestServersServeWhileTransferStalls(t *testing.T) {
	for _, p := range []fullPool{pool45, pool58} {
		p.stallFrom, p.stallTo = 2*time.Second, 6500*time.Millisecond
		for seed := range uint64(4) {
			if r := p.swap(seed); r.drained > 0 {
				t.Errorf("%d servers: %d are drained while the transfer stalls, want none", p.servers, r.drained)
			}
		}
	}
}

// Guards against a version that is complete and is not used, because a newer one was named
// that can't be had: its manifest can't be read, or none of its chunks arrives.
func TestCompleteVersionIsUsedIfNewerOneCannotBeHad(t *testing.T) {
	for name, newer := range map[string]View{
		"no manifest": {Fetching: 3, AwaitsManifest: true},
		"no chunk":    {Fetching: 3},
	} {
		for i := range 15 {
			d := decider(i)
			d.SetNamedVersion(2, namedTime)
			d.SetNamedVersion(3, namedTime.Add(2*time.Second))
			v := newer
			v.Served, v.Staged, v.StagedAt = 1, 2, namedTime.Add(3*time.Second)
			if at := loadTime(t, d, v, v.StagedAt); at.Sub(namedTime) > 7*time.Second {
				t.Errorf("%s: version 2 is loaded after %v, want at most 7s", name, at.Sub(namedTime))
			}
		}
	}
}

// Guards against a server that is drained for a version whose transfer was replaced by that
// of a newer one.
func TestDrainEndsWithTransfer(t *testing.T) {
	d := &Decider{Bound: bound, CopyTime: 2 * time.Second}
	d.SetMembers(members(15))
	// Only the first ones in the order of turns drain during the transfer.
	for _, d.Self = range members(15) {
		if rank, _ := d.rank(2); rank == 0 {
			break
		}
	}
	d.SetNamedVersion(2, namedTime)
	v, now := View{Served: 1, Fetching: 2, FetchBegan: namedTime}, namedTime
	for !d.Draining() {
		if now = now.Add(step); now.After(namedTime.Add(bound)) {
			t.Fatal("the server is not drained during the transfer")
		}
		v.FetchedShare = min(0.99, now.Sub(namedTime).Seconds()/3)
		d.Next(v, now)
	}
	d.SetNamedVersion(3, now)
	v.Fetching, v.FetchedShare, v.FetchBegan = 3, 0, now
	d.Next(v, now.Add(step))
	if d.Draining() {
		t.Error("the server is still drained after the transfer of version 2 was replaced")
	}
}

// Guards against agents that finish, or load, an older version which may not be served any more
// while the newest one could be read.
func TestOutdatedVersionIsNeitherFetchedNorLoaded(t *testing.T) {
	d := decider(0)
	d.SetNamedVersion(2, namedTime)
	d.SetNamedVersion(3, namedTime.Add(2*time.Second))
	fetching := View{Served: 1, Fetching: 2, FetchedShare: 0.97, FetchBegan: namedTime}
	staged := View{Served: 1, Staged: 2, StagedAt: namedTime.Add(4 * time.Second), Uploaded: 2, Fetching: 3, AwaitsManifest: true}
	for _, c := range []struct {
		after    time.Duration
		outdated bool
	}{{after: 5 * time.Second}, {after: bound + 500*time.Millisecond, outdated: true}} {
		now := namedTime.Add(c.after)
		if fetch := d.Next(fetching, now).Fetch; (fetch == 3) != c.outdated {
			t.Errorf("after %v, the transfer of version %d is begun", c.after, fetch)
		}
		if p := d.Next(staged, now).Prepare; (p == 3) != c.outdated {
			t.Errorf("after %v, version %d is loaded next", c.after, p)
		}
	}
}
