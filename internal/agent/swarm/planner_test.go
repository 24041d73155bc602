package swarm

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/bitset"
)

// harness wraps a planner and keeps the effects of its last step.
type harness struct {
	*Planner
	now     time.Time
	effects []Effect
}

func testManifest(version string, digests ...string) mulberryspool.Manifest {
	manifest := mulberryspool.Manifest{Version: version, Digest: mulberryspool.Digest("m-" + version), OriginPath: version}
	for _, d := range digests {
		manifest.Chunks = append(manifest.Chunks, mulberryspool.Chunk{Digest: mulberryspool.Digest(d), Size: 10})
		manifest.Size += 10
	}
	return manifest
}

func numberedNames(prefix string, count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("%s%03d", prefix, i)
	}
	return names
}

func newMember(name, region string) Member {
	return Member{Instance: mulberryspool.InstanceID(name), Region: region, Pool: "models"}
}

func newHarness(self Member, others ...Member) *harness {
	h := &harness{Planner: &Planner{Self: self, Seed: 1}, now: time.Unix(1000, 0)}
	h.step(Members{Live: append([]Member{self}, others...)})
	return h
}

func (h *harness) step(events ...Event) {
	h.effects = h.Step(h.now, events...)
}

// advance advances the time in small steps, with a tick at each, and collects all
// effects.
func (h *harness) advance(total time.Duration) {
	const tick = 50 * time.Millisecond
	var all []Effect
	for range total / tick {
		h.now = h.now.Add(tick)
		h.step(Tick{})
		all = append(all, h.effects...)
	}
	h.effects = all
}

func effectsOf[T Effect](h *harness) []T {
	var found []T
	for _, e := range h.effects {
		if t, ok := e.(T); ok {
			found = append(found, t)
		}
	}
	return found
}

func (h *harness) fetches(kind SourceKind) []Fetch {
	return slices.DeleteFunc(effectsOf[Fetch](h), func(f Fetch) bool { return f.Source.Kind != kind })
}

// answerAnnouncements answers the announcements of the last step as if all other
// agents held the given set.
func (h *harness) answerAnnouncements(held bitset.Set) {
	var events []Event
	for _, a := range effectsOf[Announce](h) {
		events = append(events, Have{Instance: a.Instance, Manifest: a.Manifest, Held: held, Announced: a.Held})
	}
	h.step(events...)
}

func fullSet(size int) bitset.Set {
	set := bitset.New(size)
	for i := range size {
		set.Add(i)
	}
	return set
}

// Guards against waiting for a dead owner as long as for a slow one. Here a
// takeover from a slow owner would take a minute; the test runs for 20 s.
func TestSuccessorTakesOverFromDeadOwner(t *testing.T) {
	manifest := testManifest("v1", numberedNames("c", 16)...)
	h := newHarness(newMember("a", "east"), newMember("b", "east"))
	h.Planner = &Planner{Self: h.Self, Limits: Limits{OriginBias: 1}}
	h.step(Members{Live: []Member{newMember("a", "east"), newMember("b", "east")}})
	h.step(Start{Manifest: manifest, Held: bitset.New(16)})
	h.answerAnnouncements(bitset.New(16))
	fromOrigin := len(h.fetches(FromOrigin))
	if fromOrigin == 0 || fromOrigin > DefaultOriginPipeline {
		t.Fatalf("%d chunks are requested from the origin, want 1 to %d", fromOrigin, DefaultOriginPipeline)
	}
	// b is dead: every announcement to it fails.
	fetched := map[mulberryspool.Digest]bool{}
	for range 400 {
		var events []Event
		for _, f := range effectsOf[Fetch](h) {
			fetched[f.Chunk.Digest] = true
			events = append(events, Fetched{Attempt: f.Attempt, Chunk: f.Chunk.Digest})
		}
		for _, a := range effectsOf[Announce](h) {
			events = append(events, AnnounceFailed{Instance: a.Instance})
		}
		h.now = h.now.Add(50 * time.Millisecond)
		h.step(append(events, Tick{})...)
	}
	if h.Missing() != 0 || len(fetched) != 16 {
		t.Fatalf("%d chunks are missing, %d were fetched, want 0 and 16", h.Missing(), len(fetched))
	}
}

