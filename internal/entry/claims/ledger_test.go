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

// testLedger commits fast, so that tests need little time.
func testLedger(store mulberryspool.ObjectStore) *Ledger {
	return &Ledger{Store: store, Clock: clockwork.NewRealClock(), Shards: 2, Writes: 5000, SegmentBytes: 1500, OutcomeDelay: time.Millisecond}
}

func claimOf(key, request string) Claim {
	return Claim{Key: key, RequestID: mulberryspool.RequestID(request), Attempt: 1, Changed: time.Now()}
}

// Guards against two requests that both get a key, and against a claim that
// is refused for certain and there nevertheless, when entries race and the
// object API refuses writes or loses answers.
func TestOneRequestGetsEachKey(t *testing.T) {
	const entries, keys = 4, 60
	for name, book := range map[string]func(mulberryspool.ObjectStore) Book{
		"ledger":  func(store mulberryspool.ObjectStore) Book { return testLedger(store) },
		"objects": func(store mulberryspool.ObjectStore) Book { return &objectBook{store: store} },
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			random := rand.New(rand.NewPCG(1, 2))
			chance := func(err error) error {
				mu.Lock()
				defer mu.Unlock()
				if random.IntN(5) == 0 {
					return err
				}
				return nil
			}
			store := &fake.Store{
				Before: func(method, _, _ string) error {
					if method == "Delete" {
						return nil
					}
					return chance(mulberryspool.ErrUnavailable)
				},
				After: func(string, string, string) error { return chance(mulberryspool.ErrUncertain) },
			}
			won := make(map[string][]Claim)
			lost := make(map[string][]Claim)
			var wait sync.WaitGroup
			for entry := range entries {
				b := book(store)
				for k := range keys {
					claim := claimOf(fmt.Sprintf("key-%d", k), fmt.Sprintf("%d-%d", entry, k))
					wait.Go(func() {
						_, err := b.Swap(context.Background(), nil, claim)
						mu.Lock()
						defer mu.Unlock()
						switch {
						case err == nil:
							won[claim.Key] = append(won[claim.Key], claim)
						case errors.Is(err, mulberryspool.ErrUnavailable):
							lost[claim.Key] = append(lost[claim.Key], claim)
						}
					})
				}
			}
			wait.Wait()
			store.Before, store.After = nil, nil
			reader := book(store)
			winners := 0
			for k := range keys {
				key := fmt.Sprintf("key-%d", k)
				present, err := reader.Swap(context.Background(), nil, claimOf(key, "late"))
				if len(won[key]) > 1 {
					t.Errorf("%s was given to %v", key, won[key])
				}
				if len(won[key]) == 1 {
					winners++
					if !errors.Is(err, ErrTaken) || !present.Is(won[key][0]) {
						t.Errorf("%s was given to %v and holds %v, %v", key, won[key][0], present, err)
					}
				}
				for _, refused := range lost[key] {
					if errors.Is(err, ErrTaken) && present.Is(refused) {
						t.Errorf("%s holds %v, which was refused as not recorded", key, refused)
					}
				}
			}
			if winners < keys/2 {
				t.Errorf("only %d of %d keys were given to anybody", winners, keys)
			}
		})
	}
}

// Guards against a claim that counts as uncertain or taken when only the
// answer of its own write was lost.
func TestLostAnswerIsSettled(t *testing.T) {
	losses := 1
	store := &fake.Store{}
	store.After = func(string, string, string) error {
		if losses--; losses == 0 {
			return mulberryspool.ErrUncertain
		}
		return nil
	}
	claim := claimOf("key", "r1")
	present, err := testLedger(store).Swap(context.Background(), nil, claim)
	if err != nil || !present.Is(claim) {
		t.Fatalf("swap answered %v, %v", present, err)
	}
}

// Guards against a refusal in an outage that isn't marked as certain.
func TestOutageIsUnavailable(t *testing.T) {
	store := &fake.Store{}
	store.Refuse(mulberryspool.ErrUnavailable)
	if _, err := testLedger(store).Swap(context.Background(), nil, claimOf("key", "r1")); !errors.Is(err, mulberryspool.ErrUnavailable) {
		t.Fatalf("swap answered %v", err)
	}
}

// Guards against a claim that is forgotten when its object is sealed, and
// against objects near the object API's megabyte.
func TestClaimsSurviveSealing(t *testing.T) {
	store := &fake.Store{}
	writer, reader := testLedger(store), testLedger(store)
	const keys = 300
	for k := range keys {
		claim := claimOf(fmt.Sprintf("key-%d", k), fmt.Sprintf("r%d", k))
		if _, err := writer.Swap(context.Background(), nil, claim); err != nil {
			t.Fatal(err)
		}
		if k%3 > 0 {
			continue
		}
		done := claim
		done.Outcome = mulberryspool.OutcomeDone
		if _, err := writer.Swap(context.Background(), &claim, done); err != nil {
			t.Fatal(err)
		}
	}
	for k := range keys {
		present, err := reader.Swap(context.Background(), nil, claimOf(fmt.Sprintf("key-%d", k), "late"))
		if !errors.Is(err, ErrTaken) || present.RequestID != mulberryspool.RequestID(fmt.Sprintf("r%d", k)) {
			t.Fatalf("key %d holds %v, %v", k, present, err)
		}
		if (present.Outcome == mulberryspool.OutcomeDone) != (k%3 == 0) {
			t.Fatalf("key %d has the outcome %q", k, present.Outcome)
		}
	}
	objects, err := store.List(context.Background(), Kind, "")
	if err != nil {
		t.Fatal(err)
	}
	if len(objects) < 6 {
		t.Fatalf("the claims are in %d objects, so none was sealed", len(objects))
	}
	for _, object := range objects {
		if len(object.Value) > 3000 {
			t.Errorf("object %s has %d bytes", object.Name, len(object.Value))
		}
	}
}

// Guards against claims that are kept for ever, and against a number of a
// deleted object that is used again.
func TestOldClaimsExpire(t *testing.T) {
	store, clock := &fake.Store{}, clockwork.NewFakeClock()
	ledger := testLedger(store)
	ledger.Clock, ledger.Shards, ledger.Retention = clock, 1, time.Minute
	// Nothing advances the fake clock while a commit would wait for its budget.
	ledger.Writes = 1e12
	put := func(key string) error {
		claim := claimOf(key, key)
		claim.Changed = clock.Now()
		_, err := ledger.Swap(context.Background(), nil, claim)
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
			t.Fatalf("an expired key is not free: %v", err)
		}
	}
	for range 500 {
		objects, err := store.List(context.Background(), Kind, "")
		if err != nil {
			t.Fatal(err)
		}
		if len(objects) > 0 && !strings.HasSuffix(objects[0].Name, ".000000000") {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the oldest object was not deleted")
}

// Guards against claims beyond the bound that push out others.
func TestFullShardRefuses(t *testing.T) {
	ledger := testLedger(&fake.Store{})
	ledger.Shards, ledger.MaxSegments = 1, 2
	for k := range 1000 {
		_, err := ledger.Swap(context.Background(), nil, claimOf(fmt.Sprintf("key-%d", k), "r"))
		if err == nil {
			continue
		}
		if !errors.Is(err, mulberryspool.ErrUnavailable) {
			t.Fatalf("a full shard answered %v", err)
		}
		if _, err := ledger.Swap(context.Background(), nil, claimOf("key-0", "late")); !errors.Is(err, ErrTaken) {
			t.Fatalf("the first key is no longer held: %v", err)
		}
		return
	}
	t.Fatal("nothing was refused")
}
