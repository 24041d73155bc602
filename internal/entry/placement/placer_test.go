package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func enginePool() mulberryspool.IngressPool {
	return mulberryspool.IngressPool{Name: "scribe", Model: "m", Engine: &mulberryspool.EngineFigures{
		Slots: 4, Step: 7 * time.Millisecond, PromptTokensPerSecond: 30_000, StepsPerPass: 6, UsualPrompt: 900, UsualAnswer: 120,
	}}
}

func newPlacer(servers int) *Placer {
	p := &Placer{
		Figures: Figures{Domain: "a", VersionGrace: 7 * time.Second},
		Random:  rand.New(rand.NewPCG(1, 2)),
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
	return Request{PromptTokens: 900, Objective: 400 * time.Millisecond, Offered: now, Deadline: now.Add(6 * time.Second)}
}

func TestPlacesSpreadOverServers(t *testing.T) {
	p := newPlacer(3)
	counts := make(map[mulberryspool.InstanceID]int)
	for range 12 {
		p.Began("i-0", 900)
		p.Began("i-1", 900)
		p.Began("i-2", 900)
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

// The requests of other entries take places that this entry does not see itself.
func TestCountsWhatOtherEntriesSent(t *testing.T) {
	p := newPlacer(2)
	p.SetPeer("other", Peer{Loads: map[mulberryspool.InstanceID]Load{"i-0": {Requests: 4}}, Partial: false}, start)
	for range 4 {
		if d := p.Offer(request(start), start); d.Server.Instance != "i-1" {
			t.Fatalf("placed at %q although it is full, want i-1", d.Server.Instance)
		}
	}
	if d := p.Offer(request(start), start); d.Verdict == Placed {
		t.Errorf("placed at %s although all servers are full", d.Server.Instance)
	}
	p.Expire(start.Add(peerTimeout + time.Millisecond))
	if d := p.Tick(start.Add(peerTimeout + time.Millisecond)); len(d) == 1 && d[0].Verdict == Placed && d[0].Server.Instance != "i-0" {
		t.Errorf("placed at %s, want i-0 after the other entry has fallen silent", d[0].Server.Instance)
	}
}

func TestPartialWordOfOtherEntryKeepsTheRest(t *testing.T) {
	p := newPlacer(2)
	p.SetPeer("other", Peer{Loads: map[mulberryspool.InstanceID]Load{"i-0": {Requests: 4}, "i-1": {Requests: 4}}, Partial: false}, start)
	p.SetPeer("other", Peer{Loads: map[mulberryspool.InstanceID]Load{"i-1": {}}, Partial: true}, start)
	for range 4 {
		if d := p.Offer(request(start), start); d.Server.Instance != "i-1" {
			t.Fatalf("placed at %q, want i-1, which is empty again", d.Server.Instance)
		}
	}
}

// A burst beyond what the pool carries: what can't be on time is refused at
// once, and nothing waits longer than it may.
func TestRefusesAtOnceWhatCannotBeOnTime(t *testing.T) {
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
				t.Fatalf("refused with %q and RetryAfter %v", d.Reason, d.RetryAfter)
			}
		}
	}
	if want := 2 * 4; placed != want {
		t.Errorf("%d requests were placed, want %d", placed, want)
	}
	if refused == 0 || waiting > 5 {
		t.Errorf("%d wait and %d are refused of 200, want few and most", waiting, refused)
	}
	next, ok := p.Next(start)
	if !ok || next.Sub(start) > 400*time.Millisecond {
		t.Errorf("the longest wait ends after %v, want at most the objective", next.Sub(start))
	}
	for _, d := range p.Tick(start.Add(400 * time.Millisecond)) {
		if d.Verdict != Refused || d.Reason != ReasonTooLate {
			t.Errorf("decision after the wait is %+v, want a refusal", d)
		}
	}
	if p.Waiting() != 0 {
		t.Errorf("%d requests still wait", p.Waiting())
	}
}

func TestFreedPlaceGoesToWaitingRequest(t *testing.T) {
	p := newPlacer(2)
	var sent Decision
	for range 2 * 4 {
		sent = p.Offer(request(start), start)
	}
	w := p.Offer(request(start), start)
	if w.Verdict != Waiting {
		t.Fatalf("verdict is %v, want waiting", w.Verdict)
	}
	p.Ended(sent.Server.Instance, 900, false, Answered, time.Second, start)
	decisions := p.Tick(start.Add(time.Millisecond))
	if len(decisions) != 1 || decisions[0].Ticket != w.Ticket || decisions[0].Verdict != Placed {
		t.Errorf("decisions are %+v, want the waiting request placed", decisions)
	}
}

