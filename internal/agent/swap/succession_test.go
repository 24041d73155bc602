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
	// succession is a full pool that serves version 1 while versions 2 and 3 are named, and an
	// origin that is unavailable for a time. Times count from the naming of version 2.
	succession struct {
		fullPool
		newerAt, originDown, originUp time.Duration
	}

	succeedingServer struct {
		*Decider
		view View
		// late is how much later than others its chunks arrive.
		late time.Duration
		// active is how long each version has been transferred while there were chunks to
		// get; it is indexed by version, as are the fields below.
		active           [4]time.Duration
		loaded           [4]time.Duration
		slotEnds         []time.Duration
		loading          int64
		loadEnd          time.Duration
		awaitsSince      time.Duration
		drainsWhileStall int
	}

	successionResult struct {
		// first, half, last and servers are when the servers have loaded a version and their
		// number.
		first, half, last [4]time.Duration
		servers           [4]int
		// lowest is the smallest share of slots in use over two seconds before the bound of
		// version 1, and after it until that of version 2.
		lowest, lowestLater float64
		// used is the share of slots in use over the whole replay.
		used float64
		// stalledDrains is the number of turns that began while no chunk of their version could
		// be had any more.
		stalledDrains int
	}
)

// overdueAfter is the time after which agents notice that the origin doesn't give out the
// chunks that are still missing, as in internal/agent/swarm.
const overdueAfter = 1200 * time.Millisecond

// replayDuration covers two bounds and the end of all requests.
const replayDuration = 18 * time.Second

func (p succession) originReachable(at time.Duration) bool {
	return at < p.originDown || at >= p.originUp
}

// boundEnd returns when servers stop accepting requests for a version.
func (p succession) boundEnd(version int64) time.Duration {
	switch {
	case version == 1:
		return p.bound
	case version == 2 && p.newerAt > 0:
		return p.newerAt + p.bound
	}
	return replayDuration
}

// shareAfter returns the completed share of a transfer that has been active for a time, of
// which the origin has given out a part.
func (p succession) shareAfter(active time.Duration, given float64) float64 {
	return min(p.transferred(active), given)
}

func (p succession) replay(seed uint64) successionResult {
	random := rand.New(rand.NewPCG(seed, 1))
	length := func() time.Duration {
		return 600*time.Millisecond + time.Duration(random.Int64N(int64(3400*time.Millisecond)))
	}
	var ids []mulberryspool.InstanceID
	for i := range p.servers {
		ids = append(ids, mulberryspool.InstanceID(fmt.Sprintf("10.%d.0.%d", seed, i)))
	}
	var servers []*succeedingServer
	for _, id := range ids {
		s := &succeedingServer{
			Decider: &Decider{Self: id, Bound: p.bound, CopyTime: p.copyTime, OriginTime: p.originTime},
			view:    View{Served: 1}, late: time.Duration(random.Int64N(int64(maxLate))),
		}
		s.SetMembers(ids)
		s.SetNamedVersion(2, namedTime)
		for range slots {
			s.slotEnds = append(s.slotEnds, time.Duration(random.Float64()*float64(length())))
		}
		servers = append(servers, s)
	}
	// given is the part of each version that the origin has given out, and manifestAt when
	// the manifest of version 3 has been read.
	var given [4]float64
	var manifestAsked, manifestAt time.Duration
	result := successionResult{lowest: 1, lowestLater: 1}
	var used []float64
	for now := time.Duration(0); now < replayDuration; now += step {
		var readers [4]int
		running := 0
		for _, s := range servers {
			if p.newerAt > 0 && now >= p.newerAt+100*time.Millisecond+s.late/2 {
				s.SetNamedVersion(3, namedTime.Add(p.newerAt))
			}
			running += s.advance(p, now, given, manifestAt > 0, length)
			readers[s.view.Fetching]++
			if (s.awaitsSince > 0 || s.view.AwaitsManifest) && manifestAsked == 0 {
				manifestAsked = now
			}
		}
		// The origin gives out chunks of a version at the rate of its link if the owners of the
		// chunks, spread over all agents, fetch it.
		if p.originReachable(now) && now > maxLate {
			for version := int64(2); version <= 3; version++ {
				if readers[version] > 0 && (version == 2 || manifestAt > 0) {
					given[version] = min(1, given[version]+step.Seconds()/p.originTime.Seconds()*float64(readers[version])/float64(p.servers))
				}
			}
		}
		if manifestAsked > 0 && manifestAt == 0 && p.originReachable(now) && now >= manifestAsked+100*time.Millisecond {
			manifestAt = now
		}
		used = append(used, float64(running)/float64(p.servers*slots))
		result.used += used[len(used)-1] * step.Seconds() / replayDuration.Seconds()
	}
	window := int(2 * time.Second / step)
	for i := range len(used) - window {
		sum := 0.0
		for _, u := range used[i : i+window] {
			sum += u
		}
		end := time.Duration(i+window) * step
		switch mean := sum / float64(window); {
		case end <= p.bound:
			result.lowest = min(result.lowest, mean)
		case p.newerAt > 0:
			result.lowestLater = min(result.lowestLater, mean)
		}
	}
	for _, s := range servers {
		result.stalledDrains += s.drainsWhileStall
	}
	for version := range result.servers {
		var times []time.Duration
		for _, s := range servers {
			if s.loaded[version] > 0 {
				times = append(times, s.loaded[version])
			}
		}
		if slices.Sort(times); len(times) > 0 {
			result.first[version], result.half[version], result.last[version] = times[0], times[len(times)/2], times[len(times)-1]
			result.servers[version] = len(times)
		}
	}
	return result
}

