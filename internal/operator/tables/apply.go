package tables

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// maxAttempts limits the attempts to write one change. Concurrent changes
	// by operators are rare.
	maxAttempts  = 64
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// ErrUndecodable reports that the stored document can't be decoded, so no
// change can be merged with it.
var ErrUndecodable = errors.New("stored tables can't be read")

type (
	// Writer applies changes to the tables object. Set the exported fields
	// before use.
	Writer struct {
		Store mulberryspool.ObjectStore
		Clock mulberryspool.Clock
		// ClusterState returns the state that a change is validated against. If
		// it is nil, only the tables themselves are validated.
		ClusterState func(ctx context.Context) (ClusterState, error)
	}

	// Edit is a change requested by an operator.
	Edit struct {
		// ID identifies the change; Apply generates one if it is empty.
		ID     string
		Author string
		// File holds the requested rows of both tables. Rows that are the same
		// as at its base revision keep their stored value.
		File File
		// Revert is the revision that the change is allowed to undo; 0 for
		// none.
		Revert mulberryspool.Revision
		// UndoOnly restores the rows that revision Revert changed and ignores
		// File.
		UndoOnly bool
		// ReplaceUndecodable allows replacing a stored document that can't be
		// decoded.
		ReplaceUndecodable bool
		DryRun             bool
	}

	// Result is the outcome of an edit.
	Result struct {
		// Revision is the revision that contains the change. For a dry run or a
		// change without rows it is the revision that the edit was compared
		// with.
		Revision mulberryspool.Revision
		// Change has no rows if the stored tables already match the edit.
		Change mulberryspool.Change
		// Merged lists the changes accepted since the base of the file.
		Merged []AcceptedChange
	}

	// applyOperation is the state of one call of Apply.
	applyOperation struct {
		*Writer
		edit         Edit
		clusterState ClusterState
		// base holds the rows at the base revision of the file; if the file has
		// none, the rows of the first read.
		base rows
		// firstRevision is the revision of the first read. Any revision written
		// by this operation is higher.
		firstRevision mulberryspool.Revision
		// writeAttempted is set before the first write.
		writeAttempted bool
		// uncertain is set while a write with an unknown outcome, conditional
		// on revision pendingBase, may still take effect.
		uncertain   bool
		pendingBase mulberryspool.Revision
	}

	// snapshot is the stored document as returned by one read.
	snapshot struct {
		revision mulberryspool.Revision
		tables   mulberryspool.Tables
		rows     rows
		history  *history
	}
)

// Apply merges the edit with the stored tables and writes the result. It
// returns no error only if the write was confirmed or the change was found in
// the stored history. The error is marked with mulberryspool.ErrUncertain only
// if it could not be determined whether the change was written.
func (w *Writer) Apply(ctx context.Context, edit Edit) (Result, error) {
	if edit.ID == "" {
		edit.ID = uuid.NewString()
	}
	if edit.Author == "" && !edit.DryRun {
		return Result{}, errors.New("a change needs an author")
	}
	a := &applyOperation{Writer: w, edit: edit}
	if w.ClusterState != nil {
		clusterState, err := w.ClusterState(ctx)
		if err != nil {
			return Result{}, err
		}
		a.clusterState = clusterState
	}
	var err error
	for attempt := range maxAttempts {
		var result Result
		var done bool
		result, done, err = a.attempt(ctx)
		if done {
			return result, a.markUncertain(err)
		}
		if !a.backOff(ctx, attempt) {
			break
		}
	}
	return Result{}, a.markUncertain(errors.Wrapf(err, "change %s", edit.ID))
}

// attempt reads, merges and writes once. It returns false if the attempt failed
// and can be repeated.
func (a *applyOperation) attempt(ctx context.Context) (Result, bool, error) {
	current, err := a.read(ctx)
	if err != nil {
		return Result{}, !isTransient(err), err
	}
	if result, found, err := a.findOwnChange(ctx, current); found || err != nil {
		return result, found, err
	}
	result, wanted, err := a.prepare(ctx, current)
	if err != nil {
		return Result{}, !isTransient(err), err
	}
	if len(result.Change.Rows) == 0 || a.edit.DryRun {
		return result, true, nil
	}
	wanted.Changes, err = archiveOldest(ctx, a.Store, current.tables.Changes, result.Change)
	if err != nil {
		return Result{}, !errors.Is(err, errArchiveFailed), err
	}
	document, err := Encode(wanted)
	if err != nil {
		return Result{}, true, err
	}
	return a.write(ctx, current.revision, document, result)
}

// write stores the document if the stored revision is still the given one; 0
// means that no document exists.
func (a *applyOperation) write(ctx context.Context, revision mulberryspool.Revision, document []byte, result Result) (Result, bool, error) {
	var object mulberryspool.Object
	var err error
	a.writeAttempted = true
	if revision == 0 {
		object, err = a.Store.Create(ctx, mulberryspool.TablesKind, mulberryspool.TablesName, document)
	} else {
		object, err = a.Store.Update(ctx, mulberryspool.TablesKind, mulberryspool.TablesName, document, revision)
	}
	switch {
	case err == nil:
		a.uncertain = false
		result.Revision = object.Version
		return result, true, nil
	case errors.Is(err, mulberryspool.ErrUnavailable), errors.Is(err, mulberryspool.ErrConflict):
		return Result{}, false, err
	default:
		// After any other error, such as a cancelled context, the write may
		// still have succeeded.
		a.uncertain, a.pendingBase = true, revision
		return Result{}, false, err
	}
}