// In a long overload each place that goes to a returning request, which is
// late in any case, makes a newcomer late as well. So newcomers go first while
// any of them waits, and returning requests get all other places.
func TestNewcomersOnTimeGoBeforeReturningRequests(t *testing.T) {
	p := newPlacer(1)
	for range 4 {
		p.Offer(request(start), start)
	}
	const newcomers = 5
	for i := range 2 * newcomers {
		w := &waiter{ticket: Ticket(1000 + i), request: request(start), until: start.Add(time.Second)}
		w.request.Returning = i%2 == 0
		p.waiting = append(p.waiting, w)
	}
	for i := range 2 * newcomers {
		p.Ended("i-0", 900, false, Answered, time.Second, start)
		decisions := p.Tick(start)
		if len(decisions) != 1 {
			t.Fatalf("%d decisions for one place", len(decisions))
		}
		if returning := decisions[0].Ticket%2 == 0; returning != (i >= newcomers) {
			t.Errorf("place %d went to a returning request: %v", i, returning)
		}
	}
}

// Routes of one pool differ in their objectives, and the shorter ones would
// be refused most if all waited in the order of their arrival.
func TestRequestDueFirstGoesFirst(t *testing.T) {
	p := newPlacer(6)
	for range 6 * 4 {
		p.Offer(request(start), start)
	}
	long := p.Offer(request(start), start)
	short := request(start.Add(10 * time.Millisecond))
	short.Objective = 300 * time.Millisecond
	urgent := p.Offer(short, start.Add(10*time.Millisecond))
	if long.Verdict != Waiting || urgent.Verdict != Waiting {
		t.Fatalf("verdicts are %v and %v, want both waiting", long.Verdict, urgent.Verdict)
	}
	p.Ended("i-0", 900, false, Answered, time.Second, start)
	if d := p.Tick(start.Add(20 * time.Millisecond)); len(d) != 1 || d[0].Ticket != urgent.Ticket {
		t.Errorf("decisions are %+v, want the place for ticket %d", d, urgent.Ticket)
	}
}

// A place that an entry leaves at a full server is told to all others at the
// same moment. Five entries with waiting requests take it once, and not five
// times, and the second place goes to another entry.
func TestEntriesTakeTurnsAtAFreedPlace(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	entries := make(map[string]*Placer)
	tell := func(from string, said Peer, now time.Time) {
		for name, p := range entries {
			if name != from {
				p.SetPeer(from, said, now)
			}
		}
	}
	loads := func(requests int) map[mulberryspool.InstanceID]Load {
		return map[mulberryspool.InstanceID]Load{"i-0": {Requests: requests}}
	}
	for _, name := range names {
		p := newPlacer(1)
		p.Figures.Self = name
		entries[name] = p
	}
	tell("leaving", Peer{Domain: "a", Loads: loads(4)}, start)
	for _, name := range names {
		w := &waiter{ticket: 1, request: request(start), until: start.Add(300 * time.Millisecond)}
		entries[name].waiting = append(entries[name].waiting, w)
		tell(name, Peer{Domain: "a", Waiting: 1}, start)
	}
	placed := 0
	tell("leaving", Peer{Domain: "a", Loads: loads(2)}, start)
	for now := start; now.Before(start.Add(200 * time.Millisecond)); now = now.Add(time.Millisecond) {
		for _, name := range names {
			p := entries[name]
			next, ok := p.Next(now)
			decisions := p.Tick(now)
			if len(decisions) == 0 {
				continue
			}
			if now.After(start) && (!ok || next.After(now)) {
				t.Errorf("entry %s had a turn at %v without being woken", name, now.Sub(start))
			}
			placed++
			// The others hear of it before the next turn.
			tell(name, Peer{Domain: "a", Loads: loads(1)}, now.Add(turnStep-time.Millisecond))
		}
	}
	if placed != 2 {
		t.Errorf("%d requests were sent for 2 places", placed)
	}
}

