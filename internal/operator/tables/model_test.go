package tables

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/mulberryspool/mulberryspool"
)

type (
	// stateMachine compares the changes of several operators with a model that
	// records all values of each row.
	stateMachine struct {
		store *fakeStore
		// edited is the file that each operator edits.
		edited [3]editedFile
		// values holds the accepted values of each row in order; 0 if the row
		// was removed.
		values map[string][]modelValue
	}

	editedFile struct {
		base   mulberryspool.Revision
		limits map[string]int
		// original holds the limits as read from the store, before editing.
		original map[string]int
	}

	modelValue struct {
		limit    int
		revision mulberryspool.Revision
		reverts  mulberryspool.Revision
	}
)

// init sets a fixed seed, so that all runs are the same. The command-line flag
// -rapid.seed still overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func (m *stateMachine) current() map[string]int {
	limits := make(map[string]int)
	for row, values := range m.values {
		if limit := values[len(values)-1].limit; limit != 0 {
			limits[row] = limit
		}
	}
	return limits
}

func (m *stateMachine) get(t *rapid.T, operator int) {
	object, err := m.store.Get(context.Background(), mulberryspool.TablesKind, mulberryspool.TablesName)
	if errors.Is(err, mulberryspool.ErrNotFound) {
		m.edited[operator] = editedFile{limits: map[string]int{}, original: map[string]int{}}
		return
	}
	stored, err := Decode(object.Value)
	if err != nil {
		t.Fatal(err)
	}
	limits := limitsOf(stored)
	m.edited[operator] = editedFile{base: object.Version, limits: limits, original: maps.Clone(limits)}
}

// accept checks an accepted change against the model and adds it to the model.
func (m *stateMachine) accept(t *rapid.T, result Result, wanted map[string]int) {
	changed := make(map[string]bool)
	for _, row := range result.Change.Rows {
		changed[row.Row] = true
		if wanted[row.Row] == m.current()[row.Row] {
			t.Fatalf("row %s was changed and was wanted as it is", row.Row)
		}
		m.checkUndone(t, row.Row, wanted[row.Row], result.Change.Reverts)
		m.values[row.Row] = append(m.values[row.Row], modelValue{
			limit: wanted[row.Row], revision: result.Revision, reverts: result.Change.Reverts,
		})
	}
	object, err := m.store.Get(context.Background(), mulberryspool.TablesKind, mulberryspool.TablesName)
	if err != nil {
		if len(result.Change.Rows) == 0 {
			return
		}
		t.Fatal(err)
	}
	stored, err := Decode(object.Value)
	if err != nil {
		t.Fatal(err)
	}
	if !maps.Equal(limitsOf(stored), m.current()) {
		t.Fatalf("stored rows are %v, want %v", limitsOf(stored), m.current())
	}
}

// checkUndone fails if a row returns to an earlier value without naming the
// change that is undone.
func (m *stateMachine) checkUndone(t *rapid.T, row string, limit int, reverts mulberryspool.Revision) {
	values := m.values[row]
	for i := len(values) - 1; i >= 0; i-- {
		before := 0
		if i > 0 {
			before = values[i-1].limit
		}
		if reverts == values[i].revision {
			return
		}
		if before == limit {
			t.Fatalf("row %s goes back to %d from %v, which undoes revision %d, without naming one (reverts %d)", row, limit, values, values[i].revision, reverts)
		}
	}
}

// apply applies the file of an operator and checks the result against the
// model.
func (m *stateMachine) apply(t *rapid.T, operator int, withBase bool, revert mulberryspool.Revision) {
	edited := m.edited[operator]
	file := poolFile(edited.base, edited.limits)
	if !withBase {
		file.Base = 0
	}
	before := m.current()
	result, err := newWriter(m.store).Apply(context.Background(), Edit{Author: "operator", File: file, Revert: revert})
	if err != nil {
		m.checkRefusal(t, err, file.Base, edited)
		return
	}
	wanted := edited.limits
	if file.Base != 0 {
		wanted = maps.Clone(before)
		for row := range union(edited.original, edited.limits) {
			if edited.original[row] == edited.limits[row] {
				continue
			}
			wanted[row] = edited.limits[row]
			if before[row] != edited.original[row] && before[row] != edited.limits[row] {
				t.Fatalf("row %s went from %d at the base to %d by somebody else, and was changed to %d", row, edited.original[row], before[row], edited.limits[row])
			}
		}
	}
	m.accept(t, result, wanted)
	if got := m.current(); !maps.Equal(got, withoutZero(wanted)) {
		t.Fatalf("rows are %v, want %v", got, wanted)
	}
}