// Guards against successors that read from the origin while the owner may still
// make progress, and against an OriginBias that has no effect.
func TestOriginBiasDelaysTakeover(t *testing.T) {
	waits := map[float64]time.Duration{}
	for _, bias := range []float64{0, 1} {
		manifest := testManifest("v1", numberedNames("c", 16)...)
		h := newHarness(newMember("a", "east"), newMember("b", "east"))
		h.Planner = &Planner{Self: h.Self, Limits: Limits{OriginBias: bias, OriginPipeline: 100}}
		h.step(Members{Live: []Member{newMember("a", "east"), newMember("b", "east")}})
		h.step(Start{Manifest: manifest, Held: bitset.New(16)})
		h.answerAnnouncements(bitset.New(16))
		fromOrigin := len(h.fetches(FromOrigin))
		began := h.now
		for len(waits) == 0 || waits[bias] == 0 {
			h.now = h.now.Add(100 * time.Millisecond)
			h.step(Tick{})
			fromOrigin += len(h.fetches(FromOrigin))
			h.answerNoneHeld()
			if fromOrigin += len(h.fetches(FromOrigin)); fromOrigin == 16 {
				waits[bias] = h.now.Sub(began)
			}
			if h.now.Sub(began) > time.Hour {
				t.Fatal("the chunks are not requested from the origin within an hour")
			}
		}
	}
	if waits[0] < DefaultMinTakeoverDelay || waits[1] < DefaultMaxTakeoverDelay {
		t.Errorf("takeover after %v with bias 0 and %v with bias 1, want at least %v and %v",
			waits[0], waits[1], DefaultMinTakeoverDelay, DefaultMaxTakeoverDelay)
	}
	if waits[0] >= waits[1] {
		t.Errorf("takeover after %v with bias 0, not before %v with bias 1", waits[0], waits[1])
	}
}

// answerNoneHeld answers announcements with an empty set and reports progress of
// all running fetches.
func (h *harness) answerNoneHeld() {
	var events []Event
	for _, a := range effectsOf[Announce](h) {
		events = append(events, Have{Instance: a.Instance, Manifest: a.Manifest, Held: bitset.New(16), Announced: a.Held})
	}
	for id := range h.attempts {
		events = append(events, Progressed{Attempt: id})
	}
	h.step(events...)
}

// Guards against a chunk that crosses into a region more than once, and against
// crossings that all start from the same region.
func TestEachChunkCrossesOnceIntoEachRegion(t *testing.T) {
	const count = 300
	var members []Member
	for i := range 12 {
		members = append(members, newMember(fmt.Sprintf("agent%d", i), fmt.Sprintf("region%d", i%3)))
	}
	manifest := testManifest("v1", numberedNames("c", count)...)
	pairs := map[string]int{}
	fromOrigin, crossings := 0, 0
	for _, self := range members {
		h := newHarness(self, members...)
		h.step(Start{Manifest: manifest, Held: bitset.New(count)})
		for _, c := range slices.Clone(h.missingChunks) {
			if c.role.rank > 0 {
				continue
			}
			if c.role.regionIndex == 0 {
				fromOrigin++
				continue
			}
			crossings++
			h.step(Fetched{Chunk: c.Digest})
			announcements := effectsOf[Announce](h)
			for _, next := range h.downstream(c.role) {
				if !slices.ContainsFunc(announcements, func(a Announce) bool { return a.Instance == next.instance }) {
					t.Fatalf("%s does not announce to %s chunk %s", self.Instance, next.instance, c.Digest)
				}
			}
			pairs[h.upstream(c.role).region+">"+self.Region]++
		}
	}
	if fromOrigin != count || crossings != 2*count {
		t.Errorf("%d chunks are read from the origin and %d cross into a region, want %d and %d", fromOrigin, crossings, count, 2*count)
	}
	// An even share of the six directions is 100 crossings. A count below 75 is far
	// outside of the random variation of an even hash.
	for _, pair := range []string{"region0>region1", "region1>region2", "region2>region0"} {
		if pairs[pair] < 75 {
			t.Errorf("%s carries %d of %d crossings, want about a sixth", pair, pairs[pair], crossings)
		}
	}
}

