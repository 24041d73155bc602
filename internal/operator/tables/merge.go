package tables

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

// Errors that refuse a change. Test for them with errors.Is.
var (
	// ErrRowConflict says that a row was changed by somebody else since the base.
	ErrRowConflict = errors.New("row was changed by somebody else")
	// ErrUndo says that the change would undo a newer one without naming it.
	ErrUndo = errors.New("change undoes a newer one")
	// ErrRevert says that the named revision can't be undone, or is not.
	ErrRevert = errors.New("revision is not undone")
	// ErrBase says that the tables at the base revision are not known.
	ErrBase = errors.New("base revision is not known")
)

type (
	// Refusal is one row that a change may not touch.
	Refusal struct {
		Table, Row string
		// Err is ErrRowConflict, ErrUndo or ErrRevert.
		Err error
		// By is the change that stands in the way.
		By Accepted
		// Value is what By made of the row; empty where it was removed.
		Value string
	}

	// Refusals is the error for a change that touches such rows.
	Refusals []Refusal
)

// Error names the row and who changed it, when and to what.
func (r Refusal) Error() string {
	value := r.Value
	if value == "" {
		value = "removed"
	}
	text := fmt.Sprintf("%s/%s: %v: %s changed it at %s in revision %d to %s",
		r.Table, r.Row, r.Err, r.By.Author, r.By.Time.UTC().Format(time.RFC3339), r.By.Revision, value)
	if errors.Is(r.Err, ErrUndo) {
		text += fmt.Sprintf("; repeat with --revert %d to undo it on purpose", r.By.Revision)
	}
	return text
}

// Unwrap returns the kind of the refusal.
func (r Refusal) Unwrap() error { return r.Err }

// Error returns one line for each row.
func (r Refusals) Error() string {
	lines := make([]string, len(r))
	for i, refusal := range r {
		lines[i] = refusal.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the refusals.
func (r Refusals) Unwrap() []error {
	wrapped := make([]error, len(r))
	for i, refusal := range r {
		wrapped[i] = refusal
	}
	return wrapped
}

func (r *Refusals) add(key rowKey, kind error, by Accepted) {
	row, _ := rowChange(by, key)
	*r = append(*r, Refusal{Table: key.table, Row: key.row, Err: kind, By: by, Value: row.After})
}

// rowsAt rebuilds the rows as they were at the base revision.
func rowsAt(ctx context.Context, h *history, current rows, base mulberryspool.Revision) (rows, error) {
	if err := h.extendTo(ctx, base); err != nil {
		return nil, err
	}
	if len(h.changes) > 0 && h.changes[0].Base > base {
		return nil, errors.Wrapf(ErrBase, "revision %d is older than the recorded changes; get the tables again", base)
	}
	at := current.clone()
	for i := len(h.changes) - 1; i >= 0 && h.changes[i].Revision > base; i-- {
		for _, row := range h.changes[i].Rows {
			if at[keyOf(row)] != normal(row.Table, row.After) {
				return nil, errors.Wrapf(ErrBase, "%s/%s at revision %d can't be rebuilt; get the tables again", row.Table, row.Row, base)
			}
			at.set(keyOf(row), normal(row.Table, row.Before))
		}
	}
	return at, nil
}

// merge takes over the rows that mine changed since the base. A row that was
// changed differently on both sides is refused.
func merge(h *history, base, mine, current rows) (rows, error) {
	merged := current.clone()
	var refusals Refusals
	for _, key := range base.keysWith(mine) {
		if mine[key] == base[key] || mine[key] == current[key] {
			continue
		}
		if current[key] != base[key] {
			by, _ := h.latest(key)
			refusals.add(key, ErrRowConflict, by)
			continue
		}
		merged.set(key, mine[key])
	}
	if len(refusals) > 0 {
		return nil, refusals
	}
	return merged, nil
}

// undo returns the rows with those of one revision set back.
func undo(ctx context.Context, h *history, current rows, revision mulberryspool.Revision) (rows, error) {
	if revision == 0 {
		return nil, errors.Wrap(ErrRevert, "no revision is given")
	}
	if err := h.extendTo(ctx, revision-1); err != nil {
		return nil, err
	}
	for _, a := range h.changes {
		if a.Revision != revision {
			continue
		}
		restored := current.clone()
		var refusals Refusals
		for _, row := range a.Rows {
			if current[keyOf(row)] != normal(row.Table, row.After) {
				by, _ := h.latest(keyOf(row))
				refusals.add(keyOf(row), ErrRowConflict, by)
			}
			restored.set(keyOf(row), normal(row.Table, row.Before))
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
