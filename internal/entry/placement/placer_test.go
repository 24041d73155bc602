package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/shedding"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func enginePool() mulberryspool.IngressPool {
	return mulberryspool.IngressPool{Name: "scribe", Model: "m", Engine: &mulberryspool.EngineProfile{
		Slots: 4, TokenTime: 7 * time.Millisecond, PromptTokensPerSecond: 30_000, TokensPerEvent: 6, MeanPromptTokens: 900, MeanAnswerTokens: 120,
	}}
}

func newPlacer(servers int) *Placer {
	p := &Placer{
		Config: Config{FailureDomain: "a", VersionGrace: 7 * time.Second},
		Random: rand.New(rand.NewPCG(1, 2)),
	}
	p.SetPool(enginePool())
	p.SetServers(engines(servers, 1))
	return p
}

func engines(count int, version int64) []mulberryspool.BackendServer {
	var list []mulberryspool.BackendServer
	for i := range count {
		list = append(list, mulberryspool.BackendServer{
			Instance: mulberryspool.InstanceID(fmt.Sprintf("i-%d", i)), Born: 1, Pool: "scribe", FailureDomain: "a", Slots: 4,
			Models: []mulberryspool.LoadedModel{{Model: "m", Version: version}},
		})
	}
	return list
}

func request(now time.Time) Request {
	return Request{PromptTokens: 900, LatencyObjective: 400 * time.Millisecond, ArrivedAt: now, Deadline: now.Add(6 * time.Second)}
}

// Guards against requests that pile up at one server while others have free slots.
func TestRequestsAreSpreadOverServers(t *testing.T) {
	p := newPlacer(3)
	counts := make(map[mulberryspool.InstanceID]int)
	for range 12 {
		p.RecordFirstEvent("i-0", 900)
		p.RecordFirstEvent("i-1", 900)
		p.RecordFirstEvent("i-2", 900)
		d := p.Offer(request(start), start)
		if d.Verdict != Placed {
			t.Fatalf("request was not placed: %+v", d)
		}
		counts[d.Server.Instance]++
	}
	for id, n := range counts {
		if n != 4 {
			t.Errorf("%s has %d of 12 requests, want 4", id, n)
		}
	}
}

// Guards against overfilled servers: the requests of other entries take slots
// too, and this entry knows of them only from its peers.
func TestRequestsOfOtherEntriesCountTowardsCapacity(t *testing.T) {
	p := newPlacer(2)
	p.SetPeer("other", PeerReport{Loads: map[mulberryspool.InstanceID]Load{"i-0": {Requests: 4}}, Partial: false}, start)
	for range 4 {
		if d := p.Offer(request(start), start); d.Server.Instance != "i-1" {
			t.Fatalf("placed at %q, want i-1 because i-0 is full", d.Server.Instance)
		}
	}
	if d := p.Offer(request(start), start); d.Verdict == Placed {
		t.Errorf("placed at %s although all servers are full", d.Server.Instance)
	}
	p.ExpirePeers(start.Add(peerTimeout + time.Millisecond))
	if d := p.DecideWaiting(start.Add(peerTimeout + time.Millisecond)); len(d) == 1 && d[0].Verdict == Placed && d[0].Server.Instance != "i-0" {
		t.Errorf("placed at %s, want i-0 after the report of the other entry has expired", d[0].Server.Instance)
	}
}

// Guards against a partial report that drops the loads it does not mention.
func TestPartialReportKeepsOtherLoads(t *testing.T) {
	p := newPlacer(2)
	p.SetPeer("other", PeerReport{Loads: map[mulberryspool.InstanceID]Load{"i-0": {Requests: 4}, "i-1": {Requests: 4}}, Partial: false}, start)
	p.SetPeer("other", PeerReport{Loads: map[mulberryspool.InstanceID]Load{"i-1": {}}, Partial: true}, start)
	for range 4 {
		if d := p.Offer(request(start), start); d.Server.Instance != "i-1" {
			t.Fatalf("placed at %q, want i-1, which has no requests any more", d.Server.Instance)
		}
	}
}