// Guards against waiting forever on a connection that sends nothing.
func TestStalledFetchIsRetriedAtAnotherPeer(t *testing.T) {
	manifest := testManifest("v1", "c0")
	h := newHarness(newMember("a", "east"), newMember("b", "east"), newMember("c", "east"))
	h.step(Start{Manifest: manifest, Held: bitset.New(1)})
	h.answerAnnouncements(fullSet(1))
	first := h.fetches(FromPeer)
	if len(first) != 1 {
		t.Fatalf("%d fetches from peers, want 1", len(first))
	}
	h.advance(DefaultProgressTimeout + time.Second)
	if cancelled := effectsOf[Cancel](h); len(cancelled) == 0 || cancelled[0].Attempt != first[0].Attempt {
		t.Fatalf("cancelled attempts are %v, want %d first", cancelled, first[0].Attempt)
	}
	second := h.fetches(FromPeer)
	if len(second) == 0 || second[0].Source == first[0].Source {
		t.Fatalf("fetches after the stall are %v, want one from another agent than %v", second, first[0].Source)
	}
}

// Guards against a transfer that waits for a slow read from the origin although a peer has
// the chunk by then, and against giving that read up before the peer has delivered.
func TestSlowOriginReadIsRepeatedAtPeer(t *testing.T) {
	manifest := testManifest("v1", "c0", "c1")
	h := newHarness(newMember("a", "east"), newMember("b", "east"))
	first := bitset.New(2)
	first.Add(0)
	h.step(Start{Manifest: manifest, Held: bitset.New(2)})
	h.answerAnnouncements(first)
	var slow []Fetch
	for range 1000 {
		for _, f := range h.fetches(FromPeer) {
			h.now = h.now.Add(50 * time.Millisecond)
			h.step(Fetched{Attempt: f.Attempt, Chunk: f.Chunk.Digest})
		}
		if slow = h.fetches(FromOrigin); len(slow) > 0 {
			break
		}
		h.answerAnnouncements(first)
		if slow = h.fetches(FromOrigin); len(slow) > 0 {
			break
		}
		h.now = h.now.Add(50 * time.Millisecond)
		h.step(Tick{})
	}
	if len(slow) != 1 || h.Missing() != 1 {
		t.Fatalf("%d fetches from the origin, %d chunks are missing, want 1 and 1", len(slow), h.Missing())
	}
	h.step(Have{Instance: "b", Manifest: manifest.Digest, Held: fullSet(2)})
	repeated := h.fetches(FromPeer)
	for range 4 {
		h.advance(DefaultProgressTimeout / 2)
		if cancelled := effectsOf[Cancel](h); len(cancelled) > 0 {
			t.Fatalf("attempts %v are cancelled before another one has ended", cancelled)
		}
		repeated = append(repeated, h.fetches(FromPeer)...)
		h.step(Progressed{Attempt: slow[0].Attempt})
		for _, f := range repeated {
			h.step(Progressed{Attempt: f.Attempt})
		}
	}
	if len(repeated) != 1 || repeated[0].Chunk.Digest != slow[0].Chunk.Digest {
		t.Fatalf("fetches from the peer are %v, want one of chunk %s", repeated, slow[0].Chunk.Digest)
	}
	h.step(Fetched{Attempt: repeated[0].Attempt, Chunk: repeated[0].Chunk.Digest})
	if cancelled := effectsOf[Cancel](h); len(cancelled) != 1 || cancelled[0].Attempt != slow[0].Attempt || h.Missing() != 0 {
		t.Errorf("cancelled attempts are %v and %d chunks are missing, want attempt %d and none", cancelled, h.Missing(), slow[0].Attempt)
	}
}

