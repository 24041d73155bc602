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
	// benchForwardDelay is the round-trip time between entries in two regions.
	benchForwardDelay = 6 * time.Millisecond
	benchDuration     = 4 * time.Second
	// benchRunTime is how long a submission runs before its outcome is recorded.
	benchRunTime = 200 * time.Millisecond
)

// slowStore simulates the latency and the write rate limit of the object API.
type slowStore struct {
	*fake.Store
	limiter *rate.Limiter
	bytes   atomic.Int64
}

func newSlowStore() *slowStore {
	s := &slowStore{Store: &fake.Store{}, limiter: rate.NewLimiter(benchWrites, benchWrites/10)}
	s.BeforeCall = func(method, _, _ string) error {
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

func benchStores(design string, objects mulberryspool.ObjectStore) []Store {
	clock := clockwork.NewRealClock()
	var stores []Store
	owners := make(map[mulberryspool.InstanceID]*leasedStore)
	for i := range benchEntries {
		sharded := &ShardedLog{Objects: objects, Clock: clock}
		switch design {
		case "object-per-key":
			stores = append(stores, &objectPerKeyStore{objects: objects})
		case "sharded":
			stores = append(stores, sharded)
		case "leased":
			o := &leasedStore{
				self: mulberryspool.InstanceID("entry-" + strconv.Itoa(i)), objects: objects, clock: clock,
				ranges: DefaultShards, lease: 6 * time.Second, sharded: sharded, ownerships: make(map[string]*ownership),
			}
			o.forward = func(owner mulberryspool.InstanceID, expected *Claim, next Claim) (Claim, error) {
				time.Sleep(benchForwardDelay)
				return owners[owner].sharded.CompareAndSwap(context.Background(), expected, next)
			}
			owners[o.self] = o
			stores = append(stores, o)
		}
	}
	return stores
}

// BenchmarkClaims compares three designs of a Store. For each design and rate
// of submissions it reports object API writes, reads and bytes written per
// thousand submissions, the latency added before the dispatch, and the share
// of submissions whose claim or outcome could not be recorded.
func BenchmarkClaims(b *testing.B) {
	for _, design := range []string{"object-per-key", "sharded", "leased"} {
		for _, perSecond := range []int{100, 1000, 8000} {
			b.Run(fmt.Sprintf("%s/%d", design, perSecond), func(b *testing.B) {
				for b.Loop() {
					benchmarkDesign(b, design, perSecond)
				}
			})
		}
	}
}

func benchmarkDesign(b *testing.B, design string, perSecond int) {
	store := newSlowStore()
	stores := benchStores(design, store)
	latencies := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var refused, unrecorded int
	var wait sync.WaitGroup
	total := perSecond * int(benchDuration/time.Second)
	started := time.Now()
	for i := range total {
		if due := started.Add(time.Duration(i) * time.Second / time.Duration(perSecond)); time.Until(due) > 0 {
			time.Sleep(time.Until(due))
		}
		wait.Go(func() {
			claimStore, claim := stores[i%benchEntries], benchClaim(i)
			sent := time.Now()
			_, err := claimStore.CompareAndSwap(context.Background(), nil, claim)
			took := time.Since(sent)
			mu.Lock()
			if err != nil {
				refused++
			} else if err := latencies.RecordValue(took.Microseconds()); err != nil {
				b.Error(err)
			}
			mu.Unlock()
			if err != nil {
				return
			}
			time.Sleep(benchRunTime)
			done := claim
			done.Outcome, done.ChangedAt, done.AnswerSum = mulberryspool.OutcomeDone, time.Now(), uint64(i)
			if _, err := claimStore.CompareAndSwap(context.Background(), &claim, done); err != nil {
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
	b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(100*float64(refused)/float64(total), "refused-%")
	b.ReportMetric(100*float64(unrecorded)/float64(total), "unrecorded-%")
	b.ReportMetric(0, "ns/op")
}

func benchClaim(i int) Claim {
	return Claim{
		Key: fmt.Sprintf(`"orders"/"ws"/"%s"`, uuid.NewString()), RequestID: mulberryspool.RequestID(uuid.NewString()),
		Attempt: 1, RequestHash: uint64(i) * 0x9E3779B97F4A7C15, Entry: "entry-1", Agent: mulberryspool.InstanceID(fmt.Sprintf("agent-%d", i%16)),
		Incarnation: mulberryspool.Incarnation(fmt.Sprintf("incarnation-%d", i%16)), AgentTime: time.Duration(i) * time.Millisecond,
		ChangedAt: time.Now(),
	}
}
