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
	// machine compares changes by several operators with a model that knows
	// every value that a row ever had.
	machine struct {
		store *fakeStore
		// held is the file that each operator edits.
		held [3]heldFile
		// values holds each row's values in the order of acceptance; 0 for no row.
		values map[string][]modelValue
	}

	heldFile struct {
		base   mulberryspool.Revision
		limits map[string]int
		// start is what the operator got.
		start map[string]int
	}

	modelValue struct {
		limit    int
		revision mulberryspool.Revision
		reverts  mulberryspool.Revision
	}
)

// init fixes the seed, so that every run takes the same steps; the flag on
// the command line still chooses another one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func (m *machine) current() map[string]int {
	limits := make(map[string]int)
	for row, values := range m.values {
		if limit := values[len(values)-1].limit; limit != 0 {
			limits[row] = limit
		}
	}
	return limits
}

func (m *machine) get(t *rapid.T, operator int) {
	object, err := m.store.Get(context.Background(), mulberryspool.TablesKind, mulberryspool.TablesName)
	if errors.Is(err, mulberryspool.ErrNotFound) {
		m.held[operator] = heldFile{limits: map[string]int{}, start: map[string]int{}}
		return
	}
	stored, err := Decode(object.Value)
	if err != nil {
		t.Fatal(err)
	}
	limits := limitsOf(stored)
	m.held[operator] = heldFile{base: object.Version, limits: limits, start: maps.Clone(limits)}
}

// accept takes over an accepted change and checks it against the model.
func (m *machine) accept(t *rapid.T, result Result, wanted map[string]int) {
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

// checkUndone guards against a row that silently goes back to an earlier value.
func (m *machine) checkUndone(t *rapid.T, row string, limit int, reverts mulberryspool.Revision) {
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

// apply applies an operator's file and checks acceptance or refusal.
func (m *machine) apply(t *rapid.T, operator int, withBase bool, revert mulberryspool.Revision) {
	held := m.held[operator]
	file := poolFile(held.base, held.limits)
	if !withBase {
		file.Base = 0
	}
	before := m.current()
	result, err := newWriter(m.store).Apply(context.Background(), Edit{Author: "operator", File: file, Revert: revert})
	if err != nil {
		m.checkRefusal(t, err, file.Base, held)
		return
	}
	wanted := held.limits
	if file.Base != 0 {
		wanted = maps.Clone(before)
		for row := range union(held.start, held.limits) {
			if held.start[row] == held.limits[row] {
				continue
			}
			wanted[row] = held.limits[row]
			if before[row] != held.start[row] && before[row] != held.limits[row] {
				t.Fatalf("row %s went from %d at the base to %d by somebody else, and was changed to %d", row, held.start[row], before[row], held.limits[row])
			}
		}
	}
	m.accept(t, result, wanted)
	if got := m.current(); !maps.Equal(got, withoutZero(wanted)) {
		t.Fatalf("rows are %v, want %v", got, wanted)
	}
}

// checkRefusal guards against changes that are refused without a reason.
func (m *machine) checkRefusal(t *rapid.T, err error, base mulberryspool.Revision, held heldFile) {
	if errors.Is(err, ErrRevert) {
		return
	}
	var refusals Refusals
	if !errors.As(err, &refusals) {
		t.Fatalf("unexpected error %v", err)
	}
	for _, r := range refusals {
		values := m.values[r.Row]
		if r.By.Author != "operator" || !slices.ContainsFunc(values, func(v modelValue) bool { return v.revision == r.By.Revision }) {
			t.Fatalf("refusal %v does not name a change of the row", r)
		}
		if !errors.Is(r.Err, ErrRowConflict) {
			continue
		}
		last := values[len(values)-1]
		if base == 0 || last.revision <= base || held.start[r.Row] == held.limits[r.Row] || last.limit == held.limits[r.Row] || r.By.Revision != last.revision {
			t.Fatalf("row %s is refused as changed since %d by revision %d; its values are %v", r.Row, base, r.By.Revision, values)
		}
	}
}

// undo undoes one accepted revision without a file.
func (m *machine) undo(t *rapid.T, revision mulberryspool.Revision) {
	wanted := m.current()
	overtaken := false
	for row, values := range m.values {
		for i, v := range values {
			if v.revision != revision {
				continue
			}
			wanted[row] = 0
			if i > 0 {
				wanted[row] = values[i-1].limit
			}
			overtaken = overtaken || values[len(values)-1].limit != v.limit
		}
	}
	result, err := newWriter(m.store).Apply(context.Background(), Edit{Author: "operator", UndoOnly: true, Revert: revision})
	if err != nil {
		var refusals Refusals
		if errors.As(err, &refusals) && (overtaken || errors.Is(err, ErrUndo)) {
			return
		}
		t.Fatalf("undo of %d failed: %v", revision, err)
	}
	if overtaken {
		t.Fatalf("undo of %d changed a row that was changed since", revision)
	}
	m.accept(t, result, wanted)
}

// Guards against changes that are silently undone, rows of one operator that
// are lost in a merge with another's, and refusals that name the wrong change.
func TestChangesMergeAndNothingIsSilentlyUndone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{store: &fakeStore{}, values: make(map[string][]modelValue)}
		m.store.fault = func() fault { return fault(rapid.IntRange(0, int(faults)-1).Draw(t, "fault")) }
		for i := range m.held {
			m.get(t, i)
		}
		operator := rapid.IntRange(0, len(m.held)-1)
		t.Repeat(map[string]func(*rapid.T){
			"get": func(t *rapid.T) { m.get(t, operator.Draw(t, "operator")) },
			"edit": func(t *rapid.T) {
				row := fmt.Sprint("pool-", rapid.IntRange(0, 3).Draw(t, "row"))
				limit := rapid.IntRange(0, 4).Draw(t, "limit")
				limits := m.held[operator.Draw(t, "operator")].limits
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

func (m *machine) anyRevision(t *rapid.T) mulberryspool.Revision {
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
