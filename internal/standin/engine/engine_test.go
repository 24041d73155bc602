package engine

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

// Guards against more running requests than the capacity, requests that run
// before others of a higher priority, and slots that are never freed.
func TestBatchOrder(t *testing.T) {
	var b batch
	b.onChange = func(running, _, _ int) {
		if running > 2 {
			t.Errorf("%d requests run, the capacity is 2", running)
		}
	}
	b.init(2, 6)
	ctx := context.Background()
	for range 2 {
		if err := b.acquire(ctx, 0, 1); err != nil {
			t.Fatal(err)
		}
	}
	var (
		mu    sync.Mutex
		order []int
		group sync.WaitGroup
	)
	waiting := func() int {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.queue)
	}
	cancelled, cancel := context.WithCancel(ctx)
	for i, priority := range []int{1, 5, 3, 5, 9} {
		group.Go(func() {
			ctx := ctx
			if priority == 9 {
				ctx = cancelled
			}
			if err := b.acquire(ctx, priority, 1); err != nil {
				return
			}
			mu.Lock()
			order = append(order, i)
			mu.Unlock()
			b.release()
		})
		for waiting() <= i {
			time.Sleep(time.Millisecond)
		}
	}
	cancel()
	for waiting() > 4 {
		time.Sleep(time.Millisecond)
	}
	b.release()
	group.Wait()
	if want := []int{1, 3, 2, 0}; !slices.Equal(order, want) {
		t.Errorf("requests ran in the order %v, want %v", order, want)
	}
	b.release()
	if b.running != 0 {
		t.Errorf("%d slots were not freed", b.running)
	}
}

// Guards against a queue that grows without bound.
func TestBatchQueueIsBounded(t *testing.T) {
	var b batch
	b.onChange = func(int, int, int) {}
	b.init(1, 0)
	if err := b.acquire(context.Background(), 0, 1); err != nil {
		t.Fatal(err)
	}
	if err := b.acquire(context.Background(), 9, 1); !errors.Is(err, errQueueFull) {
		t.Errorf("acquire returned %v, want errQueueFull", err)
	}
}

// Guards against cache hits without a common prefix, a cache that grows beyond
// its limit, blocks that stay cached after other weights were loaded, and events
// that are readable before their delay, out of order or not lost at the set rate.
func TestPrefixCache(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := &Server{
		Clock:           clock,
		Random:          rand.New(rand.NewPCG(1, 0)),
		CacheBlocks:     8,
		CacheEventDelay: time.Second,
		CacheEventLoss:  0.3,
	}
	s.init()
	prefix := strings.Repeat("a", 4*blockBytes)
	if hits := s.cache.lookupAndInsert(prefix + "first"); hits != 0 {
		t.Errorf("%d tokens of a new prompt were cached", hits)
	}
	if hits := s.cache.lookupAndInsert(prefix + strings.Repeat("b", blockBytes)); hits != 4*BlockTokens {
		t.Errorf("%d tokens were cached, want %d", hits, 4*BlockTokens)
	}
	if hits := s.cache.lookupAndInsert("x" + prefix); hits != 0 {
		t.Errorf("%d tokens of a shifted prompt were cached", hits)
	}
	for i := range 20 {
		s.cache.lookupAndInsert(strings.Repeat(string(rune('c'+i)), 2*blockBytes))
		if n := len(s.cache.blocks); n > 8 {
			t.Fatalf("cache has %d blocks, at most 8 are allowed", n)
		}
	}
	if hits := s.cache.lookupAndInsert(prefix); hits != 0 {
		t.Errorf("%d tokens of an evicted prompt were cached", hits)
	}
	if events := s.cache.read(0).Events; len(events) > 0 {
		t.Errorf("%d events can be read before their delay", len(events))
	}
	clock.Advance(time.Second)
	events := s.cache.read(0).Events
	for i := 1; i < len(events); i++ {
		if events[i].Sequence <= events[i-1].Sequence {
			t.Fatalf("event %d follows %d", events[i].Sequence, events[i-1].Sequence)
		}
	}
	if lost := 1 - float64(len(events))/float64(s.cache.sequence); lost < 0.15 || lost > 0.45 {
		t.Errorf("%.2f of the events were lost, want about 0.3", lost)
	}
	last := events[len(events)-2].Sequence
	if rest := s.cache.read(last).Events; len(rest) != 1 || rest[0] != events[len(events)-1] {
		t.Errorf("events after %d are %+v", last, rest)
	}
	s.cache.clear()
	if len(s.cache.blocks) > 0 {
		t.Error("the cache is not empty after clear")
	}
}

// Guards against reports that show the current load in place of the load of
// ReportLag ago, and against a wrong rate of tokens.
func TestReportLags(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := &Server{Clock: clock, ReportLag: 3 * time.Second}
	s.init()
	expect := func(running int) {
		t.Helper()
		if got := s.reports.delayedReport(clock.Now()); got.Running != running || got.Age != 3*time.Second || got.Capacity != DefaultCapacity {
			t.Fatalf("report is %+v, want %d running", got, running)
		}
	}
	for i := range 4 {
		s.reports.record(i+1, 0, 0)
		clock.Advance(time.Second)
	}
	expect(2)
	clock.Advance(time.Second)
	expect(3)
	clock.Advance(time.Hour)
	expect(4)
	for range 7 {
		s.reports.countToken()
	}
	clock.Advance(time.Second)
	if got := s.reports.delayedReport(clock.Now()).TokensPerSecond; got != 7 {
		t.Errorf("rate is %v tokens a second, want 7", got)
	}
}
