// Package tables reads, checks, compares, merges and writes the two tables.
//
//	file --Parse--> File --Merge with the current document--> Validate
//	     --conditional update on the base revision--> read back by change ID
//
// Both tables, and the latest changes, are one JSON document in the object
// config/tables. Its revision is the object's version.
package tables

import (
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

// Names of the tables in row changes and messages.
const (
	TableRoutes = "routes"
	TablePools  = "pools"
)

// MaxDocumentSize is the object API's limit for one value (R15).
const MaxDocumentSize = 1_000_000

// ErrTooLarge says that the document would not fit into one object.
var ErrTooLarge = errors.New("tables document is too large")

// Encode returns the canonical document: rows sorted by name, one JSON line.
func Encode(t mulberryspool.Tables) ([]byte, error) {
	document, err := json.Marshal(Canonical(t))
	if err != nil {
		return nil, errors.Wrap(err, "encode tables")
	}
	if len(document) > MaxDocumentSize {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes, at most %d fit", len(document), MaxDocumentSize)
	}
	return document, nil
}

// Decode reads a stored document. Unknown keys and trailing data are errors.
func Decode(document []byte) (mulberryspool.Tables, error) {
	var t mulberryspool.Tables
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&t); err != nil {
		return mulberryspool.Tables{}, errors.Wrap(err, "decode tables")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return mulberryspool.Tables{}, errors.New("decode tables: data after the document")
	}
	return t, nil
}

// Canonical returns a copy with rows sorted by name.
func Canonical(t mulberryspool.Tables) mulberryspool.Tables {
	routes := append([]mulberryspool.Route{}, t.Routes...)
	pools := append([]mulberryspool.Pool{}, t.Pools...)
	slices.SortStableFunc(routes, func(a, b mulberryspool.Route) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(pools, func(a, b mulberryspool.Pool) int { return cmp.Compare(a.Name, b.Name) })
	return mulberryspool.Tables{Routes: routes, Pools: pools, Changes: slices.Clone(t.Changes)}
}
