package claims

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/testkit/fake"
)

const (
	benchEntries = 4
	benchWrites  = 300
	benchLatency = 5 * time.Millisecond
	// benchHop is the round trip between entries in two regions.
	benchHop  = 6 * time.Millisecond
	benchSpan = 4 * time.Second
	// benchRun is how long a submission runs before its outcome is recorded.
	benchRun = 200 * time.Millisecond
)

// slowStore answers after the object API's latency and refuses writes above
// its rate.
type slowStore struct {
	*fake.Store
	limiter *rate.Limiter
	bytes   atomic.Int64
}

func newSlowStore() *slowStore {
	s := &slowStore{Store: &fake.Store{}, limiter: rate.NewLimiter(benchWrites, benchWrites/10)}
	s.Before = func(method, _, _ string) error {
		time.Sleep(benchLatency)
		if method != "Get" && method != "List" && !s.limiter.Allow() {
			return mulberryspool.ErrUnavailable
		}
		return nil
	}
	return s
}

func (s *slowStore) Create(ctx context.Context, kind, name string, value []byte) (mulberryspool.Object, error) {
	s.bytes.Add(int64(len(value)))
	return s.Store.Create(ctx, kind, name, value)
}

func (s *slowStore) Update(ctx context.Context, kind, name string, value []byte, version mulberryspool.Revision) (mulberryspool.Object, error) {
	s.bytes.Add(int64(len(value)))
	return s.Store.Update(ctx, kind, name, value, version)
}

func benchBooks(way string, store mulberryspool.ObjectStore) []Book {
	wall := clockwork.NewRealClock()
	var books []Book
	owners := make(map[mulberryspool.InstanceID]*owned)
	for i := range benchEntries {
		ledger := &Ledger{Store: store, Clock: wall}
		switch way {
		case "objects":
			books = append(books, &objectBook{store: store})
		case "ledger":
			books = append(books, ledger)
		case "owned":
			o := &owned{
				self: mulberryspool.InstanceID("entry-" + strconv.Itoa(i)), store: store, clock: wall,
				ranges: DefaultShards, lease: 6 * time.Second, ledger: ledger, known: make(map[string]*ownership),
			}
			o.forward = func(owner mulberryspool.InstanceID, expected *Claim, next Claim) (Claim, error) {
				time.Sleep(benchHop)
				return owners[owner].ledger.Swap(context.Background(), expected, next)
			}
			owners[o.self] = o
			books = append(books, o)
		}
	}
	return books
}

// BenchmarkClaims reports, for each way and rate: object API writes, reads
// and bytes written per thousand submissions, the added latency before the
// dispatch, and the share of submissions that could not be claimed.
func BenchmarkClaims(b *testing.B) {
	for _, way := range []string{"objects", "ledger", "owned"} {
		for _, perSecond := range []int{100, 1000, 8000} {
			b.Run(fmt.Sprintf("%s/%d", way, perSecond), func(b *testing.B) {
				for b.Loop() {
					benchmarkWay(b, way, perSecond)
				}
			})
		}
	}
}

func benchmarkWay(b *testing.B, way string, perSecond int) {
	store := newSlowStore()
	books := benchBooks(way, store)
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var refused, unrecorded int
	var wait sync.WaitGroup
	total := perSecond * int(benchSpan/time.Second)
	begin := time.Now()
	for i := range total {
		if due := begin.Add(time.Duration(i) * time.Second / time.Duration(perSecond)); time.Until(due) > 0 {
			time.Sleep(time.Until(due))
		}
		wait.Go(func() {
			book, claim := books[i%benchEntries], benchClaim(i)
			sent := time.Now()
			_, err := book.Swap(context.Background(), nil, claim)
			took := time.Since(sent)
			mu.Lock()
			if err != nil {
				refused++
			} else if err := histogram.RecordValue(took.Microseconds()); err != nil {
				b.Error(err)
			}
			mu.Unlock()
			if err != nil {
				return
			}
			time.Sleep(benchRun)
			done := claim
			done.Outcome, done.Changed, done.Answer = mulberryspool.OutcomeDone, time.Now(), uint64(i)
			if _, err := book.Swap(context.Background(), &claim, done); err != nil {
				mu.Lock()
				unrecorded++
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	thousands := float64(total) / 1000
	b.ReportMetric(float64(store.Writes())/thousands, "writes/1000")
	b.ReportMetric(float64(store.Reads())/thousands, "reads/1000")
	b.ReportMetric(float64(store.bytes.Load())/1024/thousands, "KiB/1000")
	b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(100*float64(refused)/float64(total), "refused-%")
	b.ReportMetric(100*float64(unrecorded)/float64(total), "unrecorded-%")
	b.ReportMetric(0, "ns/op")
}

func benchClaim(i int) Claim {
	return Claim{
		Key: fmt.Sprintf(`"orders"/"ws"/"%s"`, uuid.NewString()), RequestID: mulberryspool.RequestID(uuid.NewString()),
		Attempt: 1, Body: uint64(i) * 0x9E3779B97F4A7C15, Entry: "entry-1", Agent: mulberryspool.InstanceID(fmt.Sprintf("agent-%d", i%16)),
		Incarnation: mulberryspool.Incarnation(fmt.Sprintf("incarnation-%d", i%16)), AgentTime: time.Duration(i) * time.Millisecond,
		Changed: time.Now(),
	}
}
