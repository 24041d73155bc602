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

// bench is one planner with the effects of its last step.
type bench struct {
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

func numbered(prefix string, count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("%s%03d", prefix, i)
	}
	return names
}

func member(name, region string) Member {
	return Member{Instance: mulberryspool.InstanceID(name), Region: region, Pool: "models"}
}

func newBench(self Member, others ...Member) *bench {
	b := &bench{Planner: &Planner{Self: self, Seed: 1}, now: time.Unix(1000, 0)}
	b.step(Members{Live: append([]Member{self}, others...)})
	return b
}

func (b *bench) step(events ...Event) {
	b.effects = b.Step(b.now, events...)
}

// pass lets time pass in small steps, with a tick at each, and keeps all effects.
func (b *bench) pass(total time.Duration) {
	const tick = 50 * time.Millisecond
	var all []Effect
	for range total / tick {
		b.now = b.now.Add(tick)
		b.step(Tick{})
		all = append(all, b.effects...)
	}
	b.effects = all
}

func effectsOf[T Effect](b *bench) []T {
	var found []T
	for _, e := range b.effects {
		if t, ok := e.(T); ok {
			found = append(found, t)
		}
	}
	return found
}

func (b *bench) fetches(kind SourceKind) []Fetch {
	return slices.DeleteFunc(effectsOf[Fetch](b), func(f Fetch) bool { return f.Source.Kind != kind })
}

// answer ends the tells of the last step: all agents hold the set.
func (b *bench) answer(held bitset.Set) {
	var events []Event
	for _, t := range effectsOf[Tell](b) {
		events = append(events, Have{Instance: t.Instance, Manifest: t.Manifest, Held: held, Told: t.Held})
	}
	b.step(events...)
}

func full(size int) bitset.Set {
	set := bitset.New(size)
	for i := range size {
		set.Add(i)
	}
	return set
}

// Guards against waiting for a dead fetcher as long as for a slow one: here
// that would be a minute, the run lasts 20 s.
func TestSuccessorTakesOverFromDeadFetcher(t *testing.T) {
	manifest := testManifest("v1", numbered("c", 16)...)
	b := newBench(member("a", "east"), member("b", "east"))
	b.Planner = &Planner{Self: b.Self, Limits: Limits{OriginBias: 1}}
	b.step(Members{Live: []Member{member("a", "east"), member("b", "east")}})
	b.step(Start{Manifest: manifest, Held: bitset.New(16)})
	b.answer(bitset.New(16))
	own := len(b.fetches(FromOrigin))
	if own == 0 || own > DefaultOriginPipeline {
		t.Fatalf("%d chunks are asked for at the origin, want up to %d", own, DefaultOriginPipeline)
	}
	// b never answers again: each message to it is lost.
	asked := map[mulberryspool.Digest]bool{}
	for range 400 {
		var events []Event
		for _, f := range effectsOf[Fetch](b) {
			asked[f.Chunk.Digest] = true
			events = append(events, Fetched{Attempt: f.Attempt, Chunk: f.Chunk.Digest})
		}
		for _, tell := range effectsOf[Tell](b) {
			events = append(events, Lost{Instance: tell.Instance})
		}
		b.now = b.now.Add(50 * time.Millisecond)
		b.step(append(events, Tick{})...)
	}
	if b.Missing() != 0 || len(asked) != 16 {
		t.Fatalf("%d chunks are missing, %d were fetched, want 0 and 16", b.Missing(), len(asked))
	}
}

// Guards against successors that ask the origin while the fetcher makes
// progress, and against a setting OriginBias without effect.
func TestOriginBiasDelaysTakeover(t *testing.T) {
	waits := map[float64]time.Duration{}
	for _, bias := range []float64{0, 1} {
		manifest := testManifest("v1", numbered("c", 16)...)
		b := newBench(member("a", "east"), member("b", "east"))
		b.Planner = &Planner{Self: b.Self, Limits: Limits{OriginBias: bias, OriginPipeline: 100}}
		b.step(Members{Live: []Member{member("a", "east"), member("b", "east")}})
		b.step(Start{Manifest: manifest, Held: bitset.New(16)})
		b.answer(bitset.New(16))
		own := len(b.fetches(FromOrigin))
		began := b.now
		for len(waits) == 0 || waits[bias] == 0 {
			b.now = b.now.Add(100 * time.Millisecond)
			b.step(Tick{})
			own += len(b.fetches(FromOrigin))
			b.answerKeepingEffects()
			if own += len(b.fetches(FromOrigin)); own == 16 {
				waits[bias] = b.now.Sub(began)
			}
			if b.now.Sub(began) > time.Hour {
				t.Fatal("the origin is not asked within an hour")
			}
		}
	}
	if waits[0] < DefaultTakeoverShortest || waits[1] < DefaultTakeoverLongest {
		t.Errorf("takeover after %v with bias 0 and %v with bias 1, want at least %v and %v",
			waits[0], waits[1], DefaultTakeoverShortest, DefaultTakeoverLongest)
	}
	if waits[0] >= waits[1] {
		t.Errorf("takeover after %v with bias 0, not before %v with bias 1", waits[0], waits[1])
	}
}

