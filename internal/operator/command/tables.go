package command

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/operator/tables"
)

func (p *Program) tables(ctx context.Context, a *arguments) error {
	if a.Tables.Validate != nil {
		return p.tablesValidate(a.Tables.Validate)
	}
	store, err := p.objectStore(a)
	if err != nil {
		return err
	}
	switch {
	case a.Tables.Get != nil:
		return p.tablesGet(ctx, store, a.Tables.Get)
	case a.Tables.History != nil:
		return p.tablesHistory(ctx, store, a.Tables.History)
	case a.Tables.Apply != nil:
		return p.tablesApply(ctx, store, a)
	}
	return withCode(ExitBadInput, errors.New("tables needs the subcommand get, apply, validate or history"))
}

func (p *Program) tablesValidate(a *tablesValidate) error {
	if err := require("--file", a.File); err != nil {
		return err
	}
	if _, err := tables.ReadFile(a.File); err != nil {
		return badInput(err)
	}
	_, err := fmt.Fprintf(p.Out, "%s: tables are valid\n", a.File)
	return err
}

func (p *Program) tablesGet(ctx context.Context, store mulberryspool.ObjectStore, a *tablesGet) error {
	object, err := store.Get(ctx, mulberryspool.TablesKind, mulberryspool.TablesName)
	if err != nil {
		return mulberryspool.AtStep(err, "read tables", "")
	}
	t, err := tables.Decode(object.Value)
	if err != nil {
		return errors.Wrapf(err, "revision %d", object.Version)
	}
	format := tables.Format
	if a.JSON {
		format = tables.FormatJSON
	}
	content, err := format(t, object.Version)
	if err != nil {
		return err
	}
	_, err = p.Out.Write(content)
	return err
}

// undoSearchChanges is the number of changes before the printed ones that are
// searched for undone changes.
const undoSearchChanges = 256

// historyRow is a printed change, with the revisions that it undid.
type historyRow struct {
	tables.AcceptedChange
	Undid []mulberryspool.Revision `json:"undid,omitempty"`
}

