package tables

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

type (
	// rowKey identifies a row by table and name.
	rowKey struct{ table, row string }

	// rows maps each row to its JSON encoding.
	rows map[rowKey]string
)

// Diff returns the rows that differ between before and after, ordered by table
// and name.
func Diff(before, after mulberryspool.Tables) ([]mulberryspool.RowChange, error) {
	old, err := rowsOf(before)
	if err != nil {
		return nil, err
	}
	wanted, err := rowsOf(after)
	if err != nil {
		return nil, err
	}
	return old.diff(wanted), nil
}

// rowsOf encodes every row. It fails if a name is used twice in a table.
func rowsOf(t mulberryspool.Tables) (rows, error) {
	all := make(rows)
	add := func(table, name string, row any) error {
		key := rowKey{table: table, row: name}
		if _, ok := all[key]; ok {
			return errors.Wrapf(ErrDuplicateName, "%s/%s", table, name)
		}
		line, err := json.Marshal(row)
		all[key] = string(line)
		return errors.Wrap(err, "encode row")
	}
	for _, r := range t.Routes {
		if err := add(TableRoutes, r.Name, r); err != nil {
			return nil, err
		}
	}
	for _, p := range t.Pools {
		if err := add(TablePools, p.Name, p); err != nil {
			return nil, err
		}
	}
	return all, nil
}

func (r rows) diff(after rows) []mulberryspool.RowChange {
	var changes []mulberryspool.RowChange
	for _, key := range r.keysWith(after) {
		if r[key] != after[key] {
			changes = append(changes, mulberryspool.RowChange{
				Table: key.table, Row: key.row, Before: r[key], After: after[key],
			})
		}
	}
	return changes
}

// keysWith returns the union of the keys of r and other, ordered by table and
// name.
func (r rows) keysWith(other rows) []rowKey {
	var keys []rowKey
	for key := range r {
		keys = append(keys, key)
	}
	for key := range other {
		if _, ok := r[key]; !ok {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b rowKey) int {
		return cmp.Or(cmp.Compare(a.table, b.table), cmp.Compare(a.row, b.row))
	})
	return keys
}

// set stores the encoded row, or deletes the row if line is empty.
func (r rows) set(key rowKey, line string) {
	if line == "" {
		delete(r, key)
		return
	}
	r[key] = line
}

// tables decodes the rows into tables in canonical order.
func (r rows) tables() (mulberryspool.Tables, error) {
	t := mulberryspool.Tables{Routes: []mulberryspool.Route{}, Pools: []mulberryspool.Pool{}}
	for _, key := range r.keysWith(nil) {
		var err error
		if key.table == TableRoutes {
			var row mulberryspool.Route
			err = json.Unmarshal([]byte(r[key]), &row)
			t.Routes = append(t.Routes, row)
		} else {
			var row mulberryspool.Pool
			err = json.Unmarshal([]byte(r[key]), &row)
			t.Pools = append(t.Pools, row)
		}
		if err != nil {
			return mulberryspool.Tables{}, errors.Wrapf(err, "decode row %s/%s", key.table, key.row)
		}
	}
	return t, nil
}

func rowKeyOf(change mulberryspool.RowChange) rowKey {
	return rowKey{table: change.Table, row: change.Row}
}