// read returns the stored document. If none is stored, the revision is 0.
func (a *applyOperation) read(ctx context.Context) (snapshot, error) {
	object, err := a.Store.Get(ctx, mulberryspool.TablesKind, mulberryspool.TablesName)
	if errors.Is(err, mulberryspool.ErrNotFound) {
		return snapshot{rows: rows{}, history: newHistory(a.Store, mulberryspool.Tables{}, 0)}, nil
	}
	if err != nil {
		return snapshot{}, mulberryspool.AtStep(err, "read tables", "")
	}
	t, err := Decode(object.Value)
	if err == nil {
		var stored rows
		if stored, err = rowsOf(t); err == nil {
			return snapshot{revision: object.Version, tables: t, rows: stored, history: newHistory(a.Store, t, object.Version)}, nil
		}
	}
	if a.edit.ReplaceUndecodable {
		return snapshot{revision: object.Version, rows: rows{}, history: newHistory(a.Store, mulberryspool.Tables{}, 0)}, nil
	}
	return snapshot{}, errors.Mark(errors.Wrapf(err, "revision %d", object.Version), ErrUndecodable)
}

// findOwnChange searches the stored history for this change, which an earlier
// write may have stored although its response was lost.
func (a *applyOperation) findOwnChange(ctx context.Context, current snapshot) (Result, bool, error) {
	above := current.revision
	if a.writeAttempted {
		above = a.firstRevision
	}
	own, found, err := current.history.find(ctx, a.edit.ID, above)
	if err != nil {
		return Result{}, false, err
	}
	if found {
		a.uncertain = false
		return Result{Revision: own.Revision, Change: own.Change}, true, nil
	}
	if a.uncertain && current.revision > a.pendingBase {
		// The revision has moved on, so the conditional write can no longer
		// succeed.
		a.uncertain = false
	}
	return Result{}, false, nil
}

// prepare merges the edit with the stored tables and validates the result
// without writing it.
func (a *applyOperation) prepare(ctx context.Context, current snapshot) (Result, mulberryspool.Tables, error) {
	merged, err := a.mergeEdit(ctx, current)
	if err != nil {
		return Result{}, mulberryspool.Tables{}, err
	}
	result := Result{Revision: current.revision, Change: mulberryspool.Change{
		ID: a.edit.ID, Author: a.edit.Author, Time: a.Clock.Now().UTC(),
		Base: current.revision, Reverts: a.edit.Revert, Rows: current.rows.diff(merged),
	}}
	if a.edit.File.Base != 0 {
		for _, c := range current.history.changes {
			if c.Revision > a.edit.File.Base {
				result.Merged = append(result.Merged, c)
			}
		}
	}
	wanted, err := merged.tables()
	if err != nil || len(result.Change.Rows) == 0 {
		return result, wanted, err
	}
	if err := checkUndo(ctx, current.history, result.Change.Rows, a.edit.Revert); err != nil {
		return result, wanted, err
	}
	return result, wanted, ValidateChange(current.tables, wanted, a.clusterState)
}

// mergeEdit returns the stored rows with the edit applied.
func (a *applyOperation) mergeEdit(ctx context.Context, current snapshot) (rows, error) {
	if a.base == nil {
		a.firstRevision = current.revision
	}
	if a.edit.UndoOnly {
		a.base = current.rows
		return undo(ctx, current.history, current.rows, a.edit.Revert)
	}
	wanted, err := rowsOf(a.edit.File.Tables())
	if err != nil {
		return nil, err
	}
	if a.base == nil {
		if a.base, err = a.rowsAtBase(ctx, current); err != nil {
			return nil, err
		}
	}
	return merge(current.history, a.base, wanted, current.rows)
}

// rowsAtBase returns the rows at the base revision of the file, or the current
// rows if the file has none.
func (a *applyOperation) rowsAtBase(ctx context.Context, current snapshot) (rows, error) {
	base := a.edit.File.Base
	if base > current.revision {
		return nil, errors.Wrapf(ErrBase, "revision %d is above the stored one, %d", base, current.revision)
	}
	if base == 0 {
		return current.rows, nil
	}
	return rowsAt(ctx, current.history, current.rows, base)
}

// markUncertain marks the error with ErrUncertain if a write may still take
// effect.
func (a *applyOperation) markUncertain(err error) error {
	if a.uncertain && err != nil {
		return errors.Mark(errors.Wrapf(err, "change %s may or may not be in force", a.edit.ID), mulberryspool.ErrUncertain)
	}
	return err
}

// backOff waits for an exponentially growing delay with jitter. It returns
// false if the context has ended.
func (a *applyOperation) backOff(ctx context.Context, attempt int) bool {
	delay := min(maxBackoff, firstBackoff<<min(attempt, 10))
	select {
	case <-a.Clock.After(delay/2 + rand.N(delay)):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// isTransient reports whether a failed read may succeed when it is repeated.
func isTransient(err error) bool {
	return errors.Is(err, mulberryspool.ErrUnavailable) || errors.Is(err, mulberryspool.ErrUncertain)
}