// Guards against long queues in a burst above the pool's capacity: requests that
// cannot meet their objective are refused at once, and no request waits longer
// than its objective.
func TestBurstAboveCapacityIsRefusedAtOnce(t *testing.T) {
	p := newPlacer(2)
	placed, waiting, refused := 0, 0, 0
	for range 200 {
		switch d := p.Offer(request(start), start); d.Verdict {
		case Placed:
			placed++
		case Waiting:
			waiting++
		case Refused:
			refused++
			if d.Reason != ReasonFull || d.RetryAfter <= 0 {
				t.Fatalf("refused with reason %q and RetryAfter %v", d.Reason, d.RetryAfter)
			}
		}
	}
	if want := 2 * 4; placed != want {
		t.Errorf("%d requests were placed, want %d", placed, want)
	}
	if refused == 0 || waiting > 5 {
		t.Errorf("of 200 requests %d wait and %d are refused, want at most 5 and at least 1", waiting, refused)
	}
	next, ok := p.NextWake(start)
	if !ok || next.Sub(start) > 400*time.Millisecond {
		t.Errorf("the next wait ends after %v, want at most the objective", next.Sub(start))
	}
	for _, d := range p.DecideWaiting(start.Add(400 * time.Millisecond)) {
		if d.Verdict != Refused || d.Reason != ReasonWaitTimeout {
			t.Errorf("decision after the wait is %+v, want a refusal", d)
		}
	}
	if p.Waiting() != 0 {
		t.Errorf("%d requests still wait", p.Waiting())
	}
}

// Guards against a waiting request that is not placed when a slot is freed.
func TestFreedSlotGoesToWaitingRequest(t *testing.T) {
	p := newPlacer(2)
	var sent Decision
	for range 2 * 4 {
		sent = p.Offer(request(start), start)
	}
	queued := p.Offer(request(start), start)
	if queued.Verdict != Waiting {
		t.Fatalf("verdict is %v, want waiting", queued.Verdict)
	}
	p.RecordEnd(sent.Server.Instance, 900, false, Answered, time.Second, start)
	decisions := p.DecideWaiting(start.Add(time.Millisecond))
	if len(decisions) != 1 || decisions[0].Ticket != queued.Ticket || decisions[0].Verdict != Placed {
		t.Errorf("decisions are %+v, want the waiting request placed", decisions)
	}
}

// Guards against goodput loss in a long overload. A request that was refused
// before is late in any case, and each slot that it takes makes a new request
// late as well. New requests therefore go first, and the callers' retries get
// the remaining slots.
func TestNewRequestsPrecedeCallerRetries(t *testing.T) {
	p := newPlacer(1)
	for range 4 {
		p.Offer(request(start), start)
	}
	const newRequests = 5
	for i := range 2 * newRequests {
		q := &queuedRequest{ticket: Ticket(1000 + i), request: request(start), waitUntil: start.Add(time.Second)}
		q.request.CallerRetry = i%2 == 0
		p.waiting = append(p.waiting, q)
	}
	for i := range 2 * newRequests {
		p.RecordEnd("i-0", 900, false, Answered, time.Second, start)
		decisions := p.DecideWaiting(start)
		if len(decisions) != 1 {
			t.Fatalf("%d decisions for one free slot", len(decisions))
		}
		if callerRetry := decisions[0].Ticket%2 == 0; callerRetry != (i >= newRequests) {
			t.Errorf("slot %d went to a caller's retry: %v", i, callerRetry)
		}
	}
}

// Guards against a queue in order of arrival: routes of one pool have different
// objectives, and requests with short ones would be refused most.
func TestEarliestDueRequestGoesFirst(t *testing.T) {
	p := newPlacer(6)
	for range 6 * 4 {
		p.Offer(request(start), start)
	}
	first := p.Offer(request(start), start)
	short := request(start.Add(10 * time.Millisecond))
	short.LatencyObjective = 300 * time.Millisecond
	second := p.Offer(short, start.Add(10*time.Millisecond))
	if first.Verdict != Waiting || second.Verdict != Waiting {
		t.Fatalf("verdicts are %v and %v, want both waiting", first.Verdict, second.Verdict)
	}
	p.RecordEnd("i-0", 900, false, Answered, time.Second, start)
	if d := p.DecideWaiting(start.Add(20 * time.Millisecond)); len(d) != 1 || d[0].Ticket != second.Ticket {
		t.Errorf("decisions are %+v, want ticket %d placed", d, second.Ticket)
	}
}