// Guards against an agent that keeps asking a peer that sends corrupt data, that
// never asks it again, or that records no event naming the peer.
func TestCorruptPeerIsReportedAvoidedAndRetried(t *testing.T) {
	manifest := testManifest("v1", numberedNames("c", 4)...)
	h := newHarness(newMember("a", "east"), newMember("b", "east"))
	h.step(Start{Manifest: manifest, Held: bitset.New(4)})
	h.answerAnnouncements(fullSet(4))
	first := h.fetches(FromPeer)
	if len(first) == 0 {
		t.Fatal("no chunk is fetched from the peer")
	}
	h.step(Failed{Attempt: first[0].Attempt, Reason: WrongDigest, Err: errors.New("digest differs")})
	records := effectsOf[RecordEvent](h)
	if len(records) != 1 || records[0].Event.Kind != mulberryspool.EventChunkCorrupted || records[0].Event.Peer != "b" {
		t.Fatalf("events are %+v, want one chunkCorrupted that names b", records)
	}
	for _, f := range first[1:] {
		h.step(Failed{Attempt: f.Attempt, Reason: Unreachable})
	}
	h.Limits.UnreachableBackoff = 0
	h.advance(DefaultCorruptBackoff - time.Second)
	if again := h.fetches(FromPeer); len(again) != 0 {
		t.Fatalf("%d chunks are requested from the corrupt peer during its backoff", len(again))
	}
	h.advance(2 * time.Second)
	if h.Missing() > 0 && len(h.fetches(FromPeer)) == 0 {
		t.Fatal("no chunk is requested from the peer after its backoff")
	}
}

// Guards against dropping the chunks that two versions share when the version
// changes during a transfer, and against continuing fetches that are not needed
// any more.
func TestNewManifestKeepsSharedChunks(t *testing.T) {
	h := newHarness(newMember("a", "east"))
	h.step(Start{Manifest: testManifest("v1", "shared", "old"), Held: bitset.New(2)})
	running := map[mulberryspool.Digest]Attempt{}
	for _, f := range h.fetches(FromOrigin) {
		running[f.Chunk.Digest] = f.Attempt
	}
	if len(running) != 2 {
		t.Fatalf("running fetches are %v, want 2", running)
	}
	h.step(Start{Manifest: testManifest("v2", "new", "shared"), Held: bitset.New(2)})
	if cancelled := effectsOf[Cancel](h); len(cancelled) != 1 || cancelled[0].Attempt != running["old"] {
		t.Fatalf("cancelled attempts are %v, want only %d", cancelled, running["old"])
	}
	started := h.fetches(FromOrigin)
	if len(started) != 1 || started[0].Chunk.Digest != "new" {
		t.Fatalf("new fetches are %v, want only that of the new chunk", started)
	}
	h.step(Fetched{Attempt: running["shared"], Chunk: "shared"}, Fetched{Attempt: started[0].Attempt, Chunk: "new"})
	if done := effectsOf[Complete](h); len(done) != 1 || done[0].Manifest != "m-v2" {
		t.Fatalf("completions are %v, want that of v2", done)
	}
}

// Guards against counting the chunks that an agent has lost in a restart.
func TestRestartedPeerHoldsNothing(t *testing.T) {
	h := newHarness(newMember("a", "east"), newMember("b", "east"))
	h.Planner.Limits.Pipeline = 1
	h.step(Start{Manifest: testManifest("v1", numberedNames("c", 4)...), Held: bitset.New(4)})
	h.answerAnnouncements(fullSet(4))
	h.step(Have{Instance: "b", Manifest: "m-v1", Held: bitset.New(4)})
	for _, c := range h.distinctChunks {
		if c.holders != 0 {
			t.Fatalf("chunk %s counts %d holders after the restart, want 0", c.Digest, c.holders)
		}
	}
}

