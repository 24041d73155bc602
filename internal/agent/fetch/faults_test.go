package fetch

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/bitset"
	"github.com/mulberryspool/mulberryspool/internal/agent/staging"
	"github.com/mulberryspool/mulberryspool/internal/peer/chunks"
	"github.com/mulberryspool/mulberryspool/internal/peer/rpc"
)

const faultChunkBytes = 16 << 10

// blockedLink is a link that transfers nothing.
type blockedLink struct{}

func (blockedLink) Wait(ctx context.Context, _ int) error {
	<-ctx.Done()
	return ctx.Err()
}

// newFaultFleet returns a fleet and a version that takes about a second to read
// from the origin once.
func newFaultFleet(t *testing.T) (*fleet, mulberryspool.Manifest) {
	f := newFleet(t)
	content := newContent(3, 64*faultChunkBytes)
	f.origin.set("v1", content)
	f.origin.link.BytesPerSecond = int64(len(content))
	f.configure = func(x *Fetcher) {
		x.Limits.ProgressTimeout = 500 * time.Millisecond
		x.Limits.OriginBytesPerSecond = int64(len(content))
	}
	return f, manifestOf("v1", "v1", content, faultChunkBytes)
}

// stageInBackground stages the version on the agents in a goroutine.
func (f *fleet) stageInBackground(agents []*testAgent, manifest mulberryspool.Manifest) chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.stage(context.Background(), agents, manifest)
	}()
	return done
}