// Guards against a stampede: capacity that an entry frees at a full server is
// reported to all others at the same moment. Of five entries with waiting
// requests, one takes the first free slot and another one the second.
func TestEntriesTakeTurnsAtFreedCapacity(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	entries := make(map[string]*Placer)
	report := func(from string, state PeerReport, now time.Time) {
		for name, p := range entries {
			if name != from {
				p.SetPeer(from, state, now)
			}
		}
	}
	loads := func(requests int) map[mulberryspool.InstanceID]Load {
		return map[mulberryspool.InstanceID]Load{"i-0": {Requests: requests}}
	}
	for _, name := range names {
		p := newPlacer(1)
		p.Config.EntryName = name
		entries[name] = p
	}
	report("leaving", PeerReport{FailureDomain: "a", Loads: loads(4)}, start)
	for _, name := range names {
		q := &queuedRequest{ticket: 1, request: request(start), waitUntil: start.Add(300 * time.Millisecond)}
		entries[name].waiting = append(entries[name].waiting, q)
		report(name, PeerReport{FailureDomain: "a", Waiting: 1}, start)
	}
	placed := 0
	report("leaving", PeerReport{FailureDomain: "a", Loads: loads(2)}, start)
	for now := start; now.Before(start.Add(200 * time.Millisecond)); now = now.Add(time.Millisecond) {
		for _, name := range names {
			p := entries[name]
			next, ok := p.NextWake(now)
			decisions := p.DecideWaiting(now)
			if len(decisions) == 0 {
				continue
			}
			if now.After(start) && (!ok || next.After(now)) {
				t.Errorf("entry %s had a turn at %v that NextWake did not return", name, now.Sub(start))
			}
			placed++
			// The report reaches the other entries before the next turn.
			report(name, PeerReport{FailureDomain: "a", Loads: loads(1)}, now.Add(turnInterval-time.Millisecond))
		}
	}
	if placed != 2 {
		t.Errorf("%d requests were placed in 2 free slots", placed)
	}
}

// Guards against requests to servers that are leaving or have no version loaded.
func TestLeavingAndUnloadedServersGetNoRequests(t *testing.T) {
	p := newPlacer(2)
	list := engines(3, 1)
	list[0].Leaving = true
	list[1].Born, list[1].Models = 2, nil
	p.SetServers(list)
	for range 4 {
		if d := p.Offer(request(start), start); d.Server.Instance != "i-2" {
			t.Fatalf("placed at %q, want i-2", d.Server.Instance)
		}
	}
}

// Guards against an old version that stays in use because newer versions keep
// coming: its grace starts with the first newer version, not with the newest.
func TestOldVersionIsRefusedAfterItsGrace(t *testing.T) {
	p := newPlacer(1)
	p.SetNamedVersions(map[int64]time.Time{2: start, 3: start.Add(3 * time.Second)})
	within := start.Add(6500 * time.Millisecond)
	if d := p.Offer(request(within), within); d.Verdict != Placed || d.Version != 1 {
		t.Errorf("within the grace after version 2: %+v, want placed with version 1", d)
	}
	past := start.Add(6800 * time.Millisecond)
	if d := p.Offer(request(past), past); d.Verdict != Refused || d.Reason != ReasonNoServer {
		t.Errorf("past the grace after version 2: %+v, want refused", d)
	}
	p.SetServedVersion("i-0", 1, 2, time.Time{})
	if d := p.Offer(request(past), past); d.Verdict != Placed || d.Version != 2 {
		t.Errorf("version 2 within the grace after version 3: %+v, want placed", d)
	}
}