// Guards against a region that waits too long for other regions while it is
// partitioned from them. Querying all 100 agents, at 2 s each for six chunks at a
// time, would take 33 s, and the first agents would be queried again before that.
func TestPartitionedRegionFetchesFromOrigin(t *testing.T) {
	var members []Member
	for i := range 100 {
		members = append(members, newMember(fmt.Sprintf("far%d", i), "west"))
	}
	h := newHarness(newMember("a", "east"))
	h.Planner = &Planner{Self: h.Self, Limits: Limits{OriginBias: 1}}
	h.step(Members{Live: members})
	h.step(Start{Manifest: testManifest("v1", numberedNames("c", 6)...), Held: bitset.New(6)})
	failures := map[int][]Event{}
	for tick := 0; h.Missing() > 0 && tick < 300; tick++ {
		events := append(failures[tick], Tick{})
		for _, f := range effectsOf[Fetch](h) {
			events = append(events, Fetched{Attempt: f.Attempt, Chunk: f.Chunk.Digest})
		}
		for _, a := range effectsOf[Announce](h) {
			failures[tick+20] = append(failures[tick+20], AnnounceFailed{Instance: a.Instance})
		}
		h.now = h.now.Add(100 * time.Millisecond)
		h.step(events...)
	}
	if h.Missing() > 0 {
		t.Fatalf("%d chunks are missing after 30 s of partition from the other region", h.Missing())
	}
	h.step(Have{Instance: "far0", Manifest: "m-v1", Held: fullSet(6)})
	if len(h.partitions) != 0 {
		t.Fatal("the region still counts as partitioned after one of its agents answered")
	}
}

// Guards against a successor that reads a chunk from the origin although the owner
// holds it: the successor must query the owner first.
func TestSuccessorQueriesOwnerBeforeTakeover(t *testing.T) {
	h := newHarness(newMember("a", "east"))
	h.Planner = &Planner{Self: h.Self, Limits: Limits{AnnounceInterval: time.Hour, OriginPipeline: 100}}
	h.step(Members{Live: []Member{newMember("b", "east")}})
	h.step(Start{Manifest: testManifest("v1", numberedNames("c", 16)...), Held: bitset.New(16)})
	h.answerAnnouncements(bitset.New(16))
	fromOrigin := len(h.fetches(FromOrigin))
	for range 60 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.step(Tick{})
		fromOrigin += len(h.fetches(FromOrigin))
		h.answerAnnouncements(fullSet(16))
	}
	if fromOrigin == 16 {
		t.Fatal("all chunks are read from the origin, although the other agent holds them")
	}
}

// Guards against concurrent fetches on a narrow link: live requests must wait for
// one chunk at most.
func TestSlowFetchesRunOneAtATime(t *testing.T) {
	p := &Planner{Limits: Limits{SlowFetchThreshold: 200 * time.Millisecond, MaxFetches: 5}}
	p.attempts = map[Attempt]*attempt{1: {}}
	p.limits = p.Limits.WithDefaults()
	for _, c := range []struct {
		mean time.Duration
		want bool
	}{{100 * time.Millisecond, true}, {300 * time.Millisecond, false}} {
		if p.meanFetchTime = c.mean; p.canStartFetch() != c.want {
			t.Errorf("with a mean fetch time of %v a second fetch may start: %v, want %v", c.mean, p.canStartFetch(), c.want)
		}
	}
	for id := range Attempt(5) {
		p.attempts[id] = &attempt{}
	}
	if p.meanFetchTime = 0; p.canStartFetch() {
		t.Error("a fetch may start beyond the limit on all fetches")
	}
}

