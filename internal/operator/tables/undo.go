package tables

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

// maxUndoArchives limits how many archives, of at most 32 KiB each, are
// searched for changes that would be undone.
const maxUndoArchives = 16

// changesUndoneBy returns the changes, newest first, that would be undone if
// the row were set to the encoded value line: all changes of the row since it
// last had this value. A change and the one that reverted it cancel each other
// out.
func changesUndoneBy(changes []AcceptedChange, key rowKey, line string) []AcceptedChange {
	var undone []AcceptedChange
	for i := len(changes) - 1; i >= 0; i-- {
		row, ok := findRowChange(changes[i], key)
		if !ok {
			continue
		}
		undone = append(undone, changes[i])
		if normalizeRow(row.Table, row.Before) == line {
			return dropRevertedPairs(undone, key)
		}
	}
	return nil
}

// dropRevertedPairs removes pairs of a change and the change that reverted it.
// If the reverting change did not restore the value from before the reverted
// one, the two are not a pair.
func dropRevertedPairs(undone []AcceptedChange, key rowKey) []AcceptedChange {
	gone := make(map[mulberryspool.Revision]bool)
	for i, later := range undone {
		if later.Reverts == 0 || gone[later.Revision] {
			continue
		}
		restored, _ := findRowChange(later, key)
		for _, earlier := range undone[i+1:] {
			row, _ := findRowChange(earlier, key)
			if earlier.Revision == later.Reverts && row.Before == restored.After {
				gone[later.Revision], gone[earlier.Revision] = true, true
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(undone), func(a AcceptedChange) bool { return gone[a.Revision] })
}

// checkUndo refuses rows that return to an earlier value, unless the only
// change that is undone by this is the revision revert.
func checkUndo(ctx context.Context, h *history, changes []mulberryspool.RowChange, revert mulberryspool.Revision) error {
	for i := 0; i < maxUndoArchives && !h.complete; i++ {
		if err := h.loadArchive(ctx); err != nil {
			return err
		}
	}
	var refusals Refusals
	reverted := false
	for _, row := range changes {
		for _, a := range changesUndoneBy(h.changes, rowKeyOf(row), row.After) {
			if a.Revision == revert {
				reverted = true
				continue
			}
			refusals.add(rowKeyOf(row), ErrUndo, a)
		}
	}
	if len(refusals) > 0 {
		return refusals
	}
	if revert != 0 && !reverted {
		return errors.Wrapf(ErrRevert, "no row of the change goes back to what it was before revision %d", revert)
	}
	return nil
}

// normalizeRow re-encodes a stored row, because an older version of the program
// may have written it with a different set of fields.
func normalizeRow(table, line string) string {
	if line == "" {
		return ""
	}
	var encoded []byte
	var err error
	if table == TableRoutes {
		encoded, err = reencode[mulberryspool.Route](line)
	} else {
		encoded, err = reencode[mulberryspool.Pool](line)
	}
	if err != nil {
		return line
	}
	return string(encoded)
}

func reencode[T any](line string) ([]byte, error) {
	var row T
	if err := json.Unmarshal([]byte(line), &row); err != nil {
		return nil, err
	}
	return json.Marshal(row)
}