// Guards against agent reports that are taken although they are outdated or
// about another incarnation.
func TestAgentReportSetsServedVersion(t *testing.T) {
	p := newPlacer(1)
	p.SetServedVersion("i-0", 1, 0, time.Time{})
	if d := p.Offer(request(start), start); d.Verdict == Placed {
		t.Error("placed at a server that is about to change its version")
	}
	p.SetServedVersion("i-0", 2, 5, time.Time{})
	if d := p.Offer(request(start), start); d.Verdict == Placed {
		t.Error("a report on another incarnation was taken")
	}
	p.SetServedVersion("i-0", 1, 2, time.Time{})
	if d := p.Offer(request(start), start); d.Version != 2 {
		t.Errorf("placed with version %d, want 2", d.Version)
	}
	p.SetServedVersion("i-0", 1, 1, time.Time{})
	if d := p.Offer(request(start), start); d.Version != 2 {
		t.Errorf("an outdated report set the version to %d, want 2", d.Version)
	}
}

// Guards against a version that is carried over to a new incarnation.
func TestRestartedServerStartsWithoutVersion(t *testing.T) {
	p := newPlacer(1)
	p.Offer(request(start), start)
	list := engines(1, 0)
	list[0].Born, list[0].Models = 2, nil
	p.SetServers(list)
	if d := p.Offer(request(start), start); d.Verdict == Placed {
		t.Error("placed at a server that restarted and has no version loaded")
	}
}

// Guards against a server that times out and still gets a full share of the load.
func TestSuspectedServerGetsOnlyProbes(t *testing.T) {
	p := newPlacer(3)
	now := start
	for range 2 {
		p.RecordEnd("i-0", 0, true, TimedOut, time.Second, now)
	}
	p.servers["i-0"].health.recordSent(now)
	probes := 0
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		d := p.Offer(request(now), now)
		if d.Verdict != Placed {
			t.Fatalf("not placed: %+v", d)
		}
		o := Answered
		if d.Server.Instance == "i-0" {
			probes++
			o = TimedOut
		}
		p.RecordEnd(d.Server.Instance, 900, false, o, 100*time.Millisecond, now)
	}
	if probes > 5 {
		t.Errorf("%d of 40 requests went to the silent server, want at most 5 probes", probes)
	}
}

// Guards against refusing everything when all servers are suspected, which a
// network fault of the entry itself causes.
func TestSuspectedServersAreUsedIfAllAreSuspected(t *testing.T) {
	p := newPlacer(3)
	for _, id := range []mulberryspool.InstanceID{"i-0", "i-1", "i-2"} {
		p.RecordEnd(id, 0, true, Unreachable, 0, start)
		p.servers[id].health.recordSent(start)
	}
	if d := p.Offer(request(start), start); d.Verdict != Placed {
		t.Errorf("with all servers suspected: %+v, want placed", d)
	}
}

// Guards against repeated requests to a server that answered Misdirected, and
// against skipping it after its agent has reported a new version.
func TestMisdirectedServerIsSkippedUntilNewVersion(t *testing.T) {
	p := newPlacer(1)
	d := p.Offer(request(start), start)
	p.RecordEnd(d.Server.Instance, 900, false, Misdirected, 0, start)
	if d := p.Offer(request(start), start); d.Verdict == Placed {
		t.Error("placed at a server whose version is in doubt")
	}
	p.SetServedVersion("i-0", 1, 2, time.Time{})
	if d := p.Offer(request(start), start); d.Verdict != Placed || d.Version != 2 {
		t.Errorf("after the agent's report: %+v, want placed with version 2", d)
	}
}