func (p *Program) tablesHistory(ctx context.Context, store mulberryspool.ObjectStore, a *tablesHistory) error {
	if a.Limit < 1 {
		return withCode(ExitBadInput, errors.Newf("--limit %d is not above 0", a.Limit))
	}
	changes, err := tables.History(ctx, store, a.Limit+undoSearchChanges)
	if err != nil {
		return err
	}
	listed := []historyRow{}
	for i := max(0, len(changes)-a.Limit); i < len(changes); i++ {
		listed = append(listed, historyRow{AcceptedChange: changes[i], Undid: tables.UndoneRevisions(changes, i)})
	}
	if a.JSON {
		encoder := json.NewEncoder(p.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(listed)
	}
	for _, c := range listed {
		if err := p.printChange(c); err != nil {
			return err
		}
	}
	return nil
}

func (p *Program) printChange(c historyRow) error {
	line := fmt.Sprintf("revision %d by %s at %s, change %s", c.Revision, c.Author, c.Time.UTC().Format(time.RFC3339), c.ID)
	for _, revision := range c.Undid {
		line += fmt.Sprintf(", undoes %d", revision)
	}
	if _, err := fmt.Fprintln(p.Out, line); err != nil {
		return err
	}
	return p.printRows(c.Rows)
}

// printRows prints the changed rows, with "-" before the old and "+" before the
// new values.
func (p *Program) printRows(rows []mulberryspool.RowChange) error {
	for _, row := range rows {
		if _, err := fmt.Fprintf(p.Out, "  %s/%s\n", row.Table, row.Row); err != nil {
			return err
		}
		for _, side := range []struct{ sign, line string }{{"-", row.Before}, {"+", row.After}} {
			if side.line == "" {
				continue
			}
			if _, err := fmt.Fprintf(p.Out, "  %s %s\n", side.sign, side.line); err != nil {
				return err
			}
		}
	}
	return nil
}

func (p *Program) tablesApply(ctx context.Context, store mulberryspool.ObjectStore, a *arguments) error {
	edit, err := a.edit()
	if err != nil {
		return err
	}
	writer := &tables.Writer{Store: store, Clock: p.Clock, ClusterState: p.clusterState(store, a)}
	bounded, cancel := context.WithTimeout(ctx, a.Timeout)
	result, err := writer.Apply(bounded, edit)
	cancel()
	if err != nil {
		return applyError(err)
	}
	for _, c := range result.Merged {
		if _, err := fmt.Fprintf(p.Out, "merged with revision %d by %s\n", c.Revision, c.Author); err != nil {
			return err
		}
	}
	if err := p.printRows(result.Change.Rows); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(p.Out, resultSummary(result, edit)); err != nil {
		return err
	}
	if a.Tables.Apply.Wait && !edit.DryRun {
		return p.waitInForce(ctx, a, result.Revision)
	}
	return nil
}

// resultSummary describes the result of `tables apply` in one line.
func resultSummary(result tables.Result, edit tables.Edit) string {
	switch {
	case len(result.Change.Rows) == 0:
		return fmt.Sprintf("nothing to change, revision %d", result.Revision)
	case edit.DryRun:
		return fmt.Sprintf("dry run, nothing written; compared with revision %d", result.Revision)
	}
	return fmt.Sprintf("accepted as revision %d, change %s", result.Revision, result.Change.ID)
}

// edit converts the arguments of `tables apply`.
func (a *arguments) edit() (tables.Edit, error) {
	apply := a.Tables.Apply
	edit := tables.Edit{Revert: apply.Revert, DryRun: apply.DryRun, ReplaceUndecodable: apply.Replace}
	switch {
	case apply.File != "":
		file, err := tables.ReadFile(apply.File)
		if err != nil {
			return edit, badInput(err)
		}
		edit.File = file
	case apply.Revert != 0:
		edit.UndoOnly = true
	default:
		return edit, withCode(ExitBadInput, errors.New("tables apply needs -f FILE, or --revert REV to undo a change"))
	}
	if edit.DryRun {
		return edit, nil
	}
	author, err := a.author()
	edit.Author = author
	return edit, err
}

// clusterState returns the function that reads what a change is validated
// against: the published versions and, if the instance list is given, the
// number of live servers by pool. With --allow-empty the servers are not
// checked.
func (p *Program) clusterState(store mulberryspool.ObjectStore, a *arguments) func(context.Context) (tables.ClusterState, error) {
	return func(ctx context.Context) (tables.ClusterState, error) {
		state := tables.ClusterState{Published: func(version string) (bool, error) {
			_, err := store.Get(ctx, mulberryspool.ManifestKind, version)
			if errors.Is(err, mulberryspool.ErrNotFound) {
				return false, nil
			}
			return err == nil, err
		}}
		if a.Instances == "" || a.Tables.Apply.AllowEmpty {
			return state, nil
		}
		list, err := p.instanceList(a)
		if err != nil {
			return state, err
		}
		instances, err := list.Instances(ctx)
		if err != nil {
			return state, mulberryspool.AtStep(err, "read instance list", "")
		}
		state.Live = make(map[string]int)
		for _, i := range instances {
			if i.Role == mulberryspool.RoleAgent && i.State == mulberryspool.InstanceLive {
				state.Live[i.Pool]++
			}
		}
		return state, nil
	}
}

// applyError adds the exit code for uncertain and refused changes.
func applyError(err error) error {
	if errors.Is(err, mulberryspool.ErrUncertain) {
		return withCode(ExitUnknown, errors.Wrap(err, "outcome unknown; look for the change in `tables history`"))
	}
	var problems tables.Problems
	var refusals tables.Refusals
	if errors.As(err, &problems) || errors.As(err, &refusals) || errors.IsAny(err, tables.ErrRevert, tables.ErrBase, tables.ErrTooLarge) {
		return withCode(ExitRefused, errors.Wrap(err, "refused, nothing written"))
	}
	return err
}