// answerKeepingEffects answers tells with an empty set and keeps running fetches alive.
func (b *bench) answerKeepingEffects() {
	var events []Event
	for _, t := range effectsOf[Tell](b) {
		events = append(events, Have{Instance: t.Instance, Manifest: t.Manifest, Held: bitset.New(16), Told: t.Held})
	}
	for id := range b.attempts {
		events = append(events, Progressed{Attempt: id})
	}
	b.step(events...)
}

// Guards against a chunk that crosses between regions more than once per
// region, or from one region only.
func TestEachChunkCrossesOnceIntoEachRegion(t *testing.T) {
	const count = 300
	var members []Member
	for i := range 12 {
		members = append(members, member(fmt.Sprintf("agent%d", i), fmt.Sprintf("region%d", i%3)))
	}
	manifest := testManifest("v1", numbered("c", count)...)
	pairs := map[string]int{}
	origin, into := 0, 0
	for _, self := range members {
		b := newBench(self, members...)
		b.step(Start{Manifest: manifest, Held: bitset.New(count)})
		for _, c := range slices.Clone(b.lacking) {
			if c.role.rank > 0 {
				continue
			}
			if c.role.own == 0 {
				origin++
				continue
			}
			into++
			b.step(Fetched{Chunk: c.Digest})
			tells := effectsOf[Tell](b)
			for _, next := range b.after(c.role) {
				if !slices.ContainsFunc(tells, func(tell Tell) bool { return tell.Instance == next.instance }) {
					t.Fatalf("%s does not tell %s of chunk %s", self.Instance, next.instance, c.Digest)
				}
			}
			pairs[b.before(c.role).region+">"+self.Region]++
		}
	}
	if origin != count || into != 2*count {
		t.Errorf("%d chunks come from the origin and %d cross, want %d and %d", origin, into, count, 2*count)
	}
	// An even share of six directions is 100; a quarter less is far outside
	// of what an even hash gives by chance.
	for _, pair := range []string{"region0>region1", "region1>region2", "region2>region0"} {
		if pairs[pair] < 75 {
			t.Errorf("%s carries %d of %d crossings, want about a sixth", pair, pairs[pair], into)
		}
	}
}

// Guards against waiting on a silent connection for good.
func TestStalledFetchGoesElsewhere(t *testing.T) {
	manifest := testManifest("v1", "c0")
	b := newBench(member("a", "east"), member("b", "east"), member("c", "east"))
	b.step(Start{Manifest: manifest, Held: bitset.New(1)})
	b.answer(full(1))
	first := b.fetches(FromPeer)
	if len(first) != 1 {
		t.Fatalf("%d fetches from peers, want 1", len(first))
	}
	b.pass(DefaultProgressTimeout + time.Second)
	if cancelled := effectsOf[Cancel](b); len(cancelled) == 0 || cancelled[0].Attempt != first[0].Attempt {
		t.Fatalf("cancelled attempts are %v, want first %d", cancelled, first[0].Attempt)
	}
	second := b.fetches(FromPeer)
	if len(second) == 0 || second[0].Source == first[0].Source {
		t.Fatalf("fetches after the stall are %v, want one from another agent than %v", second, first[0].Source)
	}
}

