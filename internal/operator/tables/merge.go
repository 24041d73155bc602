package tables

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

// Reasons for which a change is refused. Test for them with errors.Is.
var (
	// ErrRowConflict reports that another change has modified the row since the
	// base revision.
	ErrRowConflict = errors.New("row was changed by somebody else")
	// ErrUndo reports that the change would undo an accepted one that
	// Edit.Revert does not name.
	ErrUndo = errors.New("change undoes a newer one")
	// ErrRevert reports that the revision in Edit.Revert can't be undone, or
	// that the change does not undo it.
	ErrRevert = errors.New("revision is not undone")
	// ErrBase reports that the tables at the base revision can't be
	// reconstructed.
	ErrBase = errors.New("base revision is not known")
)

type (
	// Refusal reports that a change may not modify a row.
	Refusal struct {
		Table, Row string
		// Err is ErrRowConflict, ErrUndo or ErrRevert.
		Err error
		// Conflicting is the accepted change that prevents the modification.
		Conflicting AcceptedChange
		// Value is the row as set by Conflicting; empty if it was removed.
		Value string
	}

	// Refusals is the error for a change that is refused.
	Refusals []Refusal
)

// Error states the row, the reason, and the author, time and value of the
// conflicting change.
func (r Refusal) Error() string {
	value := r.Value
	if value == "" {
		value = "removed"
	}
	text := fmt.Sprintf("%s/%s: %v: %s changed it at %s in revision %d to %s",
		r.Table, r.Row, r.Err, r.Conflicting.Author, r.Conflicting.Time.UTC().Format(time.RFC3339), r.Conflicting.Revision, value)
	if errors.Is(r.Err, ErrUndo) {
		text += fmt.Sprintf("; repeat with --revert %d to undo it on purpose", r.Conflicting.Revision)
	}
	return text
}

// Unwrap returns the reason of the refusal.
func (r Refusal) Unwrap() error { return r.Err }

// Error returns one line per refusal.
func (r Refusals) Error() string {
	lines := make([]string, len(r))
	for i, refusal := range r {
		lines[i] = refusal.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the single refusals.
func (r Refusals) Unwrap() []error {
	wrapped := make([]error, len(r))
	for i, refusal := range r {
		wrapped[i] = refusal
	}
	return wrapped
}

func (r *Refusals) add(key rowKey, kind error, by AcceptedChange) {
	row, _ := findRowChange(by, key)
	*r = append(*r, Refusal{Table: key.table, Row: key.row, Err: kind, Conflicting: by, Value: row.After})
}

// rowsAt reconstructs the rows at the base revision by undoing all later
// changes.
func rowsAt(ctx context.Context, h *history, current rows, base mulberryspool.Revision) (rows, error) {
	if err := h.loadSince(ctx, base); err != nil {
		return nil, err
	}
	if len(h.changes) > 0 && h.changes[0].Base > base {
		return nil, errors.Wrapf(ErrBase, "revision %d is older than the recorded changes; get the tables again", base)
	}
	at := current.clone()
	for i := len(h.changes) - 1; i >= 0 && h.changes[i].Revision > base; i-- {
		for _, row := range h.changes[i].Rows {
			if at[rowKeyOf(row)] != normalizeRow(row.Table, row.After) {
				return nil, errors.Wrapf(ErrBase, "%s/%s at revision %d can't be rebuilt; get the tables again", row.Table, row.Row, base)
			}
			at.set(rowKeyOf(row), normalizeRow(row.Table, row.Before))
		}
	}
	return at, nil
}

// merge applies to current the differences between base and wanted. It refuses
// rows that have been changed in current too, unless to the same value.
func merge(h *history, base, wanted, current rows) (rows, error) {
	merged := current.clone()
	var refusals Refusals
	for _, key := range base.keysWith(wanted) {
		if wanted[key] == base[key] || wanted[key] == current[key] {
			continue
		}
		if current[key] != base[key] {
			by, _ := h.latestChange(key)
			refusals.add(key, ErrRowConflict, by)
			continue
		}
		merged.set(key, wanted[key])
	}
	if len(refusals) > 0 {
		return nil, refusals
	}
	return merged, nil
}

// undo returns the current rows with the changes of one revision undone.
func undo(ctx context.Context, h *history, current rows, revision mulberryspool.Revision) (rows, error) {
	if revision == 0 {
		return nil, errors.Wrap(ErrRevert, "no revision is given")
	}
	if err := h.loadSince(ctx, revision-1); err != nil {
		return nil, err
	}
	for _, a := range h.changes {
		if a.Revision != revision {
			continue
		}
		restored := current.clone()
		var refusals Refusals
		for _, row := range a.Rows {
			if current[rowKeyOf(row)] != normalizeRow(row.Table, row.After) {
				by, _ := h.latestChange(rowKeyOf(row))
				refusals.add(rowKeyOf(row), ErrRowConflict, by)
			}
			restored.set(rowKeyOf(row), normalizeRow(row.Table, row.Before))
		}
		if len(refusals) > 0 {
			return nil, refusals
		}
		return restored, nil
	}
	return nil, errors.Wrapf(ErrRevert, "no change made revision %d", revision)
}

func (r rows) clone() rows {
	copied := make(rows, len(r))
	for key, line := range r {
		copied[key] = line
	}
	return copied
}
