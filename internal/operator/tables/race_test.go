package tables

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
)

type (
	// call is one operation on the tables, taken as a register whose value is
	// the revision.
	call struct {
		// write is set for an apply, else it is a read.
		write bool
		id    string
		// row and value are what the apply asked for.
		row   string
		value int
	}

	// answer is what the caller was told. For a write whose outcome is
	// unknown it is completed from the history.
	answer struct {
		// took is set for a write that took effect.
		took     bool
		base     mulberryspool.Revision
		revision mulberryspool.Revision
		err      error
	}
)

// register accepts a write only on the revision that it was made from.
var register = porcupine.Model{
	Init: func() any { return mulberryspool.Revision(0) },
	Step: func(state, input, output any) (bool, any) {
		current, in, out := state.(mulberryspool.Revision), input.(call), output.(answer)
		switch {
		case !in.write:
			return out.revision == current, current
		case !out.took:
			return true, current
		}
		return out.base == current, out.revision
	},
	Equal: func(a, b any) bool { return a.(mulberryspool.Revision) == b.(mulberryspool.Revision) },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v -> %+v", input, output)
	},
}

// Guards against lost, doubled and invented changes when operators race and
// answers are lost: a false success, a false conflict, a second application.
func TestRacingOperatorsWithLostAnswers(t *testing.T) {
	const operators, changes, seeds = 5, 12, 12
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 1))
		store := &fakeStore{random: random}
		store.fault = func() fault {
			if random.IntN(2) == 0 {
				return faultNone
			}
			return fault(random.IntN(int(faults)))
		}
		var mu sync.Mutex
		var operations []porcupine.Operation
		var clock atomic.Int64
		var running sync.WaitGroup
		for operator := range operators {
			choose := rand.New(rand.NewPCG(seed, uint64(operator)+2))
			running.Go(func() {
				for i := range changes {
					in := call{
						write: choose.IntN(4) > 0, id: fmt.Sprintf("%d-%d-%d", seed, operator, i),
						row: fmt.Sprintf("pool-%d", choose.IntN(3)), value: 1 + operator*changes + i,
					}
					operation := porcupine.Operation{ClientId: operator, Input: in, Call: clock.Add(1)}
					out := act(store, in)
					operation.Output, operation.Return = out, clock.Add(1)
					mu.Lock()
					operations = append(operations, operation)
					mu.Unlock()
				}
			})
		}
		running.Wait()
		checkHistory(t, seed, store, operations)
	}
}

func act(store mulberryspool.ObjectStore, in call) answer {
	ctx := context.Background()
	object, err := store.Get(ctx, mulberryspool.TablesKind, mulberryspool.TablesName)
	if !in.write || (err != nil && !errors.Is(err, mulberryspool.ErrNotFound)) {
		return answer{revision: object.Version}
	}
	limits := map[string]int{}
	if err == nil {
		t, err := Decode(object.Value)
		if err != nil {
			return answer{err: err}
		}
		limits = limitsOf(t)
	}
	limits[in.row] = in.value
	result, err := newWriter(store).Apply(ctx, Edit{ID: in.id, Author: in.id, File: poolFile(object.Version, limits)})
	return answer{took: err == nil, base: result.Change.Base, revision: result.Revision, err: err}
}

// checkHistory compares what the operators were told with the stored history.
func checkHistory(t *testing.T, seed uint64, store *fakeStore, operations []porcupine.Operation) {
	t.Helper()
	store.fault, store.random = nil, nil
	changes, err := History(context.Background(), store, math.MaxInt)
	if err != nil {
		t.Fatal(err)
	}
	stored := make(map[string]Accepted)
	for _, c := range changes {
		if _, twice := stored[c.ID]; twice {
			t.Fatalf("seed %d: change %s is stored twice", seed, c.ID)
		}
		stored[c.ID] = c
	}
	took := 0
	for i, operation := range operations {
		in, out := operation.Input.(call), operation.Output.(answer)
		if !in.write {
			continue
		}
		c, found := stored[in.id]
		switch {
		case out.err == nil && !found:
			t.Fatalf("seed %d: change %s was confirmed and is not stored", seed, in.id)
		case out.err == nil && c.Revision != out.revision:
			t.Fatalf("seed %d: change %s was confirmed as revision %d and is %d", seed, in.id, out.revision, c.Revision)
		case out.err == nil:
			took++
		case errors.Is(out.err, mulberryspool.ErrUncertain):
			operations[i].Output = answer{took: found, base: c.Base, revision: c.Revision, err: out.err}
			operations[i].Return = math.MaxInt64
		case found:
			t.Fatalf("seed %d: change %s was refused with %v and is stored", seed, in.id, out.err)
		// A file without a base that raced with the first change is refused with ErrUndo.
		case !errors.IsAny(out.err, ErrRowConflict, ErrUndo):
			t.Fatalf("seed %d: change %s failed: %v", seed, in.id, out.err)
		}
	}
	if took < len(operations)/4 {
		t.Fatalf("seed %d: only %d of %d operations took effect", seed, took, len(operations))
	}
	if porcupine.CheckOperations(register, operations) != true {
		t.Fatalf("seed %d: the operations are not linearizable as a register with conditional writes", seed)
	}
	checkReplay(t, seed, store, changes)
}