// Guards against an agent that goes on asking a peer that sends bad data, that
// never asks it again, or that does not name it.
func TestBadPeerIsNamedAvoidedAndTriedAgain(t *testing.T) {
	manifest := testManifest("v1", numbered("c", 4)...)
	b := newBench(member("a", "east"), member("b", "east"))
	b.step(Start{Manifest: manifest, Held: bitset.New(4)})
	b.answer(full(4))
	first := b.fetches(FromPeer)
	if len(first) == 0 {
		t.Fatal("no chunk is fetched from the peer")
	}
	b.step(Failed{Attempt: first[0].Attempt, Reason: WrongDigest, Err: errors.New("digest differs")})
	records := effectsOf[Record](b)
	if len(records) != 1 || records[0].Event.Kind != mulberryspool.EventChunkCorrupted || records[0].Event.Peer != "b" {
		t.Fatalf("events are %+v, want one chunkCorrupted that names b", records)
	}
	for _, f := range first[1:] {
		b.step(Failed{Attempt: f.Attempt, Reason: Unreachable})
	}
	b.Limits.SuspectFor = 0
	b.pass(DefaultAvoidFor - time.Second)
	if again := b.fetches(FromPeer); len(again) != 0 {
		t.Fatalf("%d chunks are asked for at the bad peer while it is avoided", len(again))
	}
	b.pass(2 * time.Second)
	if b.Missing() > 0 && len(b.fetches(FromPeer)) == 0 {
		t.Fatal("the peer is not asked again")
	}
}

// Guards against dropping what two versions share when the version changes
// during a transfer, and against finishing fetches that nobody wants.
func TestNewManifestKeepsSharedChunks(t *testing.T) {
	b := newBench(member("a", "east"))
	b.step(Start{Manifest: testManifest("v1", "shared", "old"), Held: bitset.New(2)})
	running := map[mulberryspool.Digest]Attempt{}
	for _, f := range b.fetches(FromOrigin) {
		running[f.Chunk.Digest] = f.Attempt
	}
	if len(running) != 2 {
		t.Fatalf("running fetches are %v, want 2", running)
	}
	b.step(Start{Manifest: testManifest("v2", "new", "shared"), Held: bitset.New(2)})
	if cancelled := effectsOf[Cancel](b); len(cancelled) != 1 || cancelled[0].Attempt != running["old"] {
		t.Fatalf("cancelled attempts are %v, want only %d", cancelled, running["old"])
	}
	started := b.fetches(FromOrigin)
	if len(started) != 1 || started[0].Chunk.Digest != "new" {
		t.Fatalf("new fetches are %v, want only that of the new chunk", started)
	}
	b.step(Fetched{Attempt: running["shared"], Chunk: "shared"}, Fetched{Attempt: started[0].Attempt, Chunk: "new"})
	if done := effectsOf[Complete](b); len(done) != 1 || done[0].Manifest != "m-v2" {
		t.Fatalf("completions are %v, want that of v2", done)
	}
}

// Guards against counting chunks of an agent that lost them in a restart.
func TestRestartedPeerHoldsNothing(t *testing.T) {
	b := newBench(member("a", "east"), member("b", "east"))
	b.Planner.Limits.Pipeline = 1
	b.step(Start{Manifest: testManifest("v1", numbered("c", 4)...), Held: bitset.New(4)})
	b.answer(full(4))
	b.step(Have{Instance: "b", Manifest: "m-v1", Held: bitset.New(4)})
	for _, c := range b.wanted {
		if c.holders != 0 {
			t.Fatalf("chunk %s counts %d holders after the restart, want 0", c.Digest, c.holders)
		}
	}
}

// Guards against a region that waits for the others while it is cut off from
// them: asking all 100 of their agents, 2 s each for six chunks at a time,
// would take 33 s, and the first ones would be asked again before that.
func TestPartedRegionTurnsToOrigin(t *testing.T) {
	var members []Member
	for i := range 100 {
		members = append(members, member(fmt.Sprintf("far%d", i), "west"))
	}
	b := newBench(member("a", "east"))
	b.Planner = &Planner{Self: b.Self, Limits: Limits{OriginBias: 1}}
	b.step(Members{Live: members})
	b.step(Start{Manifest: testManifest("v1", numbered("c", 6)...), Held: bitset.New(6)})
	lost := map[int][]Event{}
	for tick := 0; b.Missing() > 0 && tick < 300; tick++ {
		events := append(lost[tick], Tick{})
		for _, f := range effectsOf[Fetch](b) {
			events = append(events, Fetched{Attempt: f.Attempt, Chunk: f.Chunk.Digest})
		}
		for _, tell := range effectsOf[Tell](b) {
			lost[tick+20] = append(lost[tick+20], Lost{Instance: tell.Instance})
		}
		b.now = b.now.Add(100 * time.Millisecond)
		b.step(events...)
	}
	if b.Missing() > 0 {
		t.Fatalf("%d chunks are missing after 30 s in which the other region is cut off", b.Missing())
	}
	b.step(Have{Instance: "far0", Manifest: "m-v1", Held: full(6)})
	if len(b.cut) != 0 {
		t.Fatal("the region still counts as cut off after one of its agents answered")
	}
}

