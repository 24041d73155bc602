package tables

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

// HistoryKind is the kind of the objects that hold older changes. An object
// is named by the revision that its last change made, so that the first
// change of the document, or of an archive, names the archive before it.
const HistoryKind = "tablesHistory"

const (
	// The document travels to every process with every change. At 800 changes
	// a day (R27) and 2 KB/s for all control work of a node (R28), 32 KiB of
	// history cost at most 0.3 KB/s.
	maxHistoryBytes = 32 << 10
	maxHistory      = 64
)

type (
	// Accepted is a change with the revision that it made.
	Accepted struct {
		mulberryspool.Change
		Revision mulberryspool.Revision `json:"revision"`
	}

	// history holds accepted changes, oldest first, and can be extended into the past.
	history struct {
		store   mulberryspool.ObjectStore
		changes []Accepted
		// complete is set when no older archive exists.
		complete bool
	}
)

// History returns the latest changes, oldest first, at most limit of them.
func History(ctx context.Context, store mulberryspool.ObjectStore, limit int) ([]Accepted, error) {
	object, err := store.Get(ctx, mulberryspool.TablesKind, mulberryspool.TablesName)
	if errors.Is(err, mulberryspool.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, mulberryspool.AtStep(err, "read tables", "")
	}
	t, err := Decode(object.Value)
	if err != nil {
		return nil, err
	}
	h := newHistory(store, t, object.Version)
	for len(h.changes) < limit && !h.complete {
		if err := h.extend(ctx); err != nil {
			return nil, err
		}
	}
	return h.changes[max(0, len(h.changes)-limit):], nil
}

// Undid returns the revisions whose rows the change set back to an earlier
// value, among the changes before it.
func Undid(changes []Accepted, index int) []mulberryspool.Revision {
	var undid []mulberryspool.Revision
	for _, row := range changes[index].Rows {
		for _, earlier := range undoneBy(changes[:index], keyOf(row), row.After) {
			if !slices.Contains(undid, earlier.Revision) {
				undid = append(undid, earlier.Revision)
			}
		}
	}
	slices.Sort(undid)
	return undid
}

func newHistory(store mulberryspool.ObjectStore, t mulberryspool.Tables, revision mulberryspool.Revision) *history {
	return &history{store: store, changes: accepted(t.Changes, revision), complete: len(t.Changes) == 0}
}

// accepted adds revisions: the base of a change is what the one before made.
func accepted(changes []mulberryspool.Change, last mulberryspool.Revision) []Accepted {
	all := make([]Accepted, len(changes))
	for i, c := range changes {
		all[i] = Accepted{Change: c, Revision: last}
		if i+1 < len(changes) {
			all[i].Revision = changes[i+1].Base
		}
	}
	return all
}

// extend loads the archive before the oldest change.
func (h *history) extend(ctx context.Context) error {
	if h.complete {
		return nil
	}
	last := h.changes[0].Base
	object, err := h.store.Get(ctx, HistoryKind, archiveName(last))
	if errors.Is(err, mulberryspool.ErrNotFound) {
		h.complete = true
		return nil
	}
	if err != nil {
		return mulberryspool.AtStep(err, "read older changes", "")
	}
	var changes []mulberryspool.Change
	if err := json.Unmarshal(object.Value, &changes); err != nil || len(changes) == 0 {
		return errors.Newf("object %s/%s does not hold changes", HistoryKind, archiveName(last))
	}
	if changes[0].Base >= last {
		return errors.Newf("object %s/%s holds changes that are newer than its name", HistoryKind, archiveName(last))
	}
	h.changes = append(accepted(changes, last), h.changes...)
	return nil
}

// extendTo loads archives until all changes above the revision are there.
func (h *history) extendTo(ctx context.Context, revision mulberryspool.Revision) error {
	for !h.complete && h.changes[0].Base > revision {
		if err := h.extend(ctx); err != nil {
			return err
		}
	}
	return nil
}

// find returns the change with the ID among those above the revision.
func (h *history) find(ctx context.Context, id string, above mulberryspool.Revision) (Accepted, bool, error) {
	if err := h.extendTo(ctx, above); err != nil {
		return Accepted{}, false, err
	}
	for _, a := range h.changes {
		if a.ID == id {
			return a, true, nil
		}
	}
	return Accepted{}, false, nil
}

// latest returns the newest change of a row.
func (h *history) latest(key rowKey) (Accepted, bool) {
	for i := len(h.changes) - 1; i >= 0; i-- {
		if _, ok := rowChange(h.changes[i], key); ok {
			return h.changes[i], true
		}
	}
	return Accepted{}, false
}

// archive stores the oldest changes when one more would exceed the bound, and
// returns those that stay in the document. Racing writers store the same
// content under the same name.
func archive(ctx context.Context, store mulberryspool.ObjectStore, changes []mulberryspool.Change, next mulberryspool.Change) ([]mulberryspool.Change, error) {
	keep, err := kept(append(slices.Clone(changes), next))
	if err != nil {
		return nil, err
	}
	cut := len(changes) + 1 - keep
	if cut == 0 {
		return append(slices.Clone(changes), next), nil
	}
	older, err := json.Marshal(changes[:cut])
	if err != nil {
		return nil, errors.Wrap(err, "encode older changes")
	}
	remaining := append(slices.Clone(changes[cut:]), next)
	_, err = store.Create(ctx, HistoryKind, archiveName(remaining[0].Base), older)
	if err != nil && !errors.Is(err, mulberryspool.ErrConflict) {
		// The next attempt writes the archive again. The cause is not wrapped,
		// because an uncertain archive says nothing about the document.
		return nil, errors.Wrap(errors.Mark(errors.Newf("%v", err), errArchive), "store older changes")
	}
	return remaining, nil
}

// errArchive marks failures before the document was touched.
var errArchive = errors.New("older changes are not stored")

// kept returns how many of the latest changes stay: all within the bounds,
// else half of the bounds, and always the last one.
func kept(changes []mulberryspool.Change) (int, error) {
	sizes := make([]int, len(changes))
	total := 0
	for i, c := range changes {
		line, err := json.Marshal(c)
		if err != nil {
			return 0, errors.Wrap(err, "encode change")
		}
		sizes[i] = len(line)
		total += len(line)
	}
	if total <= maxHistoryBytes && len(changes) <= maxHistory {
		return len(changes), nil
	}
	keep, size := 1, sizes[len(sizes)-1]
	for keep < len(changes) && keep < maxHistory/2 {
		size += sizes[len(sizes)-1-keep]
		if size > maxHistoryBytes/2 {
			break
		}
		keep++
	}
	return keep, nil
}

// archiveName pads the revision, so that names sort like revisions.
func archiveName(last mulberryspool.Revision) string {
	return fmt.Sprintf("%020d", last)
}

func rowChange(a Accepted, key rowKey) (mulberryspool.RowChange, bool) {
	for _, row := range a.Rows {
		if keyOf(row) == key {
			return row, true
		}
	}
	return mulberryspool.RowChange{}, false
}