// advance lets a server and its agent act, and returns the number of running requests.
func (s *succeedingServer) advance(p succession, now time.Duration, given [4]float64, manifestRead bool, length func() time.Duration) int {
	s.slotEnds = slices.DeleteFunc(s.slotEnds, func(end time.Duration) bool { return end <= now })
	if s.view.Loading {
		if len(s.slotEnds) == 0 && s.loadEnd == 0 {
			s.loadEnd = now + loadLasts
		}
		if s.loadEnd > 0 && now >= s.loadEnd {
			s.view.Served, s.view.Loading, s.loaded[s.loading], s.loadEnd = s.loading, false, now, 0
		}
	}
	if now < 200*time.Millisecond+s.late/2 {
		return s.fill(p, now, length)
	}
	fetching := s.view.Fetching
	s.view.AwaitsManifest = fetching == 3 && !manifestRead
	fromOrigin := namedTime.Add(now).Before(s.view.FetchBegan.Add(p.originTime)) || s.view.ReadsOrigin
	suspended := s.awaitsSince > 0 && fromOrigin && now < s.awaitsSince+s.fraction(awaitFraction)
	if fetching > 0 && !suspended && !s.view.AwaitsManifest {
		if active := s.active[fetching] + step; p.transferred(active) <= given[fetching] {
			s.active[fetching] = active
		}
		s.view.FetchedShare = p.shareAfter(s.active[fetching], given[fetching])
		if s.view.FetchedShare >= 1 {
			s.view.Staged, s.view.StagedAt, s.view.Fetching, s.view.FetchedShare = fetching, namedTime.Add(now), 0, 0
			if s.view.Kept <= fetching {
				s.view.Kept, s.view.KeptShare = 0, 0
			}
		}
	}
	s.view.ReadsOrigin = fetching > 0 && given[fetching] < 1 && p.originReachable(now)
	s.view.ChunksUnavailable = fetching > 0 && given[fetching] < 1 && !p.originReachable(now) && !p.originReachable(now-overdueAfter)
	drained := s.Draining()
	decision := s.Next(s.view, namedTime.Add(now))
	if s.Draining() && !drained && s.drainingVersion == s.view.Fetching && given[s.view.Fetching] < 1 && !p.originReachable(now-overdueAfter) && !p.originReachable(now) {
		s.drainsWhileStall++
	}
	s.fetch(decision.Fetch, manifestRead, now)
	switch decision.Action {
	case Upload:
		s.view.Uploaded = decision.Version
	case Load:
		s.view.Loading, s.loading = true, decision.Version
	}
	return s.fill(p, now, length)
}

// fetch starts or suspends transfers like the agent of internal/role/hosted.
func (s *succeedingServer) fetch(version int64, manifestRead bool, now time.Duration) {
	old := s.view.Fetching
	awaits := version == 3 && old == 2 && !manifestRead
	switch {
	case awaits && s.awaitsSince == 0:
		s.awaitsSince = now
	case !awaits:
		s.awaitsSince = 0
	}
	if awaits || version == 0 || version == old {
		return
	}
	share := s.view.FetchedShare
	s.view.Fetching, s.view.FetchBegan, s.view.FetchedShare = version, namedTime.Add(now), 0
	s.view.Kept, s.view.KeptShare = 0, 0
	if old > 0 && old < version {
		s.view.Kept, s.view.KeptShare = old, share
	}
}

// fill starts requests in the free slots of a server that accepts them, and returns the number
// of running ones.
func (s *succeedingServer) fill(p succession, now time.Duration, length func() time.Duration) int {
	accepts := !s.Draining() && !s.view.Loading && now < p.boundEnd(s.view.Served)
	for accepts && len(s.slotEnds) < slots {
		s.slotEnds = append(s.slotEnds, now+length())
	}
	return len(s.slotEnds)
}

func (r successionResult) String() string {
	return fmt.Sprintf("version 2 from %v to %v on %d, version 3 from %v to %v on %d, %.2f of the slots in use at least, %.2f after the bound of version 1, %d turns for stalled transfers, %.3f of the slots in use",
		r.first[2], r.last[2], r.servers[2], r.first[3], r.last[3], r.servers[3], r.lowest, r.lowestLater, r.stalledDrains, r.used)
}