// Guards against a successor that takes a chunk from the origin although the
// fetcher has it: the successor must ask first.
func TestSuccessorAsksBeforeTakeover(t *testing.T) {
	b := newBench(member("a", "east"))
	b.Planner = &Planner{Self: b.Self, Limits: Limits{TellInterval: time.Hour, OriginPipeline: 100}}
	b.step(Members{Live: []Member{member("b", "east")}})
	b.step(Start{Manifest: testManifest("v1", numbered("c", 16)...), Held: bitset.New(16)})
	b.answer(bitset.New(16))
	own := len(b.fetches(FromOrigin))
	for range 60 {
		b.now = b.now.Add(100 * time.Millisecond)
		b.step(Tick{})
		own += len(b.fetches(FromOrigin))
		b.answer(full(16))
	}
	if own == 16 {
		t.Fatal("all chunks are taken from the origin, although the other agent held them")
	}
}

// On a narrow link fetches follow each other, so that live requests wait for
// one chunk at the most.
func TestSlowFetchesFollowEachOther(t *testing.T) {
	p := &Planner{Limits: Limits{SlowFetch: 200 * time.Millisecond, Total: 5}}
	p.attempts = map[Attempt]*attempt{1: {}}
	p.limits = p.Limits.WithDefaults()
	for _, c := range []struct {
		mean time.Duration
		want bool
	}{{100 * time.Millisecond, true}, {300 * time.Millisecond, false}} {
		if p.duration = c.mean; p.room() != c.want {
			t.Errorf("with fetches of %v there is room for a second one: %v, want %v", c.mean, p.room(), c.want)
		}
	}
	for id := range Attempt(5) {
		p.attempts[id] = &attempt{}
	}
	if p.duration = 0; p.room() {
		t.Error("there is room beyond the bound on all fetches")
	}
}

// All agents of a region lack the last chunks when the origin goes down. When
// it is back, they must not all ask it for the same chunks.
func TestSuccessorsDoNotCrowdAnOriginThatReturns(t *testing.T) {
	const agents, count, down = 10, 8, 6 * time.Second
	manifest := testManifest("v1", numbered("c", count)...)
	var members []Member
	for i := range agents {
		members = append(members, member(fmt.Sprintf("a%02d", i), "east"))
	}
	benches := make(map[mulberryspool.InstanceID]*bench)
	for _, m := range members {
		b := newBench(m)
		b.Planner = &Planner{Self: m, Limits: Limits{
			Neighbours: 9, TakeoverShortest: 700 * time.Millisecond, TakeoverLongest: 4 * time.Second, ProbeWait: 300 * time.Millisecond,
			TellInterval: 200 * time.Millisecond, OriginRetry: 150 * time.Millisecond, OriginRetryMax: 250 * time.Millisecond,
		}}
		b.step(Members{Live: members})
		b.step(Start{Manifest: manifest, Held: bitset.New(count)})
		benches[m.Instance] = b
	}
	fetched := 0
	const tick = 50 * time.Millisecond
	for at := time.Duration(0); at < down+2*time.Second; at += tick {
		for _, m := range members {
			b := benches[m.Instance]
			fetched += b.exchange(benches, at > down)
			b.now = b.now.Add(tick)
			b.step(Tick{})
		}
	}
	if fetched < count || fetched > 2*count {
		t.Errorf("%d chunks were read from the origin for %d chunks, want at most twice as many", fetched, count)
	}
}

// exchange ends all that a planner began: tells are answered with what the
// others hold, and requests to the origin and to others succeed if it is up.
// It returns the number of chunks from the origin.
func (b *bench) exchange(others map[mulberryspool.InstanceID]*bench, up bool) int {
	fetched := 0
	for {
		var events []Event
		for _, t := range effectsOf[Tell](b) {
			events = append(events, Have{Instance: t.Instance, Manifest: t.Manifest, Held: others[t.Instance].held.Clone(), Told: t.Held})
		}
		for _, f := range effectsOf[Fetch](b) {
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
		b.step(events...)
	}
}