// checkReplay guards against rows that differ from what the changes say.
func checkReplay(t *testing.T, seed uint64, store *fakeStore, changes []Accepted) {
	t.Helper()
	replayed := rows{}
	for _, c := range changes {
		for _, row := range c.Rows {
			if replayed[keyOf(row)] != row.Before {
				t.Fatalf("seed %d: revision %d changes %s from %s, it was %s", seed, c.Revision, row.Row, row.Before, replayed[keyOf(row)])
			}
			replayed.set(keyOf(row), row.After)
		}
	}
	object, err := store.Get(context.Background(), mulberryspool.TablesKind, mulberryspool.TablesName)
	if err != nil {
		t.Fatal(err)
	}
	final, err := Decode(object.Value)
	if err != nil {
		t.Fatal(err)
	}
	if current, err := rowsOf(final); err != nil || !maps.Equal(current, replayed) {
		t.Fatalf("seed %d: stored rows %v, replayed %v, error %v", seed, current, replayed, err)
	}
}

// Guards against the model accepting everything.
func TestRegisterModelRefusesLostUpdate(t *testing.T) {
	operations := []porcupine.Operation{
		{ClientId: 0, Input: call{write: true}, Call: 1, Output: answer{took: true, base: 0, revision: 1}, Return: 4},
		{ClientId: 1, Input: call{write: true}, Call: 2, Output: answer{took: true, base: 0, revision: 2}, Return: 3},
	}
	if porcupine.CheckOperations(register, operations) {
		t.Fatal("two writes on the same base were accepted")
	}
}

// Guards against a confirmed change being reported as lost after many others.
func TestOwnChangeIsFoundInArchive(t *testing.T) {
	ctx := context.Background()
	store := &fakeStore{}
	w := newWriter(store)
	if _, err := w.Apply(ctx, Edit{Author: "a", File: poolFile(0, map[string]int{"own": 1, "other": 1})}); err != nil {
		t.Fatal(err)
	}
	others := 0
	store.fault = func() fault {
		if others > 0 {
			return faultNone
		}
		others = 2 * maxHistory
		return faultLost
	}
	// The others write after the first, lost write and before it is read back.
	interposed := &interposer{fakeStore: store, act: func() {
		for i := range others {
			applyOne(t, store, "other", i+2)
		}
	}}
	w.Store = interposed
	result, err := w.Apply(ctx, Edit{ID: "own-change", Author: "a", File: poolFile(store.objects["config/tables"].Version, map[string]int{"own": 2, "other": 1})})
	if err != nil {
		t.Fatal(err)
	}
	if result.Change.ID != "own-change" || interposed.act != nil {
		t.Fatalf("change %q was found, interposed %v", result.Change.ID, interposed.act == nil)
	}
	changes, err := History(ctx, store, math.MaxInt)
	if err != nil {
		t.Fatal(err)
	}
	if len(changes) != others+2 || changes[1].ID != "own-change" || changes[1].Revision != result.Revision {
		t.Fatalf("history has %d changes, want %d; the second is %s at %d", len(changes), others+2, changes[1].ID, changes[1].Revision)
	}
}

// interposer runs act once, before the read that follows an uncertain write.
type interposer struct {
	*fakeStore
	act  func()
	lost bool
}

func (i *interposer) Update(ctx context.Context, kind, name string, value []byte, version mulberryspool.Revision) (mulberryspool.Object, error) {
	object, err := i.fakeStore.Update(ctx, kind, name, value, version)
	i.lost = i.lost || errors.Is(err, mulberryspool.ErrUncertain)
	return object, err
}

func (i *interposer) Get(ctx context.Context, kind, name string) (mulberryspool.Object, error) {
	if act := i.act; i.lost && act != nil {
		i.act = nil
		act()
	}
	return i.fakeStore.Get(ctx, kind, name)
}

// applyOne sets one pool's limit on the newest revision.
func applyOne(t *testing.T, store *fakeStore, row string, value int) Result {
	t.Helper()
	object, err := store.Get(context.Background(), mulberryspool.TablesKind, mulberryspool.TablesName)
	if err != nil {
		t.Fatal(err)
	}
	current, err := Decode(object.Value)
	if err != nil {
		t.Fatal(err)
	}
	limits := limitsOf(current)
	limits[row] = value
	w := &Writer{Store: store, Clock: instantClock{clockwork.NewFakeClock()}}
	result, err := w.Apply(context.Background(), Edit{Author: "other", File: poolFile(object.Version, limits)})
	if err != nil {
		t.Fatal(err)
	}
	return result
}