// Guards against an overload of the origin after an outage: when it recovers, the
// agents of a region must not all request the last missing chunks from it.
func TestSuccessorsDoNotOverloadRecoveredOrigin(t *testing.T) {
	const agents, count, outage = 10, 8, 6 * time.Second
	manifest := testManifest("v1", numberedNames("c", count)...)
	var members []Member
	for i := range agents {
		members = append(members, newMember(fmt.Sprintf("a%02d", i), "east"))
	}
	harnesses := make(map[mulberryspool.InstanceID]*harness)
	for _, m := range members {
		h := newHarness(m)
		h.Planner = &Planner{Self: m, Limits: Limits{
			Neighbours: 9, MinTakeoverDelay: 700 * time.Millisecond, MaxTakeoverDelay: 4 * time.Second, QueryInterval: 300 * time.Millisecond,
			AnnounceInterval: 200 * time.Millisecond, OriginBackoff: 150 * time.Millisecond, OriginBackoffMax: 250 * time.Millisecond,
		}}
		h.step(Members{Live: members})
		h.step(Start{Manifest: manifest, Held: bitset.New(count)})
		harnesses[m.Instance] = h
	}
	fetched := 0
	const tick = 50 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < outage+2*time.Second; elapsed += tick {
		for _, m := range members {
			h := harnesses[m.Instance]
			fetched += h.completeEffects(harnesses, elapsed > outage)
			h.now = h.now.Add(tick)
			h.step(Tick{})
		}
	}
	if fetched < count || fetched > 2*count {
		t.Errorf("%d chunks were read from the origin for %d chunks, want at most twice as many", fetched, count)
	}
}

// completeEffects completes all effects of a planner: announcements are answered
// with the chunks that the others hold, and fetches succeed, except those from the
// origin while it is down. It returns the number of chunks read from the origin.
func (h *harness) completeEffects(others map[mulberryspool.InstanceID]*harness, up bool) int {
	fetched := 0
	for {
		var events []Event
		for _, a := range effectsOf[Announce](h) {
			events = append(events, Have{Instance: a.Instance, Manifest: a.Manifest, Held: others[a.Instance].held.Clone(), Announced: a.Held})
		}
		for _, f := range effectsOf[Fetch](h) {
			switch {
			case f.Source.Kind == FromOrigin && !up:
				events = append(events, Failed{Attempt: f.Attempt, Reason: Unreachable})
			default:
				if f.Source.Kind == FromOrigin {
					fetched++
				}
				events = append(events, Fetched{Attempt: f.Attempt, Chunk: f.Chunk.Digest})
			}
		}
		if len(events) == 0 {
			return fetched
		}
		h.step(events...)
	}
}

// Guards against a suspended transfer that keeps asking for chunks, that cancels what it has
// asked for, or that reads the chunks of all other agents from the origin when it is resumed.
func TestSuspendedTransferStartsNoFetch(t *testing.T) {
	const count = 16
	self, other := newMember("a", "east"), newMember("b", "east")
	h := newHarness(self, other)
	h.Planner = &Planner{Self: self, Limits: Limits{OriginPipeline: 2, OriginBias: 1, MaxTakeoverDelay: 4 * time.Second, ProgressTimeout: time.Minute}}
	h.step(Members{Live: []Member{self, other}})
	h.step(Start{Manifest: testManifest("v1", numberedNames("c", count)...), Held: bitset.New(count)})
	h.answerAnnouncements(bitset.New(count))
	running := h.fetches(FromOrigin)
	if len(running) != 2 {
		t.Fatalf("%d fetches run at the start, want 2", len(running))
	}
	h.step(Suspend{Suspended: true})
	h.step(Fetched{Attempt: running[0].Attempt, Chunk: running[0].Chunk.Digest})
	h.advance(10 * time.Second)
	if started, cancelled := effectsOf[Fetch](h), effectsOf[Cancel](h); len(started) > 0 || len(cancelled) > 0 {
		t.Fatalf("%d fetches are started and %d cancelled while suspended, want none", len(started), len(cancelled))
	}
	owned := 0
	for _, c := range h.missingChunks {
		if c.role.rank == 0 && c.runningAttempts == 0 {
			owned++
		}
	}
	idle := newHarness(other)
	idle.step(Start{Manifest: h.manifest, Held: bitset.New(count)})
	h.step(Suspend{})
	fetched := 0
	for range 30 {
		fetched += h.completeEffects(map[mulberryspool.InstanceID]*harness{"b": idle}, true)
		h.now = h.now.Add(100 * time.Millisecond)
		h.step(Tick{})
	}
	if fetched != owned {
		t.Errorf("%d chunks are read from the origin within 3 s of going on, want the %d that this agent owns", fetched, owned)
	}
}
