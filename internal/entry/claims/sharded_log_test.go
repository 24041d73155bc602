package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/testkit/fake"
)

// newTestLog returns a ShardedLog with a high write rate and small segments, to keep tests fast.
func newTestLog(store mulberryspool.ObjectStore) *ShardedLog {
	return &ShardedLog{Objects: store, Clock: clockwork.NewRealClock(), Shards: 2, WritesPerSecond: 5000, SegmentBytes: 1500, OutcomeDelay: time.Millisecond}
}

func claimOf(key, request string) Claim {
	return Claim{Key: key, RequestID: mulberryspool.RequestID(request), Attempt: 1, ChangedAt: time.Now()}
}

// Guards against two requests claiming the same key, and against a claim that
// is reported as not recorded although it is. Several entries claim the same
// keys while the object API refuses writes or loses responses.
func TestOnlyOneRequestClaimsEachKey(t *testing.T) {
	const entries, keys = 4, 60
	for name, newStore := range map[string]func(mulberryspool.ObjectStore) Store{
		"sharded":        func(store mulberryspool.ObjectStore) Store { return newTestLog(store) },
		"object-per-key": func(store mulberryspool.ObjectStore) Store { return &objectPerKeyStore{objects: store} },
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			random := rand.New(rand.NewPCG(1, 2))
			randomly := func(err error) error {
				mu.Lock()
				defer mu.Unlock()
				if random.IntN(5) == 0 {
					return err
				}
				return nil
			}
			store := &fake.Store{
				BeforeCall: func(method, _, _ string) error {
					if method == "Delete" {
						return nil
					}
					return randomly(mulberryspool.ErrUnavailable)
				},
				AfterWrite: func(string, string, string) error { return randomly(mulberryspool.ErrUncertain) },
			}
			recorded := make(map[string][]Claim)
			refused := make(map[string][]Claim)
			var wait sync.WaitGroup
			for entry := range entries {
				claimStore := newStore(store)
				for k := range keys {
					claim := claimOf(fmt.Sprintf("key-%d", k), fmt.Sprintf("%d-%d", entry, k))
					wait.Go(func() {
						_, err := claimStore.CompareAndSwap(context.Background(), nil, claim)
						mu.Lock()
						defer mu.Unlock()
						switch {
						case err == nil:
							recorded[claim.Key] = append(recorded[claim.Key], claim)
						case errors.Is(err, mulberryspool.ErrUnavailable):
							refused[claim.Key] = append(refused[claim.Key], claim)
						}
					})
				}
			}
			wait.Wait()
			store.BeforeCall, store.AfterWrite = nil, nil
			reader := newStore(store)
			winners := 0
			for k := range keys {
				key := fmt.Sprintf("key-%d", k)
				present, err := reader.CompareAndSwap(context.Background(), nil, claimOf(key, "late"))
				if len(recorded[key]) > 1 {
					t.Errorf("%s was claimed by more than one request: %v", key, recorded[key])
				}
				if len(recorded[key]) == 1 {
					winners++
					if !errors.Is(err, ErrTaken) || !present.SameState(recorded[key][0]) {
						t.Errorf("%s was claimed by %v but %v is stored, %v", key, recorded[key][0], present, err)
					}
				}
				for _, claim := range refused[key] {
					if errors.Is(err, ErrTaken) && present.SameState(claim) {
						t.Errorf("%s: %v is stored although it was reported as not recorded", key, claim)
					}
				}
			}
			if winners < keys/2 {
				t.Errorf("only %d of %d keys were claimed", winners, keys)
			}
		})
	}
}

// Guards against reporting a claim as uncertain or taken when the response to
// its own successful write was lost.
func TestLostWriteResponseIsResolved(t *testing.T) {
	losses := 1
	store := &fake.Store{}
	store.AfterWrite = func(string, string, string) error {
		if losses--; losses == 0 {
			return mulberryspool.ErrUncertain
		}
		return nil
	}
	claim := claimOf("key", "r1")
	present, err := newTestLog(store).CompareAndSwap(context.Background(), nil, claim)
	if err != nil || !present.SameState(claim) {
		t.Fatalf("swap answered %v, %v", present, err)
	}
}

