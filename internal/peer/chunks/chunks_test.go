package chunks

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/staging"
)

// gate is a Limiter that blocks until open is closed. It signals the first call
// on entered.
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

// Guards against range requests that resume at the wrong offset, and against bit
// sets that are not exchanged.
func TestFetchWholeChunkAndRest(t *testing.T) {
	data := bytes.Repeat([]byte("mulberry"), 10000)
	s, chunk := newServer(data)
	var received mulberryspool.ChunksHaveParams
	s.ExchangeHave = func(p mulberryspool.ChunksHaveParams) mulberryspool.ChunksHaveResult {
		received = p
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
		if answer.Have == nil || !bytes.Equal(answer.Have.Have, []byte{5}) || received.Instance != "a" || !bytes.Equal(received.Have, []byte{9}) {
			t.Fatalf("exchanged sets are %v and %v", answer.Have, received)
		}
	}
	request.Chunk.Digest = staging.DigestOf(nil)
	if _, err := c.Fetch(context.Background(), request); !errors.Is(err, ErrNotHeld) {
		t.Fatalf("absent chunk: error %v, want ErrNotHeld", err)
	}
}

// Guards against more concurrent uploads than there are slots, and against a
// request that waits forever for a slot.
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
		t.Fatalf("error %v with the only slot in use, want ErrBusy", err)
	}
	close(link.open)
	if err := <-first; err != nil {
		t.Fatal(err)
	}
}

// Guards against a chunk that a whole region waits for while the uploader serves requests
// of its own region that came earlier, and against a waiting request that keeps its place
// after its client has gone.
func TestUrgentRequestIsServedFirst(t *testing.T) {
	q := newSlotQueue(1)
	if !q.acquire(context.Background(), ordinary) {
		t.Fatal("the free slot is refused")
	}
	gone, leave := context.WithCancel(context.Background())
	served := make(chan string, 2)
	var waiting sync.WaitGroup
	wait := func(ctx context.Context, c class, name string) {
		before := q.waitingCount()
		waiting.Go(func() {
			if q.acquire(ctx, c) {
				served <- name
				q.release()
			}
		})
		for q.waitingCount() == before {
			time.Sleep(time.Millisecond)
		}
	}
	wait(context.Background(), ordinary, "ordinary")
	if q.acquire(context.Background(), ordinary) {
		t.Fatal("a second ordinary request may wait, want one per slot")
	}
	wait(gone, urgent, "gone")
	leave()
	for q.waitingCount() > 1 {
		time.Sleep(time.Millisecond)
	}
	wait(context.Background(), urgent, "urgent")
	q.release()
	waiting.Wait()
	if first, second := <-served, <-served; first != "urgent" || second != "ordinary" {
		t.Errorf("%s is served before %s", first, second)
	}
	if q.free != 1 {
		t.Errorf("%d slots are free in the end, want 1", q.free)
	}
}

func (q *slotQueue) waitingCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting[ordinary]) + len(q.waiting[urgent])
}

// Guards against transfers that use the share reserved for live traffic, that are
// not slowed down when live latency rises, or whose rate does not recover.
func TestLinkAdaptsToLiveLatency(t *testing.T) {
	clock := clockwork.NewFakeClock()
	latency := time.Millisecond
	l := &LinkLimiter{Clock: clock, BytesPerSecond: 1000, LiveShare: 0.2, LiveLatency: func() time.Duration { return latency }}
	if got := l.Rate(); got != 800 {
		t.Fatalf("rate is %v, want 800 with a fifth reserved", got)
	}
	latency = time.Second
	for range 20 {
		clock.Advance(adaptInterval)
		l.Rate()
	}
	if got := l.Rate(); got > 800*minRateShare*1.001 || got <= 0 {
		t.Fatalf("rate is %v under high latency, want the minimum share of 800", got)
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

// Guards against an agent that uses the whole link of a region pair, which all
// agents of the region share.
func TestAgentsShareRegionLink(t *testing.T) {
	agents := 1
	r := &RegionLimiters{Clock: clockwork.NewFakeClock(), BytesPerSecond: 1000, AgentCount: func() int { return agents }}
	if got := r.Limiter("west").(*LinkLimiter).Rate(); got != 1000 {
		t.Errorf("rate of a single agent is %v, want 1000", got)
	}
	agents = 40
	if got := r.Limiter("west").(*LinkLimiter).Rate(); got != 100 {
		t.Errorf("rate of one of 40 agents is %v, want 100", got)
	}
}
