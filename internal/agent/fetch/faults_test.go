package fetch

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/staging"
	"github.com/mulberryspool/mulberryspool/internal/peer/chunks"
	"github.com/mulberryspool/mulberryspool/internal/peer/rpc"
)

const faultChunk = 16 << 10

// stuck is a link on which nothing moves.
type stuck struct{}

func (stuck) Wait(ctx context.Context, _ int) error {
	<-ctx.Done()
	return ctx.Err()
}

// newFaultFleet returns a fleet and a version whose first copy leaves the
// origin in about a second.
func newFaultFleet(t *testing.T) (*fleet, mulberryspool.Manifest) {
	f := newFleet(t)
	content := newContent(3, 64*faultChunk)
	f.origin.set("v1", content)
	f.origin.link.BytesPerSecond = int64(len(content))
	f.configure = func(x *Fetcher) {
		x.Limits.ProgressTimeout = 500 * time.Millisecond
		x.Limits.OriginBytesPerSecond = int64(len(content))
	}
	return f, manifestOf("v1", "v1", content, faultChunk)
}

// begin stages on the agents in the background.
func (f *fleet) begin(agents []*testAgent, manifest mulberryspool.Manifest) chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.stage(context.Background(), agents, manifest)
	}()
	return done
}

// await polls for something that happens in the background.
func await(condition func() bool) {
	for !condition() {
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against a transfer that waits for dead agents as it does for slow
// ones, here for an hour: one fetcher dies, and all agents of a failure domain at once.
func TestFleetSurvivesLostAgents(t *testing.T) {
	for name, dead := range map[string]func(i int) bool{
		"one fetcher":    func(i int) bool { return i == 0 },
		"failure domain": func(i int) bool { return i%3 == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			f, manifest := newFaultFleet(t)
			configure := f.configure
			f.configure = func(x *Fetcher) {
				configure(x)
				x.Limits.OriginBias, x.Limits.TakeoverLongest = 1, time.Hour
			}
			done := f.begin(f.start(9), manifest)
			await(func() bool { return f.origin.bytes.Load() > manifest.Size/4 })
			for i, a := range f.agents {
				if dead(i) {
					a.kill()
				}
			}
			<-done
		})
	}
}

// Guards against a fleet that waits for an agent whose uplink is stalled.
func TestFleetSurvivesStalledLink(t *testing.T) {
	f, manifest := newFaultFleet(t)
	configure := f.configure
	f.configure = func(x *Fetcher) {
		configure(x)
		if x.Identity.Instance == "agent-000" {
			x.Uplink = stuck{}
		}
	}
	<-f.begin(f.start(6), manifest)
}

// Guards against keeping bad data from a peer, and against an event that does
// not name the peer.
func TestCorruptingPeerIsNamed(t *testing.T) {
	f, manifest := newFaultFleet(t)
	bad := f.listen()
	all := make([]byte, (len(manifest.Chunks)+7)/8)
	for i := range all {
		all[i] = 0xff
	}
	have := func(mulberryspool.ChunksHaveParams) mulberryspool.ChunksHaveResult {
		return mulberryspool.ChunksHaveResult{Have: all}
	}
	bad.Endpoint.Handle = func(m rpc.Message) { _ = m.Reply(have(mulberryspool.ChunksHaveParams{})) }
	server := &chunks.Server{Clock: clockwork.NewRealClock(), Have: have, Get: func(mulberryspool.Digest) ([]byte, bool) {
		return make([]byte, faultChunk), true
	}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = bad.Endpoint.Serve(ctx, bad.control) }()
	go func() { _ = server.Serve(ctx, bad.Listener) }()
	good := f.start(5)
	f.stage(context.Background(), good, manifest)
	named := false
	for _, a := range good {
		for _, e := range a.recorder.All() {
			if e.Kind != mulberryspool.EventChunkCorrupted || e.Peer != string(bad.Identity.Instance) {
				t.Fatalf("event %+v, want chunkCorrupted that names %s", e, bad.Identity.Instance)
			}
			named = true
		}
	}
	if !named {
		t.Fatal("no event names the corrupting peer")
	}
}

// Guards against a copy mixed of two contents when the content is replaced at
// the origin during the transfer, and against a transfer that never recovers.
func TestReplacedOriginContentIsNeverMixed(t *testing.T) {
	f, manifest := newFaultFleet(t)
	content, _ := f.origin.content("v1")
	agents := f.start(3)
	done := f.begin(agents, manifest)
	await(func() bool { return f.origin.bytes.Load() > manifest.Size/4 })
	f.origin.set("v1", newContent(4, len(content)))
	named := func() bool {
		for _, a := range agents {
			for _, e := range a.recorder.All() {
				if e.Kind == mulberryspool.EventChunkCorrupted && e.Peer == "origin" {
					return true
				}
			}
		}
		return false
	}
	await(named)
	for _, a := range agents {
		if _, err := a.Open(manifest); !errors.Is(err, staging.ErrIncomplete) {
			t.Errorf("open on %s: error %v, want ErrIncomplete", a.Identity.Instance, err)
		}
	}
	select {
	case <-done:
		t.Error("the version counts as staged with other content at the origin")
	default:
	}
	f.origin.set("v1", content)
	<-done
}

// Guards against a fleet that needs the origin after one copy is out, and
// against an agent restarted with nothing that does not get it from its peers.
func TestOriginAwayAfterOneCopy(t *testing.T) {
	f, manifest := newFaultFleet(t)
	done := f.begin(f.start(6), manifest)
	await(func() bool { return f.origin.bytes.Load() >= manifest.Size })
	f.origin.down.Store(true)
	<-done
	f.agents[0].kill()
	<-f.agents[0].done
	f.stage(context.Background(), f.start(1), manifest)
}

// Guards against fetching shared chunks again, or not ending the old transfer,
// when a new version arrives during a transfer.
func TestNewVersionDuringTransfer(t *testing.T) {
	f, manifest := newFaultFleet(t)
	content, _ := f.origin.content("v1")
	changed := append(newContent(5, len(content)/2), content[len(content)/2:]...)
	f.origin.set("v2", changed)
	next := manifestOf("v2", "v2", changed, faultChunk)
	configure := f.configure
	f.configure = func(x *Fetcher) {
		configure(x)
		patient(x)
	}
	agents := f.start(3)
	first := make(chan error, len(agents))
	for _, a := range agents {
		go func() { first <- a.Stage(context.Background(), manifest) }()
	}
	await(func() bool { return f.origin.bytes.Load() > manifest.Size/2 })
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
	// Without sharing, half of the first version and all of the second one
	// would have been read.
	if got := f.origin.bytes.Load(); got >= manifest.Size/2+next.Size {
		t.Errorf("the origin gave %d bytes, want less than %d", got, manifest.Size/2+next.Size)
	}
}

// Guards against an agent that runs out of memory, or waits for ever, when a
// version does not fit.
func TestStagingLimitIsAClearError(t *testing.T) {
	f, manifest := newFaultFleet(t)
	f.configure = func(x *Fetcher) { x.StagingBytes = manifest.Size - 1 }
	agent := f.start(1)[0]
	if err := agent.Stage(context.Background(), manifest); !errors.Is(err, staging.ErrLimit) {
		t.Fatalf("error %v, want staging.ErrLimit", err)
	}
	if got := f.origin.bytes.Load(); got != 0 {
		t.Errorf("the origin gave %d bytes for a version that does not fit", got)
	}
}

// Guards against an agent that does not say that it does not want a manifest.
func TestHaveTellsUnwantedFromEmpty(t *testing.T) {
	f, manifest := newFaultFleet(t)
	agent := f.start(1)[0]
	if got := agent.Have(mulberryspool.ChunksHaveParams{Manifest: manifest.Digest}); len(got.Have) != 0 {
		t.Errorf("answer for an unknown manifest is %v, want an empty set", got.Have)
	}
	f.origin.down.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = agent.Stage(ctx, manifest) }()
	await(func() bool { return agent.Progress().Total > 0 })
	if got := agent.Have(mulberryspool.ChunksHaveParams{Manifest: manifest.Digest}); len(got.Have) != (len(manifest.Chunks)+7)/8 {
		t.Errorf("answer for a wanted manifest is %v, want %d zero bytes", got.Have, (len(manifest.Chunks)+7)/8)
	}
}