// Guards against an outage being reported as uncertain: nothing is written,
// so the error must be ErrUnavailable.
func TestOutageReturnsUnavailable(t *testing.T) {
	store := &fake.Store{}
	store.SetError(mulberryspool.ErrUnavailable)
	if _, err := newTestLog(store).CompareAndSwap(context.Background(), nil, claimOf("key", "r1")); !errors.Is(err, mulberryspool.ErrUnavailable) {
		t.Fatalf("swap answered %v", err)
	}
}

// Guards against losing claims when their segment is sealed, and against
// objects that approach the object API's limit of 1 MB.
func TestClaimsSurviveSealing(t *testing.T) {
	store := &fake.Store{}
	writer, reader := newTestLog(store), newTestLog(store)
	const keys = 300
	for k := range keys {
		claim := claimOf(fmt.Sprintf("key-%d", k), fmt.Sprintf("r%d", k))
		if _, err := writer.CompareAndSwap(context.Background(), nil, claim); err != nil {
			t.Fatal(err)
		}
		if k%3 > 0 {
			continue
		}
		done := claim
		done.Outcome = mulberryspool.OutcomeDone
		if _, err := writer.CompareAndSwap(context.Background(), &claim, done); err != nil {
			t.Fatal(err)
		}
	}
	for k := range keys {
		present, err := reader.CompareAndSwap(context.Background(), nil, claimOf(fmt.Sprintf("key-%d", k), "late"))
		if !errors.Is(err, ErrTaken) || present.RequestID != mulberryspool.RequestID(fmt.Sprintf("r%d", k)) {
			t.Fatalf("key %d holds %v, %v", k, present, err)
		}
		if (present.Outcome == mulberryspool.OutcomeDone) != (k%3 == 0) {
			t.Fatalf("key %d has the outcome %q", k, present.Outcome)
		}
	}
	objects, err := store.List(context.Background(), ObjectKind, "")
	if err != nil {
		t.Fatal(err)
	}
	if len(objects) < 6 {
		t.Fatalf("the claims are in %d objects, so no segment was sealed", len(objects))
	}
	for _, object := range objects {
		if len(object.Value) > 3000 {
			t.Errorf("object %s has %d bytes", object.Name, len(object.Value))
		}
	}
}

// Guards against claims that never expire, and against reusing the number of
// a deleted segment.
func TestOldClaimsExpire(t *testing.T) {
	objects, clock := &fake.Store{}, clockwork.NewFakeClock()
	claimLog := newTestLog(objects)
	claimLog.Clock, claimLog.Shards, claimLog.Retention = clock, 1, time.Minute
	// Nothing advances the fake clock while a commit would wait for its budget.
	claimLog.WritesPerSecond = 1e12
	put := func(key string) error {
		claim := claimOf(key, key)
		claim.ChangedAt = clock.Now()
		_, err := claimLog.CompareAndSwap(context.Background(), nil, claim)
		return err
	}
	for k := range 200 {
		if err := put(fmt.Sprintf("old-%d", k)); err != nil {
			t.Fatal(err)
		}
	}
	clock.Advance(2 * time.Minute)
	for k := range 200 {
		if err := put(fmt.Sprintf("old-%d", k)); err != nil {
			t.Fatalf("an expired key can't be claimed again: %v", err)
		}
	}
	for range 500 {
		stored, err := objects.List(context.Background(), ObjectKind, "")
		if err != nil {
			t.Fatal(err)
		}
		if len(stored) > 0 && !strings.HasSuffix(stored[0].Name, ".000000000") {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the oldest object was not deleted")
}

// Guards against a full shard dropping stored claims to make room for new ones.
func TestFullShardRefuses(t *testing.T) {
	claimLog := newTestLog(&fake.Store{})
	claimLog.Shards, claimLog.MaxSegments = 1, 2
	for k := range 1000 {
		_, err := claimLog.CompareAndSwap(context.Background(), nil, claimOf(fmt.Sprintf("key-%d", k), "r"))
		if err == nil {
			continue
		}
		if !errors.Is(err, mulberryspool.ErrUnavailable) {
			t.Fatalf("a full shard answered %v", err)
		}
		if _, err := claimLog.CompareAndSwap(context.Background(), nil, claimOf("key-0", "late")); !errors.Is(err, ErrTaken) {
			t.Fatalf("the claim of the first key is lost: %v", err)
		}
		return
	}
	t.Fatal("the full shard refused no claim")
}
