package chunks

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/staging"
)

// gate holds transfers until it is opened, and says when the first one has come.
type gate struct{ entered, open chan struct{} }

func (g gate) Wait(ctx context.Context, _ int) error {
	select {
	case g.entered <- struct{}{}:
	default:
	}
	select {
	case <-g.open:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func serve(t *testing.T, s *Server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

func newServer(data []byte) (*Server, mulberryspool.Chunk) {
	chunk := mulberryspool.Chunk{Digest: staging.DigestOf(data), Size: int64(len(data))}
	return &Server{Clock: clockwork.NewRealClock(), Get: func(d mulberryspool.Digest) ([]byte, bool) {
		return data, d == chunk.Digest
	}}, chunk
}

// Guards against ranges that resume at the wrong place, and against bit sets
// that do not reach the other side.
func TestFetchWholeChunkAndRest(t *testing.T) {
	data := bytes.Repeat([]byte("mulberry"), 10000)
	s, chunk := newServer(data)
	var told mulberryspool.ChunksHaveParams
	s.Have = func(p mulberryspool.ChunksHaveParams) mulberryspool.ChunksHaveResult {
		told = p
		return mulberryspool.ChunksHaveResult{Have: []byte{5}}
	}
	c := &Client{HTTP: &http.Client{}}
	request := Request{Address: serve(t, s), Chunk: chunk, Have: mulberryspool.ChunksHaveParams{Instance: "a", Manifest: "m", Have: []byte{9}}}
	for _, offset := range []int64{0, 12345} {
		request.Offset = offset
		answer, err := c.Fetch(context.Background(), request)
		if err != nil || !bytes.Equal(answer.Data, data[offset:]) {
			t.Fatalf("offset %d: %d bytes, error %v, want the rest of the chunk", offset, len(answer.Data), err)
		}
		if answer.Have == nil || !bytes.Equal(answer.Have.Have, []byte{5}) || told.Instance != "a" || !bytes.Equal(told.Have, []byte{9}) {
			t.Fatalf("exchanged sets are %v and %v", answer.Have, told)
		}
	}
	request.Chunk.Digest = staging.DigestOf(nil)
	if _, err := c.Fetch(context.Background(), request); !errors.Is(err, ErrNotHeld) {
		t.Fatalf("absent chunk: error %v, want ErrNotHeld", err)
	}
}

// Guards against more uploads at a time than there are slots, and against a
// request that waits for a slot for good.
func TestFullSlotsRefuse(t *testing.T) {
	s, chunk := newServer([]byte("data"))
	link := gate{entered: make(chan struct{}, 1), open: make(chan struct{})}
	s.Uplink, s.Slots, s.QueueWait = link, 1, time.Millisecond
	c := &Client{HTTP: &http.Client{}}
	request := Request{Address: serve(t, s), Chunk: chunk}
	first := make(chan error, 1)
	go func() {
		_, err := c.Fetch(context.Background(), request)
		first <- err
	}()
	<-link.entered
	if _, err := c.Fetch(context.Background(), request); !errors.Is(err, ErrBusy) {
		t.Fatalf("error %v with the only slot taken, want ErrBusy", err)
	}
	close(link.open)
	if err := <-first; err != nil {
		t.Fatal(err)
	}
}

// Guards against transfers that take the share of live traffic, that do not
// give way when live latency rises, or that do not recover.
func TestLinkGivesWayToLiveTraffic(t *testing.T) {
	clock := clockwork.NewFakeClock()
	latency := time.Millisecond
	l := &Link{Clock: clock, BytesPerSecond: 1000, LiveShare: 0.2, LiveLatency: func() time.Duration { return latency }}
	if got := l.Rate(); got != 800 {
		t.Fatalf("rate is %v, want 800 with a fifth held back", got)
	}
	latency = time.Second
	for range 20 {
		clock.Advance(adaptInterval)
		l.Rate()
	}
	if got := l.Rate(); got > 800*minimumShare*1.001 || got <= 0 {
		t.Fatalf("rate is %v under high latency, want the least share of 800", got)
	}
	latency = time.Millisecond
	for range 20 {
		clock.Advance(adaptInterval)
		l.Rate()
	}
	if got := l.Rate(); got < 799 {
		t.Fatalf("rate is %v after the latency fell, want 800 again", got)
	}
}

// Guards against an agent that takes the whole link of a region pair.
func TestRegionLinksShareThePair(t *testing.T) {
	agents := 1
	r := &RegionLinks{Clock: clockwork.NewFakeClock(), BytesPerSecond: 1000, Agents: func() int { return agents }}
	if got := r.From("west").(*Link).Rate(); got != 1000 {
		t.Errorf("rate of a single agent is %v, want 1000", got)
	}
	agents = 40
	if got := r.From("west").(*Link).Rate(); got != 100 {
		t.Errorf("rate of one of 40 agents is %v, want 100", got)
	}
}