// checkRefusal fails if a change is refused without a valid reason.
func (m *stateMachine) checkRefusal(t *rapid.T, err error, base mulberryspool.Revision, edited editedFile) {
	if errors.Is(err, ErrRevert) {
		return
	}
	var refusals Refusals
	if !errors.As(err, &refusals) {
		t.Fatalf("unexpected error %v", err)
	}
	for _, r := range refusals {
		values := m.values[r.Row]
		if r.Conflicting.Author != "operator" || !slices.ContainsFunc(values, func(v modelValue) bool { return v.revision == r.Conflicting.Revision }) {
			t.Fatalf("refusal %v does not name a change of the row", r)
		}
		if !errors.Is(r.Err, ErrRowConflict) {
			continue
		}
		last := values[len(values)-1]
		if base == 0 || last.revision <= base || edited.original[r.Row] == edited.limits[r.Row] || last.limit == edited.limits[r.Row] || r.Conflicting.Revision != last.revision {
			t.Fatalf("row %s is refused as changed since %d by revision %d; its values are %v", r.Row, base, r.Conflicting.Revision, values)
		}
	}
}

// undo undoes one accepted revision without a file and checks the result
// against the model.
func (m *stateMachine) undo(t *rapid.T, revision mulberryspool.Revision) {
	wanted := m.current()
	changedSince := false
	for row, values := range m.values {
		for i, v := range values {
			if v.revision != revision {
				continue
			}
			wanted[row] = 0
			if i > 0 {
				wanted[row] = values[i-1].limit
			}
			changedSince = changedSince || values[len(values)-1].limit != v.limit
		}
	}
	result, err := newWriter(m.store).Apply(context.Background(), Edit{Author: "operator", UndoOnly: true, Revert: revision})
	if err != nil {
		var refusals Refusals
		if errors.As(err, &refusals) && (changedSince || errors.Is(err, ErrUndo)) {
			return
		}
		t.Fatalf("undo of %d failed: %v", revision, err)
	}
	if changedSince {
		t.Fatalf("undo of %d changed a row that was changed since", revision)
	}
	m.accept(t, result, wanted)
}

// Guards against changes that are undone without notice, rows that are lost
// when the changes of two operators are merged, and refusals that name the
// wrong change. Operators read, edit, apply and undo in random order while the
// store loses and delays writes.
func TestChangesMergeAndNothingIsSilentlyUndone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &stateMachine{store: &fakeStore{}, values: make(map[string][]modelValue)}
		m.store.fault = func() fault { return fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault")) }
		for i := range m.edited {
			m.get(t, i)
		}
		operator := rapid.IntRange(0, len(m.edited)-1)
		t.Repeat(map[string]func(*rapid.T){
			"get": func(t *rapid.T) { m.get(t, operator.Draw(t, "operator")) },
			"edit": func(t *rapid.T) {
				row := fmt.Sprint("pool-", rapid.IntRange(0, 3).Draw(t, "row"))
				limit := rapid.IntRange(0, 4).Draw(t, "limit")
				limits := m.edited[operator.Draw(t, "operator")].limits
				if limit == 0 {
					delete(limits, row)
					return
				}
				limits[row] = limit
			},
			"apply":             func(t *rapid.T) { m.apply(t, operator.Draw(t, "operator"), true, 0) },
			"apply baseless":    func(t *rapid.T) { m.apply(t, operator.Draw(t, "operator"), false, 0) },
			"apply with revert": func(t *rapid.T) { m.apply(t, operator.Draw(t, "operator"), true, m.anyRevision(t)) },
			"undo": func(t *rapid.T) {
				if revision := m.anyRevision(t); revision != 0 {
					m.undo(t, revision)
				}
			},
		})
	})
}

// anyRevision returns a random accepted revision; 0 if there is none.
func (m *stateMachine) anyRevision(t *rapid.T) mulberryspool.Revision {
	var revisions []mulberryspool.Revision
	for _, values := range m.values {
		for _, v := range values {
			revisions = append(revisions, v.revision)
		}
	}
	if len(revisions) == 0 {
		return 0
	}
	slices.Sort(revisions)
	return rapid.SampledFrom(slices.Compact(revisions)).Draw(t, "revision")
}

func union(a, b map[string]int) map[string]int {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return all
}

func withoutZero(limits map[string]int) map[string]int {
	kept := make(map[string]int)
	for row, limit := range limits {
		if limit != 0 {
			kept[row] = limit
		}
	}
	return kept
}
