package tables

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

// undoArchives bounds how many archives are searched for changes that would
// be undone, at most 32 KiB each.
const undoArchives = 16

// undoneBy returns the changes, newest first, that setting the row to the
// line would undo: all since the row last had that value. A change and the
// one that set the row back from it cancel each other.
func undoneBy(changes []Accepted, key rowKey, line string) []Accepted {
	var undone []Accepted
	for i := len(changes) - 1; i >= 0; i-- {
		row, ok := rowChange(changes[i], key)
		if !ok {
			continue
		}
		undone = append(undone, changes[i])
		if normal(row.Table, row.Before) == line {
			return withoutReverted(undone, key)
		}
	}
	return nil
}

// withoutReverted removes pairs of a change and the one that reverted it. A
// reverting change can also have changed the row in another way; it is then
// no pair.
func withoutReverted(undone []Accepted, key rowKey) []Accepted {
	gone := make(map[mulberryspool.Revision]bool)
	for i, later := range undone {
		if later.Reverts == 0 || gone[later.Revision] {
			continue
		}
		restored, _ := rowChange(later, key)
		for _, earlier := range undone[i+1:] {
			row, _ := rowChange(earlier, key)
			if earlier.Revision == later.Reverts && row.Before == restored.After {
				gone[later.Revision], gone[earlier.Revision] = true, true
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(undone), func(a Accepted) bool { return gone[a.Revision] })
}

// checkUndo refuses rows that go back to an earlier value, unless the one
// change that is undone by that is the one named by revert.
func checkUndo(ctx context.Context, h *history, changes []mulberryspool.RowChange, revert mulberryspool.Revision) error {
	for i := 0; i < undoArchives && !h.complete; i++ {
		if err := h.extend(ctx); err != nil {
			return err
		}
	}
	var refusals Refusals
	reverted := false
	for _, row := range changes {
		for _, a := range undoneBy(h.changes, keyOf(row), row.After) {
			if a.Revision == revert {
				reverted = true
				continue
			}
			refusals.add(keyOf(row), ErrUndo, a)
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

// normal returns a stored row as this program encodes it, because an older
// program may have written it with other fields.
func normal(table, line string) string {
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