// Load pattern: version 3 is named 2 s after version 2, and the origin is unavailable from 0.5 s
// after that on for 6 s. Guards against agents that give up version 2, of which the pool has
// nearly all chunks, for version 3, which can't be read: no server served version 2 before the
// bound of version 1. The bound of the larger pool is 8 s, and it gets a part of version 3
// before; there version 2 must not be used too late, when it costs a swap and is hardly served.
func TestVersionIsUsedWhileNewerOneCannotBeRead(t *testing.T) {
	for _, p := range []fullPool{pool45, pool58} {
		for seed := range uint64(4) {
			s := succession{fullPool: p, newerAt: 2 * time.Second, originDown: 2500 * time.Millisecond, originUp: 8500 * time.Millisecond}
			r := s.replay(seed)
			t.Logf("%d servers: %v", p.servers, r)
			if p.servers == pool45.servers && (r.servers[2] < p.servers*3/4 || r.first[2] > 6*time.Second) {
				t.Errorf("%d servers: %d serve version 2, the first one after %v, want three quarters and 6s", p.servers, r.servers[2], r.first[2])
			}
			if r.half[2] > p.bound {
				t.Errorf("%d servers: half of those that swap to version 2 serve it after %v, want it before the bound of version 1, %v", p.servers, r.half[2], p.bound)
			}
			if limit := s.originUp + 3*time.Second + 4*time.Second; r.servers[3] < p.servers || r.last[3] > limit {
				t.Errorf("%d servers: %d serve version 3, the last one after %v, want all by %v", p.servers, r.servers[3], r.last[3], limit)
			}
			if r.stalledDrains > 0 {
				t.Errorf("%d servers: %d turns begin for transfers that can't be completed", p.servers, r.stalledDrains)
			}
		}
	}
}

// Guards against a transfer that is not resumed if the newer version has replaced it, whose
// manifest and first chunks could be read before the origin became unavailable.
func TestReplacedTransferIsResumed(t *testing.T) {
	for seed := range uint64(4) {
		s := succession{fullPool: pool45, newerAt: 2500 * time.Millisecond, originDown: 3 * time.Second, originUp: 9 * time.Second}
		r := s.replay(seed)
		t.Logf("%d servers: %v", s.servers, r)
		if r.servers[2] < s.servers*3/4 || r.half[2] > s.bound || r.servers[3] < s.servers {
			t.Errorf("%d servers serve version 2, half of them after %v, and %d version 3, want three quarters by %v and all", r.servers[2], r.half[2], r.servers[3], s.bound)
		}
	}
}

// Guards against a server that swaps to a version although the newer one arrives before the
// bound of the served version, only because it arrives later than usual.
func TestVersionIsSkippedIfNewerOneArrivesLate(t *testing.T) {
	d := &Decider{Self: members(15)[0], Bound: pool45.bound, CopyTime: pool45.copyTime, OriginTime: pool45.originTime}
	d.SetMembers(members(15))
	d.SetNamedVersion(2, namedTime)
	d.SetNamedVersion(3, namedTime.Add(2*time.Second))
	v := View{Served: 1, Staged: 2, StagedAt: namedTime.Add(3500 * time.Millisecond), Uploaded: 2, Fetching: 3, FetchBegan: namedTime.Add(4500 * time.Millisecond)}
	for now := namedTime.Add(4500 * time.Millisecond); v.FetchedShare < 0.9; now = now.Add(100 * time.Millisecond) {
		v.FetchedShare = min(0.95, 0.3*now.Sub(v.FetchBegan).Seconds())
		if decision := d.Next(v, now); v.FetchedShare > 0 && decision.Version == 2 {
			t.Fatalf("%v after the naming, with %.2f of version 3: %+v, want version 3", now.Sub(namedTime), v.FetchedShare, decision)
		}
	}
}

// Guards against a pool that swaps twice although the newer version can be had in time.
func TestVersionIsSkippedWhileNewerOneArrives(t *testing.T) {
	for _, p := range []fullPool{pool45, pool58} {
		for seed := range uint64(4) {
			r := succession{fullPool: p, newerAt: 2 * time.Second}.replay(seed)
			t.Logf("%d servers: %v", p.servers, r)
			if r.servers[2] > 0 || r.servers[3] < p.servers {
				t.Errorf("%d servers: %d serve version 2 and %d version 3, want none and all", p.servers, r.servers[2], r.servers[3])
			}
		}
	}
}

// Load pattern: a version is named 0 to 2 s before the origin becomes unavailable. Guards
// against turns for a copy that can't be completed, and against a pool that doesn't swap once
// the origin is back.
func TestNoTurnBeginsForCopyThatCannotBeCompleted(t *testing.T) {
	for _, p := range []fullPool{pool45, pool58} {
		for _, down := range []time.Duration{0, time.Second, 1800 * time.Millisecond} {
			r := succession{fullPool: p, originDown: down, originUp: down + 6*time.Second}.replay(1)
			t.Logf("%d servers, origin unavailable after %v: %v", p.servers, down, r)
			if r.stalledDrains > 0 || r.servers[2] < p.servers {
				t.Errorf("%d servers, origin unavailable after %v: %d turns begin for transfers that can't be completed, %d servers swap, want none and all", p.servers, down, r.stalledDrains, r.servers[2])
			}
		}
	}
}
