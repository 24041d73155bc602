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
	// maxAttempts bounds the writes of one change; operators rarely race.
	maxAttempts  = 64
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// ErrUndecodable says that the stored document can't be read, so that nothing
// can be merged with it.
var ErrUndecodable = errors.New("stored tables can't be read")

type (
	// Writer changes the tables object. Set the exported fields before use.
	Writer struct {
		Store mulberryspool.ObjectStore
		Clock mulberryspool.Clock
		// Around returns what a change is checked against; nil for nothing.
		Around func(ctx context.Context) (Surroundings, error)
	}

	// Edit is what an operator wants.
	Edit struct {
		// ID names the change; a new one is made when it is empty.
		ID     string
		Author string
		// File holds all rows as they are to be; rows that it does not change
		// since its base are left as they are.
		File File
		// Revert names the revision that may be undone; 0 for none.
		Revert mulberryspool.Revision
		// UndoOnly sets the rows of Revert back; File is not used.
		UndoOnly bool
		// ReplaceUndecodable permits to replace a stored document that can't be read.
		ReplaceUndecodable bool
		DryRun             bool
	}

	// Result says what became of an edit.
	Result struct {
		// Revision has the change in force; for a dry run and without rows it
		// is the revision that was compared with.
		Revision mulberryspool.Revision
		// Change has no rows when the tables are already as wanted.
		Change mulberryspool.Change
		// Merged lists the changes of others since the file's base.
		Merged []Accepted
	}

	// application is one run of Apply.
	application struct {
		*Writer
		edit   Edit
		around Surroundings
		// base is fixed at the first read when the file has no base.
		base rows
		// first is the revision of the first read; the change is above it.
		first mulberryspool.Revision
		// written is set once a write was tried.
		written bool
		// uncertain is set while a write on pending may still take effect.
		uncertain bool
		pending   mulberryspool.Revision
	}

	// snapshot is the stored document at one read.
	snapshot struct {
		revision mulberryspool.Revision
		tables   mulberryspool.Tables
		rows     rows
		history  *history
	}
)

// Apply merges the edit with the stored tables and writes the result. It
// returns nil only when the change was read back or confirmed, and an error
// with mulberryspool.ErrUncertain only when that could not be found out.
func (w *Writer) Apply(ctx context.Context, edit Edit) (Result, error) {
	if edit.ID == "" {
		edit.ID = uuid.NewString()
	}
	if edit.Author == "" && !edit.DryRun {
		return Result{}, errors.New("a change needs an author")
	}
	a := &application{Writer: w, edit: edit}
	if w.Around != nil {
		around, err := w.Around(ctx)
		if err != nil {
			return Result{}, err
		}
		a.around = around
	}
	var err error
	for attempt := range maxAttempts {
		var result Result
		var done bool
		result, done, err = a.attempt(ctx)
		if done {
			return result, a.outcome(err)
		}
		if !a.pause(ctx, attempt) {
			break
		}
	}
	return Result{}, a.outcome(errors.Wrapf(err, "change %s", edit.ID))
}

// attempt reads, merges and writes once. It is done unless the attempt can be
// repeated.
func (a *application) attempt(ctx context.Context) (Result, bool, error) {
	current, err := a.read(ctx)
	if err != nil {
		return Result{}, !transient(err), err
	}
	if result, found, err := a.findOwn(ctx, current); found || err != nil {
		return result, found, err
	}
	result, wanted, err := a.prepare(ctx, current)
	if err != nil {
		return Result{}, !transient(err), err
	}
	if len(result.Change.Rows) == 0 || a.edit.DryRun {
		return result, true, nil
	}
	wanted.Changes, err = archive(ctx, a.Store, current.tables.Changes, result.Change)
	if err != nil {
		return Result{}, !errors.Is(err, errArchive), err
	}
	document, err := Encode(wanted)
	if err != nil {
		return Result{}, true, err
	}
	return a.write(ctx, current.revision, document, result)
}

func (a *application) write(ctx context.Context, revision mulberryspool.Revision, document []byte, result Result) (Result, bool, error) {
	var object mulberryspool.Object
	var err error
	a.written = true
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
		// Every other error, such as an ended context, may hide a success.
		a.uncertain, a.pending = true, revision
		return Result{}, false, err
	}
}

// read returns the stored document; a missing one has revision 0.
func (a *application) read(ctx context.Context) (snapshot, error) {
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

// findOwn looks for the change itself, which an earlier write with a lost
// answer may have stored.
func (a *application) findOwn(ctx context.Context, current snapshot) (Result, bool, error) {
	above := current.revision
	if a.written {
		above = a.first
	}
	own, found, err := current.history.find(ctx, a.edit.ID, above)
	if err != nil {
		return Result{}, false, err
	}
	if found {
		a.uncertain = false
		return Result{Revision: own.Revision, Change: own.Change}, true, nil
	}
	if a.uncertain && current.revision > a.pending {
		// The conditional write can no longer succeed.
		a.uncertain = false
	}
	return Result{}, false, nil
}

// prepare merges and checks, without writing.
func (a *application) prepare(ctx context.Context, current snapshot) (Result, mulberryspool.Tables, error) {
	merged, err := a.merged(ctx, current)
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
	return result, wanted, ValidateChange(current.tables, wanted, a.around)
}

func (a *application) merged(ctx context.Context, current snapshot) (rows, error) {
	if a.base == nil {
		a.first = current.revision
	}
	if a.edit.UndoOnly {
		a.base = current.rows
		return undo(ctx, current.history, current.rows, a.edit.Revert)
	}
	mine, err := rowsOf(a.edit.File.Tables())
	if err != nil {
		return nil, err
	}
	if a.base == nil {
		if a.base, err = a.rowsAtBase(ctx, current); err != nil {
			return nil, err
		}
	}
	return merge(current.history, a.base, mine, current.rows)
}

func (a *application) rowsAtBase(ctx context.Context, current snapshot) (rows, error) {
	base := a.edit.File.Base
	if base > current.revision {
		return nil, errors.Wrapf(ErrBase, "revision %d is above the stored one, %d", base, current.revision)
	}
	if base == 0 {
		return current.rows, nil
	}
	return rowsAt(ctx, current.history, current.rows, base)
}

// outcome adds ErrUncertain when a write may still take effect.
func (a *application) outcome(err error) error {
	if a.uncertain && err != nil {
		return errors.Mark(errors.Wrapf(err, "change %s may or may not be in force", a.edit.ID), mulberryspool.ErrUncertain)
	}
	return err
}

// pause waits with a doubling, jittered delay. It returns false when the
// context has ended.
func (a *application) pause(ctx context.Context, attempt int) bool {
	delay := min(maxBackoff, firstBackoff<<min(attempt, 10))
	select {
	case <-a.Clock.After(delay/2 + rand.N(delay)):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// transient reports whether a read may succeed later.
func transient(err error) bool {
	return errors.Is(err, mulberryspool.ErrUnavailable) || errors.Is(err, mulberryspool.ErrUncertain)
}