// waitFor polls until the condition is true.
func waitFor(condition func() bool) {
	for !condition() {
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against waiting for dead agents as long as for slow ones, which would
// take an hour here. One agent dies, or all agents of a failure domain die at the
// same time.
func TestFleetSurvivesDeadAgents(t *testing.T) {
	for name, killed := range map[string]func(i int) bool{
		"one agent":      func(i int) bool { return i == 0 },
		"failure domain": func(i int) bool { return i%3 == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			f, manifest := newFaultFleet(t)
			configure := f.configure
			f.configure = func(x *Fetcher) {
				configure(x)
				x.Limits.OriginBias, x.Limits.MaxTakeoverDelay = 1, time.Hour
			}
			done := f.stageInBackground(f.start(9), manifest)
			waitFor(func() bool { return f.origin.bytes.Load() > manifest.Size/4 })
			for i, a := range f.agents {
				if killed(i) {
					a.kill()
				}
			}
			<-done
		})
	}
}

// Guards against a fleet that waits forever for an agent whose uplink is stalled.
func TestFleetSurvivesStalledLink(t *testing.T) {
	f, manifest := newFaultFleet(t)
	configure := f.configure
	f.configure = func(x *Fetcher) {
		configure(x)
		if x.Identity.Instance == "agent-000" {
			x.Uplink = blockedLink{}
		}
	}
	<-f.stageInBackground(f.start(6), manifest)
}

// Guards against staging corrupt data from a peer, and against an event that does
// not name the peer.
func TestCorruptingPeerIsReported(t *testing.T) {
	f, manifest := newFaultFleet(t)
	corrupting := f.addAgent()
	allChunks := make([]byte, (len(manifest.Chunks)+7)/8)
	for i := range allChunks {
		allChunks[i] = 0xff
	}
	have := func(mulberryspool.ChunksHaveParams) mulberryspool.ChunksHaveResult {
		return mulberryspool.ChunksHaveResult{Have: allChunks}
	}
	corrupting.Endpoint.Handle = func(m rpc.Message) { _ = m.Reply(have(mulberryspool.ChunksHaveParams{})) }
	server := &chunks.Server{Clock: clockwork.NewRealClock(), ExchangeHave: have, Get: func(mulberryspool.Digest) ([]byte, bool) {
		return make([]byte, faultChunkBytes), true
	}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = corrupting.Endpoint.Serve(ctx, corrupting.control) }()
	go func() { _ = server.Serve(ctx, corrupting.Listener) }()
	healthy := f.start(5)
	f.stage(context.Background(), healthy, manifest)
	reported := false
	for _, a := range healthy {
		for _, e := range a.recorder.All() {
			if e.Kind != mulberryspool.EventChunkCorrupted || e.Peer != string(corrupting.Identity.Instance) {
				t.Fatalf("event %+v, want chunkCorrupted naming %s", e, corrupting.Identity.Instance)
			}
			reported = true
		}
	}
	if !reported {
		t.Fatal("no event names the corrupting peer")
	}
}

// Guards against staging a mix of two contents when the content at the origin is
// replaced during the transfer, and against a transfer that does not recover when
// the content is restored.
func TestReplacedOriginContentIsNeverMixed(t *testing.T) {
	f, manifest := newFaultFleet(t)
	content, _ := f.origin.content("v1")
	agents := f.start(3)
	done := f.stageInBackground(agents, manifest)
	waitFor(func() bool { return f.origin.bytes.Load() > manifest.Size/4 })
	f.origin.set("v1", newContent(4, len(content)))
	reported := func() bool {
		for _, a := range agents {
			for _, e := range a.recorder.All() {
				if e.Kind == mulberryspool.EventChunkCorrupted && e.Peer == "origin" {
					return true
				}
			}
		}
		return false
	}
	waitFor(reported)
	for _, a := range agents {
		if _, err := a.Open(manifest); !errors.Is(err, staging.ErrIncomplete) {
			t.Errorf("open on %s: error %v, want ErrIncomplete", a.Identity.Instance, err)
		}
	}
	select {
	case <-done:
		t.Error("the version is staged although the content at the origin was replaced")
	default:
	}
	f.origin.set("v1", content)
	<-done
}

// Guards against a fleet that still needs the origin after one copy was read, and
// against a replacement agent that does not get the version from its peers.
func TestOriginDownAfterOneCopy(t *testing.T) {
	f, manifest := newFaultFleet(t)
	done := f.stageInBackground(f.start(6), manifest)
	waitFor(func() bool { return f.origin.bytes.Load() >= manifest.Size })
	f.origin.down.Store(true)
	<-done
	f.agents[0].kill()
	<-f.agents[0].done
	f.stage(context.Background(), f.start(1), manifest)
}

// Guards against fetching shared chunks again, and against continuing the old
// transfer, when a new version arrives during a transfer.
func TestNewVersionDuringTransfer(t *testing.T) {
	f, manifest := newFaultFleet(t)
	content, _ := f.origin.content("v1")
	changed := append(newContent(5, len(content)/2), content[len(content)/2:]...)
	f.origin.set("v2", changed)
	next := manifestOf("v2", "v2", changed, faultChunkBytes)
	configure := f.configure
	f.configure = func(x *Fetcher) {
		configure(x)
		waitLong(x)
	}
	agents := f.start(3)
	first := make(chan error, len(agents))
	for _, a := range agents {
		go func() { first <- a.Stage(context.Background(), manifest) }()
	}
	waitFor(func() bool { return f.origin.bytes.Load() > manifest.Size/2 })
	f.stage(context.Background(), agents, next)
	for range agents {
		if err := <-first; !errors.Is(err, ErrSuperseded) {
			t.Errorf("the first transfer ended with %v, want ErrSuperseded", err)
		}
	}
	for _, a := range agents {
		if got := a.store.Bytes(); got != next.Size {
			t.Errorf("%s holds %d bytes, want only the new version with %d", a.Identity.Instance, got, next.Size)
		}
	}
	// Without sharing, the origin would serve half of the first version and all of
	// the second one.
	if got := f.origin.bytes.Load(); got >= manifest.Size/2+next.Size {
		t.Errorf("the origin served %d bytes, want less than %d", got, manifest.Size/2+next.Size)
	}
}

// Guards against chunks that are read again when a transfer is resumed that was replaced by one
// of a newer version, and against other agents that don't get them meanwhile.
func TestReplacedTransferKeepsItsChunks(t *testing.T) {
	f, manifest := newFaultFleet(t)
	content := newContent(5, int(manifest.Size))
	f.origin.set("v2", content)
	next := manifestOf("v2", "v2", content, faultChunkBytes)
	f.configure = func(x *Fetcher) { x.KeepSuperseded = true }
	agent := f.start(1)[0]
	first := make(chan error, 1)
	go func() { first <- agent.Stage(context.Background(), manifest) }()
	waitFor(func() bool { return f.origin.bytes.Load() > manifest.Size/2 })
	f.stage(context.Background(), []*testAgent{agent}, next)
	if err := <-first; err != nil && !errors.Is(err, ErrSuperseded) {
		t.Errorf("the first transfer ended with %v, want ErrSuperseded", err)
	}
	if held := agent.ExchangeHave(mulberryspool.ChunksHaveParams{Manifest: manifest.Digest}).Have; bitset.Set(held).Count() < len(manifest.Chunks)/4 {
		t.Errorf("%d of %d chunks of the replaced transfer are offered, want at least a quarter", bitset.Set(held).Count(), len(manifest.Chunks))
	}
	f.stage(context.Background(), []*testAgent{agent}, manifest)
	if got, limit := f.origin.bytes.Load(), manifest.Size*5/4+next.Size; got > limit {
		t.Errorf("the origin served %d bytes, want at most %d", got, limit)
	}
}

// Guards against an agent that runs out of memory or waits forever when a version
// exceeds the staging limit.
func TestStagingLimitReturnsErrLimit(t *testing.T) {
	f, manifest := newFaultFleet(t)
	f.configure = func(x *Fetcher) { x.StagingBytes = manifest.Size - 1 }
	agent := f.start(1)[0]
	if err := agent.Stage(context.Background(), manifest); !errors.Is(err, staging.ErrLimit) {
		t.Fatalf("error %v, want staging.ErrLimit", err)
	}
	if got := f.origin.bytes.Load(); got != 0 {
		t.Errorf("the origin served %d bytes of a version that exceeds the staging limit", got)
	}
}

// Guards against an agent that answers alike for a manifest that it does not want
// and for one of which it holds no chunk yet.
func TestHaveDistinguishesUnwantedFromEmpty(t *testing.T) {
	f, manifest := newFaultFleet(t)
	agent := f.start(1)[0]
	if got := agent.ExchangeHave(mulberryspool.ChunksHaveParams{Manifest: manifest.Digest}); len(got.Have) != 0 {
		t.Errorf("answer for an unknown manifest is %v, want a set of length 0", got.Have)
	}
	f.origin.down.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = agent.Stage(ctx, manifest) }()
	waitFor(func() bool { return agent.Progress().Total > 0 })
	if got := agent.ExchangeHave(mulberryspool.ChunksHaveParams{Manifest: manifest.Digest}); len(got.Have) != (len(manifest.Chunks)+7)/8 {
		t.Errorf("answer for a wanted manifest is %v, want %d zero bytes", got.Have, (len(manifest.Chunks)+7)/8)
	}
}

// Guards against chunks of an almost complete transfer that are dropped because two newer versions
// have replaced it one after the other, so that it can't be resumed if neither can be read.
func TestTransferReplacedTwiceKeepsItsChunks(t *testing.T) {
	f, manifest := newFaultFleet(t)
	f.configure = func(x *Fetcher) { x.KeepSuperseded = true }
	agent := f.start(1)[0]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = agent.Stage(ctx, manifest) }()
	waitFor(func() bool { return agent.Progress().Chunks > len(manifest.Chunks)/2 })
	f.origin.down.Store(true)
	for i, version := range []string{"v2", "v3"} {
		next := manifestOf(version, version, newContent(uint64(5+i), int(manifest.Size)), faultChunkBytes)
		go func() { _ = agent.Stage(ctx, next) }()
		waitFor(func() bool { return agent.Progress().Manifest == next.Digest })
		held := bitset.Set(agent.ExchangeHave(mulberryspool.ChunksHaveParams{Manifest: manifest.Digest}).Have).Count()
		if want := len(manifest.Chunks) / 2; held < want {
			t.Errorf("after %s: %d of %d chunks of the first transfer are held, want at least %d", version, held, len(manifest.Chunks), want)
		}
	}
}
