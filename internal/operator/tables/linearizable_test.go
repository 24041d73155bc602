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
	// operationInput is one operation on the tables, which are modelled as a
	// register whose value is the revision.
	operationInput struct {
		// write is set for an apply and false for a read.
		write bool
		id    string
		// row and value are the change that the apply requests.
		row   string
		value int
	}

	// operationOutput is the result that the operator got. If the outcome of a
	// write is unknown, it is filled in from the stored history.
	operationOutput struct {
		// applied is set if a write took effect.
		applied  bool
		base     mulberryspool.Revision
		revision mulberryspool.Revision
		err      error
	}
)

// register models a register that accepts a write only if the current revision
// is the base of the write.
var register = porcupine.Model{
	Init: func() any { return mulberryspool.Revision(0) },
	Step: func(state, input, output any) (bool, any) {
		current, in, out := state.(mulberryspool.Revision), input.(operationInput), output.(operationOutput)
		switch {
		case !in.write:
			return out.revision == current, current
		case !out.applied:
			return true, current
		}
		return out.base == current, out.revision
	},
	Equal: func(a, b any) bool { return a.(mulberryspool.Revision) == b.(mulberryspool.Revision) },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v -> %+v", input, output)
	},
}

// Guards against changes that are reported as successful but not stored,
// reported as refused but stored, or stored twice, when operators write
// concurrently and the store loses or delays writes.
func TestRacingOperatorsWithLostAnswers(t *testing.T) {
	const operators, changes, seeds = 5, 12, 12
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 1))
		store := &fakeStore{random: random}
		store.fault = func() fault {
			if random.IntN(2) == 0 {
				return faultNone
			}
			return fault(random.IntN(int(faultCount)))
		}
		var mu sync.Mutex
		var operations []porcupine.Operation
		var clock atomic.Int64
		var running sync.WaitGroup
		for operator := range operators {
			choose := rand.New(rand.NewPCG(seed, uint64(operator)+2))
			running.Go(func() {
				for i := range changes {
					in := operationInput{
						write: choose.IntN(4) > 0, id: fmt.Sprintf("%d-%d-%d", seed, operator, i),
						row: fmt.Sprintf("pool-%d", choose.IntN(3)), value: 1 + operator*changes + i,
					}
					operation := porcupine.Operation{ClientId: operator, Input: in, Call: clock.Add(1)}
					out := performOperation(store, in)
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

// performOperation reads the tables, or reads them and applies a change.
func performOperation(store mulberryspool.ObjectStore, in operationInput) operationOutput {
	ctx := context.Background()
	object, err := store.Get(ctx, mulberryspool.TablesKind, mulberryspool.TablesName)
	if !in.write || (err != nil && !errors.Is(err, mulberryspool.ErrNotFound)) {
		return operationOutput{revision: object.Version}
	}
	limits := map[string]int{}
	if err == nil {
		t, err := Decode(object.Value)
		if err != nil {
			return operationOutput{err: err}
		}
		limits = limitsOf(t)
	}
	limits[in.row] = in.value
	result, err := newWriter(store).Apply(ctx, Edit{ID: in.id, Author: in.id, File: poolFile(object.Version, limits)})
	return operationOutput{applied: err == nil, base: result.Change.Base, revision: result.Revision, err: err}
}

// checkHistory compares the results that the operators got with the stored
// history, and checks that the operations are linearizable.
func checkHistory(t *testing.T, seed uint64, store *fakeStore, operations []porcupine.Operation) {
	t.Helper()
	store.fault, store.random = nil, nil
	changes, err := History(context.Background(), store, math.MaxInt)
	if err != nil {
		t.Fatal(err)
	}
	stored := make(map[string]AcceptedChange)
	for _, c := range changes {
		if _, twice := stored[c.ID]; twice {
			t.Fatalf("seed %d: change %s is stored twice", seed, c.ID)
		}
		stored[c.ID] = c
	}
	applied := 0
	for i, operation := range operations {
		in, out := operation.Input.(operationInput), operation.Output.(operationOutput)
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
			applied++
		case errors.Is(out.err, mulberryspool.ErrUncertain):
			operations[i].Output = operationOutput{applied: found, base: c.Base, revision: c.Revision, err: out.err}
			operations[i].Return = math.MaxInt64
		case found:
			t.Fatalf("seed %d: change %s was refused with %v and is stored", seed, in.id, out.err)
		// A file without a base is refused with ErrUndo if the first change was
		// written concurrently.
		case !errors.IsAny(out.err, ErrRowConflict, ErrUndo):
			t.Fatalf("seed %d: change %s failed: %v", seed, in.id, out.err)
		}
	}
	if applied < len(operations)/4 {
		t.Fatalf("seed %d: only %d of %d operations took effect", seed, applied, len(operations))
	}
	if porcupine.CheckOperations(register, operations) != true {
		t.Fatalf("seed %d: the operations are not linearizable as a register with conditional writes", seed)
	}
	checkReplay(t, seed, store, changes)
}

// checkReplay fails if the stored rows differ from the result of replaying all
// changes.
func checkReplay(t *testing.T, seed uint64, store *fakeStore, changes []AcceptedChange) {
	t.Helper()
	replayed := rows{}
	for _, c := range changes {
		for _, row := range c.Rows {
			if replayed[rowKeyOf(row)] != row.Before {
				t.Fatalf("seed %d: revision %d changes %s from %s, it was %s", seed, c.Revision, row.Row, row.Before, replayed[rowKeyOf(row)])
			}
			replayed.set(rowKeyOf(row), row.After)
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

// Guards against a register model that accepts lost updates, which would make
// the linearizability check of this package useless.
func TestRegisterModelRefusesLostUpdate(t *testing.T) {
	operations := []porcupine.Operation{
		{ClientId: 0, Input: operationInput{write: true}, Call: 1, Output: operationOutput{applied: true, base: 0, revision: 1}, Return: 4},
		{ClientId: 1, Input: operationInput{write: true}, Call: 2, Output: operationOutput{applied: true, base: 0, revision: 2}, Return: 3},
	}
	if porcupine.CheckOperations(register, operations) {
		t.Fatal("two writes on the same base were accepted")
	}
}

// Guards against a stored change that is reported as lost: the response of its
// write is lost, and before the history is read back, other changes move it to
// the archive.
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
		others = 2 * maxHistoryChanges
		return faultAnswerLost
	}
	// The other changes are written after the write whose response is lost and
	// before the next read.
	hooked := &hookedStore{fakeStore: store, hook: func() {
		for i := range others {
			applyOne(t, store, "other", i+2)
		}
	}}
	w.Store = hooked
	result, err := w.Apply(ctx, Edit{ID: "own-change", Author: "a", File: poolFile(store.objects["config/tables"].Version, map[string]int{"own": 2, "other": 1})})
	if err != nil {
		t.Fatal(err)
	}
	if result.Change.ID != "own-change" || hooked.hook != nil {
		t.Fatalf("change %q was found, hook called %v", result.Change.ID, hooked.hook == nil)
	}
	changes, err := History(ctx, store, math.MaxInt)
	if err != nil {
		t.Fatal(err)
	}
	if len(changes) != others+2 || changes[1].ID != "own-change" || changes[1].Revision != result.Revision {
		t.Fatalf("history has %d changes, want %d; the second is %s at %d", len(changes), others+2, changes[1].ID, changes[1].Revision)
	}
}

// hookedStore calls hook once, before the first read after an uncertain write.
type hookedStore struct {
	*fakeStore
	hook      func()
	uncertain bool
}

func (h *hookedStore) Update(ctx context.Context, kind, name string, value []byte, version mulberryspool.Revision) (mulberryspool.Object, error) {
	object, err := h.fakeStore.Update(ctx, kind, name, value, version)
	h.uncertain = h.uncertain || errors.Is(err, mulberryspool.ErrUncertain)
	return object, err
}

func (h *hookedStore) Get(ctx context.Context, kind, name string) (mulberryspool.Object, error) {
	if hook := h.hook; h.uncertain && hook != nil {
		h.hook = nil
		hook()
	}
	return h.fakeStore.Get(ctx, kind, name)
}

// applyOne sets the limit of one pool on top of the newest revision.
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
