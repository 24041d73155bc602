// Package tables reads, validates, compares, merges and writes the routing
// tables: the routes and the pools.
//
//	file --Parse--> File --merge with the stored document--> Validate
//	     --conditional update of the revision read--> find the change by its ID
//
// Both tables and the latest changes are stored as one JSON document in the
// object config/tables. The version of the object is the revision of the
// tables.
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

// Names of the tables in row changes and error messages.
const (
	TableRoutes = "routes"
	TablePools  = "pools"
)

// MaxDocumentSize is the object API's limit for one value in bytes (requirement
// R15).
const MaxDocumentSize = 1_000_000

// ErrTooLarge reports that the encoded document exceeds MaxDocumentSize.
var ErrTooLarge = errors.New("tables document is too large")

// Encode returns the tables as canonical JSON: on one line, with rows sorted by
// name.
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

// Decode parses a stored document. It rejects unknown keys and trailing data.
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

// Canonical returns a copy of the tables with rows sorted by name.
func Canonical(t mulberryspool.Tables) mulberryspool.Tables {
	routes := append([]mulberryspool.Route{}, t.Routes...)
	pools := append([]mulberryspool.Pool{}, t.Pools...)
	slices.SortStableFunc(routes, func(a, b mulberryspool.Route) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(pools, func(a, b mulberryspool.Pool) int { return cmp.Compare(a.Name, b.Name) })
	return mulberryspool.Tables{Routes: routes, Pools: pools, Changes: slices.Clone(t.Changes)}
}