func TestLeavingAndEmptyServersGetNothing(t *testing.T) {
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

// Each version is judged by the first newer one, not by the newest.
func TestOldVersionGoesAfterItsBound(t *testing.T) {
	p := newPlacer(1)
	p.SetNamed(map[int64]time.Time{2: start, 3: start.Add(3 * time.Second)})
	before := start.Add(6500 * time.Millisecond)
	if d := p.Offer(request(before), before); d.Verdict != Placed || d.Version != 1 {
		t.Errorf("before the bound of version 2: %+v, want placed for version 1", d)
	}
	after := start.Add(6800 * time.Millisecond)
	if d := p.Offer(request(after), after); d.Verdict != Refused || d.Reason != ReasonNoServer {
		t.Errorf("after the bound of version 2: %+v, want refused", d)
	}
	p.SetServed("i-0", 1, 2, time.Time{})
	if d := p.Offer(request(after), after); d.Verdict != Placed || d.Version != 2 {
		t.Errorf("version 2 within the bound of version 3: %+v, want placed", d)
	}
}

func TestAgentsWordOnVersion(t *testing.T) {
	p := newPlacer(1)
	p.SetServed("i-0", 1, 0, time.Time{})
	if d := p.Offer(request(start), start); d.Verdict == Placed {
		t.Error("placed at a server that is about to change its version")
	}
	p.SetServed("i-0", 2, 5, time.Time{})
	if d := p.Offer(request(start), start); d.Verdict == Placed {
		t.Error("the word on another incarnation was taken")
	}
	p.SetServed("i-0", 1, 2, time.Time{})
	if d := p.Offer(request(start), start); d.Version != 2 {
		t.Errorf("placed for version %d, want 2", d.Version)
	}
	p.SetServed("i-0", 1, 1, time.Time{})
	if d := p.Offer(request(start), start); d.Version != 2 {
		t.Errorf("old news made the version %d, want 2", d.Version)
	}
}

func TestRestartedServerIsAnotherOne(t *testing.T) {
	p := newPlacer(1)
	p.Offer(request(start), start)
	list := engines(1, 0)
	list[0].Born, list[0].Models = 2, nil
	p.SetServers(list)
	if d := p.Offer(request(start), start); d.Verdict == Placed {
		t.Error("placed at a server that restarted and holds nothing")
	}
}

func TestSuspectGetsTrialsOnly(t *testing.T) {
	p := newPlacer(3)
	now := start
	for range 2 {
		p.Ended("i-0", 0, true, Silent, time.Second, now)
	}
	p.servers["i-0"].health.sent(now)
	toSuspect := 0
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		d := p.Offer(request(now), now)
		if d.Verdict != Placed {
			t.Fatalf("not placed: %+v", d)
		}
		o := Answered
		if d.Server.Instance == "i-0" {
			toSuspect++
			o = Silent
		}
		p.Ended(d.Server.Instance, 900, false, o, 100*time.Millisecond, now)
	}
	if toSuspect > 5 {
		t.Errorf("%d of 40 requests went to the silent server, want a few trials", toSuspect)
	}
}

// A fault of the entry's own network makes all servers look bad.
func TestNeverAvoidsAllServers(t *testing.T) {
	p := newPlacer(3)
	for _, id := range []mulberryspool.InstanceID{"i-0", "i-1", "i-2"} {
		p.Ended(id, 0, true, Unreached, 0, start)
		p.servers[id].health.sent(start)
	}
	if d := p.Offer(request(start), start); d.Verdict != Placed {
		t.Errorf("all suspects: %+v, want placed", d)
	}
}

func TestMisdirectedServerRestsUntilNews(t *testing.T) {
	p := newPlacer(1)
	d := p.Offer(request(start), start)
	p.Ended(d.Server.Instance, 900, false, Misdirected, 0, start)
	if d := p.Offer(request(start), start); d.Verdict == Placed {
		t.Error("placed at a server whose version is in doubt")
	}
	p.SetServed("i-0", 1, 2, time.Time{})
	if d := p.Offer(request(start), start); d.Verdict != Placed || d.Version != 2 {
		t.Errorf("after the agent's word: %+v, want placed for version 2", d)
	}
}

// A server comes back empty while the others are full, and everybody waits:
// what it can't read in time goes to it later.
func TestReturnedServerIsNotFlooded(t *testing.T) {
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
	// 2 passes of 42 ms and 30 ms for each prompt leave room for a few within 400 ms.
	if placed < 4 || placed > 10 {
		t.Errorf("%d requests were placed at once, want as many as can be read in time", placed)
	}
	if p.Waiting() == 0 {
		t.Error("nothing waits for the prompts to be read")
	}
	p.Began("i-0", placed*900)
	if d := p.Tick(start.Add(100 * time.Millisecond)); len(d) == 0 || d[0].Verdict != Placed {
		t.Errorf("after the prompts were read: %+v, want further placements", d)
	}
}

// Long answers keep away from a server that changes its version soon.
func TestLongAnswersAvoidClosingServer(t *testing.T) {
	p := newPlacer(2)
	p.SetServed("i-0", 1, 1, start.Add(500*time.Millisecond))
	long := request(start)
	long.AnswerTokens = 300
	if d := p.Offer(long, start); d.Server.Instance != "i-1" {
		t.Errorf("a long answer was placed at %s, want i-1", d.Server.Instance)
	}
	short := request(start)
	short.AnswerTokens = 6
	if d := p.Offer(short, start); d.Server.Instance != "i-0" {
		t.Errorf("a short answer was placed at %s, want i-0", d.Server.Instance)
	}
}