// Guards against flooding a server that rejoins empty while requests wait: it
// gets only as many as it can process within the latency objective.
func TestRejoiningServerIsNotFlooded(t *testing.T) {
	p := newPlacer(1)
	list := engines(1, 1)
	list[0].Slots = 16
	p.SetServers(list)
	placed := 0
	for range 15 {
		if p.Offer(request(start), start).Verdict == Placed {
			placed++
		}
	}
	// 2 passes of 42 ms and 30 ms for each prompt allow only a few requests within 400 ms.
	if placed < 4 || placed > 10 {
		t.Errorf("%d requests were placed at once, want 4 to 10, as many as can be processed in time", placed)
	}
	if p.Waiting() == 0 {
		t.Error("no request waits for the prompts to be processed")
	}
	p.RecordFirstEvent("i-0", placed*900)
	if d := p.DecideWaiting(start.Add(100 * time.Millisecond)); len(d) == 0 || d[0].Verdict != Placed {
		t.Errorf("after the prompts were processed: %+v, want further placements", d)
	}
}

// Guards against long responses at a server that soon stops accepting requests to
// change its version: its other slots would stay empty until they end.
func TestLongResponsesAvoidServerThatStopsAccepting(t *testing.T) {
	p := newPlacer(2)
	p.SetServedVersion("i-0", 1, 1, start.Add(500*time.Millisecond))
	long := request(start)
	long.AnswerTokens = 300
	if d := p.Offer(long, start); d.Server.Instance != "i-1" {
		t.Errorf("a long response was placed at %s, want i-1", d.Server.Instance)
	}
	short := request(start)
	short.AnswerTokens = 6
	if d := p.Offer(short, start); d.Server.Instance != "i-0" {
		t.Errorf("a short response was placed at %s, want i-0", d.Server.Instance)
	}
}

// Guards against a placed request whose time limit is that of the newest version
// although an earlier one made the server's version outdated, and against a limit
// where no newer version is named.
func TestPlacedRequestMustStartWithinGraceOfFirstNewerVersion(t *testing.T) {
	for name, c := range map[string]struct {
		named map[int64]time.Time
		want  time.Time
	}{
		"no version named":   {nil, time.Time{}},
		"same version named": {map[int64]time.Time{1: start.Add(-time.Hour)}, time.Time{}},
		"two newer versions": {map[int64]time.Time{2: start.Add(-3 * time.Second), 3: start.Add(-time.Second)}, start.Add(4 * time.Second)},
	} {
		p := newPlacer(1)
		p.SetNamedVersions(c.named)
		if d := p.Offer(request(start), start); d.Verdict != Placed || !d.StartBy.Equal(c.want) {
			t.Errorf("%s: %+v, want placed with StartBy %v", name, d, c.want)
		}
	}
}

// Guards against a trial that cuts the responses of a full batch although another
// server has few.
func TestTrialGoesToServerWithFewestRequests(t *testing.T) {
	p := newPlacer(3)
	p.SetPeer("other", PeerReport{Loads: map[mulberryspool.InstanceID]Load{"i-0": {Requests: 3}, "i-1": {Requests: 1, PendingPromptTokens: 6000}, "i-2": {Requests: 2}}}, start)
	r := request(start)
	r.Trial = true
	if d := p.Offer(r, start); d.Verdict != Placed || d.Server.Instance != "i-1" {
		t.Errorf("decision is %+v, want i-1", d)
	}
}

// Guards against slots that several entries fill at once during an overload: early rejections
// leave few requests waiting, so that an entry has one for a freed slot although it reported
// none.
func TestEntriesTakeTurnsDuringOverloadWithoutWaitingRequests(t *testing.T) {
	at := start.Add(20 * time.Millisecond)
	placed := 0
	for _, name := range []string{"a", "b", "c"} {
		p := newPlacer(1)
		p.Config.EntryName = name
		p.SetPeer("leaving", PeerReport{FailureDomain: "a", Loads: map[mulberryspool.InstanceID]Load{"i-0": {Requests: 4}}}, start)
		for _, other := range []string{"a", "b", "c"} {
			if other != name {
				p.SetPeer(other, PeerReport{FailureDomain: "a"}, start)
				p.SetPeerDemand(other, shedding.Report{Counts: []shedding.Count{{Offered: 100, Placed: 40}}}, start)
			}
		}
		p.SetPeer("leaving", PeerReport{FailureDomain: "a", Loads: map[mulberryspool.InstanceID]Load{"i-0": {Requests: 3}}}, at)
		if d := p.Offer(request(at), at); d.Verdict == Placed {
			placed++
		}
	}
	if placed != 1 {
		t.Errorf("%d of 3 entries placed a request in the slot at once, want 1", placed)
	}
}

