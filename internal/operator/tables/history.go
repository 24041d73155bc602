package tables

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

// HistoryKind is the kind of the archive objects, which hold changes that have
// been removed from the document. An archive is named after the revision that
// its last change created. The base of the first change in the document, or in
// an archive, is therefore the name of the archive before it.
const HistoryKind = "tablesHistory"

const (
	// Every process downloads the whole document after each change. With 800
	// changes a day (requirement R27), 32 KiB of history use at most 0.3 KB/s
	// of the 2 KB/s that a node may use for all control traffic (requirement
	// R28).
	maxHistoryBytes   = 32 << 10
	maxHistoryChanges = 64
)

type (
	// AcceptedChange is a change with the revision that it created.
	AcceptedChange struct {
		mulberryspool.Change
		Revision mulberryspool.Revision `json:"revision"`
	}

	// history holds accepted changes, oldest first. Older ones are loaded from
	// archives on demand.
	history struct {
		store   mulberryspool.ObjectStore
		changes []AcceptedChange
		// complete is set if no older archive exists.
		complete bool
	}
)

// History returns up to limit of the latest changes, oldest first.
func History(ctx context.Context, store mulberryspool.ObjectStore, limit int) ([]AcceptedChange, error) {
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
		if err := h.loadArchive(ctx); err != nil {
			return nil, err
		}
	}
	return h.changes[max(0, len(h.changes)-limit):], nil
}

// UndoneRevisions returns the revisions before the change at index that this
// change undid, by setting one of their rows back to an earlier value.
func UndoneRevisions(changes []AcceptedChange, index int) []mulberryspool.Revision {
	var undid []mulberryspool.Revision
	for _, row := range changes[index].Rows {
		for _, earlier := range changesUndoneBy(changes[:index], rowKeyOf(row), row.After) {
			if !slices.Contains(undid, earlier.Revision) {
				undid = append(undid, earlier.Revision)
			}
		}
	}
	slices.Sort(undid)
	return undid
}

func newHistory(store mulberryspool.ObjectStore, t mulberryspool.Tables, revision mulberryspool.Revision) *history {
	return &history{store: store, changes: withRevisions(t.Changes, revision), complete: len(t.Changes) == 0}
}

// withRevisions adds to each change the revision that it created, which is the
// base of the next change; last is the revision of the last one.
func withRevisions(changes []mulberryspool.Change, last mulberryspool.Revision) []AcceptedChange {
	all := make([]AcceptedChange, len(changes))
	for i, c := range changes {
		all[i] = AcceptedChange{Change: c, Revision: last}
		if i+1 < len(changes) {
			all[i].Revision = changes[i+1].Base
		}
	}
	return all
}

// loadArchive loads the archive that precedes the oldest loaded change.
func (h *history) loadArchive(ctx context.Context) error {
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
		return mulberryspool.AtStep(err, "read archived changes", "")
	}
	var changes []mulberryspool.Change
	if err := json.Unmarshal(object.Value, &changes); err != nil || len(changes) == 0 {
		return errors.Newf("object %s/%s does not hold changes", HistoryKind, archiveName(last))
	}
	if changes[0].Base >= last {
		return errors.Newf("object %s/%s holds changes that are newer than its name", HistoryKind, archiveName(last))
	}
	h.changes = append(withRevisions(changes, last), h.changes...)
	return nil
}

// loadSince loads archives until all changes above the revision are loaded.
func (h *history) loadSince(ctx context.Context, revision mulberryspool.Revision) error {
	for !h.complete && h.changes[0].Base > revision {
		if err := h.loadArchive(ctx); err != nil {
			return err
		}
	}
	return nil
}

// find returns the change with the ID. It loads all changes above the revision
// first.
func (h *history) find(ctx context.Context, id string, above mulberryspool.Revision) (AcceptedChange, bool, error) {
	if err := h.loadSince(ctx, above); err != nil {
		return AcceptedChange{}, false, err
	}
	for _, a := range h.changes {
		if a.ID == id {
			return a, true, nil
		}
	}
	return AcceptedChange{}, false, nil
}

// latestChange returns the newest loaded change of a row.
func (h *history) latestChange(key rowKey) (AcceptedChange, bool) {
	for i := len(h.changes) - 1; i >= 0; i-- {
		if _, ok := findRowChange(h.changes[i], key); ok {
			return h.changes[i], true
		}
	}
	return AcceptedChange{}, false
}

// archiveOldest appends the next change. If the result exceeds the limits, it
// moves the oldest changes to an archive object. It returns the changes that
// remain in the document. Concurrent writers store the same content under the
// same name, so a conflict is no error.
func archiveOldest(ctx context.Context, store mulberryspool.ObjectStore, changes []mulberryspool.Change, next mulberryspool.Change) ([]mulberryspool.Change, error) {
	keep, err := countRetained(append(slices.Clone(changes), next))
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
		// The next attempt writes the archive again. The cause is not wrapped:
		// ErrUncertain would otherwise be taken for the outcome of the write of
		// the document.
		return nil, errors.Wrap(errors.Mark(errors.Newf("%v", err), errArchiveFailed), "archive older changes")
	}
	return remaining, nil
}

// errArchiveFailed marks failures that occur before the document is written.
var errArchiveFailed = errors.New("older changes are not archived")

// countRetained returns how many of the latest changes remain in the document:
// all of them if they fit the limits, otherwise as many as fit half of the
// limits, and at least one.
func countRetained(changes []mulberryspool.Change) (int, error) {
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
	if total <= maxHistoryBytes && len(changes) <= maxHistoryChanges {
		return len(changes), nil
	}
	keep, size := 1, sizes[len(sizes)-1]
	for keep < len(changes) && keep < maxHistoryChanges/2 {
		size += sizes[len(sizes)-1-keep]
		if size > maxHistoryBytes/2 {
			break
		}
		keep++
	}
	return keep, nil
}

// archiveName pads the revision with zeros, so that names sort in the order of
// revisions.
func archiveName(last mulberryspool.Revision) string {
	return fmt.Sprintf("%020d", last)
}

// findRowChange returns the part of the change that concerns the row.
func findRowChange(a AcceptedChange, key rowKey) (mulberryspool.RowChange, bool) {
	for _, row := range a.Rows {
		if rowKeyOf(row) == key {
			return row, true
		}
	}
	return mulberryspool.RowChange{}, false
}