// Guards against urgent requests that wait for the servers of one region and keep those of
// another region from their free slots.
func TestRequestsBoundToOtherRegionsDoNotBlockQueue(t *testing.T) {
	p := newRegionalPlacer()
	p.fill(t, "r-a", 4, start)
	for i := range 8 {
		q := &queuedRequest{ticket: Ticket(100 + i), request: request(start), waitUntil: start.Add(time.Second)}
		q.request.Regions = []string{"r-a"}
		p.waiting = append(p.waiting, q)
	}
	other := request(start)
	other.Priority, other.Regions = 2, []string{"r-b"}
	p.waiting = append(p.waiting, &queuedRequest{ticket: 200, request: other, waitUntil: start.Add(time.Second)})
	if d := p.DecideWaiting(start); len(d) != 1 || d[0].Ticket != 200 || d[0].Verdict != Placed {
		t.Errorf("decisions are %+v, want the request for region b placed", d)
	}
	other.Priority = 3
	if d := p.Offer(other, start); d.Verdict != Placed {
		t.Errorf("a further one got %+v, want placed", d)
	}
}

// Guards against a request that is counted, or rejected early, again after its server withdrew
// between its placement and its sending.
func TestRequestPlacedBeforeIsNotRejectedEarly(t *testing.T) {
	p := newPlacer(10)
	p.SetPeerDemand("other", shedding.Report{Counts: []shedding.Count{{Offered: 100, Placed: 100}, {Priority: 1, Offered: 500}}}, start)
	for i, s := range p.ordered {
		if s.ownLoad.Requests = 4; i == 0 {
			s.ownLoad.Requests = 3
		}
	}
	r := request(start)
	r.Priority = 1
	if d := p.Offer(r, start); d.Verdict != Refused || d.Reason != ReasonOverload {
		t.Fatalf("new request got %+v, want rejected early", d)
	}
	r.PlacedBefore = true
	if d := p.Offer(r, start); d.Verdict != Placed {
		t.Errorf("request that was placed before got %+v, want placed", d)
	}
}

// Guards against a request that is given up before it is sent, because of requests that were
// placed after it while its connection was opened.
func TestLaterRequestsDoNotDelayEarlierOnes(t *testing.T) {
	const opening = 20 * time.Millisecond
	for _, count := range []int{3, 4, 5, 6} {
		end := start.Add(7 * time.Second)
		for now := end.Add(-2 * time.Second); now.Before(end); now = now.Add(5 * time.Millisecond) {
			p := newPlacer(1)
			p.SetNamedVersions(map[int64]time.Time{2: start})
			var placed []Decision
			for range count {
				if d := p.Offer(request(now), now); d.Verdict == Placed {
					placed = append(placed, d)
				}
			}
			if len(placed) < count {
				// All of them would start in time 5 ms earlier.
				t.Logf("%d requests: %d are placed %v before the end", count, len(placed), end.Sub(now))
				break
			}
			given := 0
			first := p.StartsInTime(placed[0], request(now).PromptTokens, now.Add(opening))
			for _, d := range placed {
				if !p.StartsInTime(d, request(now).PromptTokens, now.Add(opening)) {
					given++
					p.RecordEnd(d.Server.Instance, 900, false, Cancelled, 0, now.Add(opening))
				}
			}
			alone := newPlacer(1)
			alone.SetNamedVersions(map[int64]time.Time{2: start})
			fits := alone.Offer(request(now.Add(opening+100*time.Millisecond)), now.Add(opening+100*time.Millisecond)).Verdict == Placed
			if !first && fits {
				t.Errorf("%d requests placed %v before the end: the first is not sent, although it would be placed still 100 ms later; %d of %d are given up", count, end.Sub(now), given, count)
				break
			}
		}
	}
}
