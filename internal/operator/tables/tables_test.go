package tables

import (
	"bytes"
	"context"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

const sample = `routes:
  - name: chat
    kind: chat
    split:
      - {pool: a, weight: 90}
      - {pool: b, weight: 10}
    timeout: 1m30s
  - {name: desk, kind: plain, pool: c}
pools:
  - {name: a, kind: engine, version: v1}
  - {name: b, kind: engine, version: v2, maxUnavailable: 2}
  - {name: c, kind: plain}
`

// Guards against invalid tables that are accepted, or reported without file,
// line, key and reason.
func TestInvalidTablesAreNamed(t *testing.T) {
	tests := []struct {
		name, old, new string
		kind           error
		want           string
	}{
		{"duplicate pool", "name: c,", "name: a,", ErrDuplicateName, `f.yaml:12: pools[2].name: the name "a" is used by another pool`},
		{"duplicate route", "name: desk", "name: chat", ErrDuplicateName, `f.yaml:8: routes[1].name: the name "chat" is used by another route`},
		{"missing pool", "pool: c", "pool: d", ErrMissingPool, `f.yaml:8: routes[1].pool: pool "d" does not exist`},
		{"weights", "weight: 10", "weight: 11", ErrSplitWeights, `f.yaml:4: routes[0].split: the weights add up to 101, expected 100`},
		{"no weights", "weight: 10", "weight: 0", ErrSplitWeights, `f.yaml:4: routes[0].split: the weights add up to 90, expected 100`},
		{"same pool twice", "pool: b", "pool: a", ErrDuplicateName, `f.yaml:4: routes[0].split: the split names pool a twice`},
		{"pool and split", "timeout: 1m30s", "pool: a", ErrRow, `f.yaml:7: routes[0].pool: a route has either a pool or a split`},
		{"engine without version", "version: v1", "maxUnavailable: 1", ErrRow, `f.yaml:10: pools[0].version: a pool of kind engine needs a version`},
		{"plain with version", "kind: plain}\n", "kind: plain, version: v1}\n", ErrRow, `f.yaml:12: pools[2].kind: a pool of kind plain has no version, adapter or engineRole`},
		{"no unit", "1m30s", "90", nil, `f.yaml:7: routes[0].timeout: "90" is not a duration with a unit; expected a duration with a unit such as 300ms or 10s`},
		{"unknown key", "timeout: 1m30s", "time: 1m30s", nil, `f.yaml:7: routes[0].time: unknown key; expected one of name, kind, pool, split, idempotent, deferred, priority, timeout`},
		{"changes in a file", "pools:", "changes: []\npools:", nil, `f.yaml:9: changes: unknown key; expected one of base, routes, pools`},
		{"path of the entry", "name: desk", "name: deferred", ErrRow, `f.yaml:8: routes[1].name: the name "deferred" is a path of the entry itself, expected another one`},
		{"bad priority", "timeout: 1m30s", "priority: 10", ErrRow, `f.yaml:7: routes[0].priority: "10" is not allowed; expected at most 9`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			content := strings.Replace(sample, tt.old, tt.new, 1)
			f, err := Parse("f.yaml", []byte(content))
			if err == nil || !strings.Contains(err.Error()+"\n", tt.want+"\n") {
				t.Fatalf("got  %v\nwant %s", err, tt.want)
			}
			if tt.kind == nil {
				return
			}
			if err := Validate(f.Tables()); !errors.Is(err, tt.kind) {
				t.Fatalf("validation returned %v, want %v", err, tt.kind)
			}
		})
	}
}

// Guards against a change that is validated without the cluster state: it could
// name unpublished versions or leave a route without live servers.
func TestChangeIsValidatedAgainstClusterState(t *testing.T) {
	before := mustParse(t, sample)
	clusterState := ClusterState{
		Published: func(version string) (bool, error) { return version == "v1" || version == "v2", nil },
		Live:      map[string]int{"a": 3, "b": 3, "c": 1},
	}
	tests := []struct {
		name, old, new string
		want           error
	}{
		{"published version", "version: v1", "version: v2", nil},
		{"unpublished version", "version: v1", "version: v3", ErrUnpublishedVersion},
		{"unpublished adapter", "version: v1", "version: v1, adapter: v3", ErrUnpublishedVersion},
		{"all servers swap at once", "maxUnavailable: 2", "maxUnavailable: 3", ErrNoServers},
		{"unused pool without servers", "- {name: c, kind: plain}", "- {name: c, kind: plain}\n  - {name: d, kind: plain}", nil},
		{"route removed", "  - {name: desk, kind: plain, pool: c}\n", "", nil},
	}
	for _, tt := range tests {
		after := mustParse(t, strings.Replace(sample, tt.old, tt.new, 1))
		if err := ValidateChange(before, after, clusterState); !errors.Is(err, tt.want) {
			t.Errorf("%s: got %v, want %v", tt.name, err, tt.want)
		}
	}
	without := mustParse(t, strings.Replace(strings.Replace(sample, "  - {name: desk, kind: plain, pool: c}\n", "", 1), "  - {name: c, kind: plain}\n", "", 1))
	if err := ValidateChange(before, without, clusterState); !errors.Is(err, ErrNoServers) {
		t.Errorf("a pool with a live server was removed: %v", err)
	}
	clusterState.Live = map[string]int{"a": 3, "b": 3}
	rerouted := mustParse(t, strings.Replace(sample, "pool: c", "pool: a", 1))
	if err := ValidateChange(rerouted, before, clusterState); !errors.Is(err, ErrNoServers) {
		t.Errorf("a route to a pool without servers was accepted: %v", err)
	}
	failed := errors.New("down")
	clusterState.Published = func(string) (bool, error) { return false, failed }
	if err := ValidateChange(before, before, clusterState); !errors.Is(err, failed) {
		t.Errorf("the failed check for publication returned %v", err)
	}
}

// Guards against tables that change when they are encoded or formatted and read
// back.
func TestTablesSurviveStoringAndPrinting(t *testing.T) {
	want := Canonical(mustParse(t, sample))
	document, err := Encode(mustParse(t, sample))
	if err != nil {
		t.Fatal(err)
	}
	stored, err := Decode(document)
	if err != nil || !reflect.DeepEqual(stored, want) {
		t.Fatalf("stored tables are %+v, want %+v, error %v", stored, want, err)
	}
	for name, format := range map[string]func(mulberryspool.Tables, mulberryspool.Revision) ([]byte, error){"yaml": Format, "json": FormatJSON} {
		content, err := format(stored, 17)
		if err != nil {
			t.Fatal(err)
		}
		f, err := Parse(name, content)
		if err != nil {
			t.Fatalf("%v in\n%s", err, content)
		}
		if f.Base != 17 || !reflect.DeepEqual(f.Tables(), mulberryspool.Tables{Routes: want.Routes, Pools: want.Pools}) {
			t.Errorf("%s: read back %+v, want %+v, from\n%s", name, f, want, content)
		}
	}
	for _, bad := range []string{"", "{}x", `{"routes":[],"pools":[],"extra":1}`, `{"routes":[{"name":"a","king":"chat"}]}`} {
		if _, err := Decode([]byte(bad)); err == nil {
			t.Errorf("stored document %q was accepted", bad)
		}
	}
	if again, err := Encode(stored); err != nil || !bytes.Equal(again, document) {
		t.Errorf("the document is not canonical: %s and %s, error %v", again, document, err)
	}
}

// Guards against example tables files that are no longer valid.
func TestSampleTablesAreValid(t *testing.T) {
	servers := map[string][]string{"gantabya": {"tally-ledger", "tally-scribe", "gate-roster"}, "kesarvani": {"order-desk", "draft-models", "ledger-misc"}}
	for deployment, pools := range servers {
		f, err := ReadFile(filepath.Join("..", "..", "..", "examples", deployment, "tables.yaml"))
		if err != nil {
			t.Error(err)
			continue
		}
		once, _ := f.tablesPointer().Route(pools[0])
		plain, _ := f.tablesPointer().Pool(pools[2])
		if len(f.Pools) != len(pools) || once.Name == "" || once.Idempotent || plain.Kind != mulberryspool.PoolPlain {
			t.Errorf("%s: route %+v and pool %+v", deployment, once, plain)
		}
	}
	if _, err := ReadFile("missing.yaml"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a missing file returned %v", err)
	}
}

// Guards against a conflict error that lacks the author, time or value of the
// conflicting change, and against a merge that drops one of the two changes.
func TestRefusalNamesTheOtherChange(t *testing.T) {
	ctx := context.Background()
	store := &fakeStore{}
	w := newWriter(store)
	first, err := w.Apply(ctx, Edit{Author: "asha", File: poolFile(0, map[string]int{"a": 1, "b": 1})})
	if err != nil {
		t.Fatal(err)
	}
	second, err := w.Apply(ctx, Edit{Author: "binod", File: poolFile(first.Revision, map[string]int{"a": 2, "b": 1})})
	if err != nil {
		t.Fatal(err)
	}
	_, err = w.Apply(ctx, Edit{Author: "asha", File: poolFile(first.Revision, map[string]int{"a": 3, "b": 3})})
	var refusals Refusals
	if !errors.As(err, &refusals) || len(refusals) != 1 {
		t.Fatalf("got %v, want one refusal", err)
	}
	by := refusals[0].Conflicting
	if by.Author != "binod" || by.Revision != second.Revision || !by.Time.Equal(second.Change.Time) ||
		!strings.Contains(err.Error(), "pools/a: row was changed by somebody else: binod changed it at "+by.Time.Format(time.RFC3339)) ||
		!strings.Contains(err.Error(), `"maxUnavailable":2`) {
		t.Errorf("refusal does not name the change: %v", err)
	}
	merged, err := w.Apply(ctx, Edit{Author: "asha", File: poolFile(first.Revision, map[string]int{"a": 1, "b": 3})})
	if err != nil {
		t.Fatal(err)
	}
	if len(merged.Change.Rows) != 1 || len(merged.Merged) != 1 || merged.Merged[0].Author != "binod" {
		t.Errorf("merge changed %v with %v", merged.Change.Rows, merged.Merged)
	}
}

// Guards against an edit that undoes two changes but names only one, and
// against a reverted change that prevents reverting the change before it.
func TestChangesAreRevertedNewestFirst(t *testing.T) {
	ctx := context.Background()
	w := newWriter(&fakeStore{})
	var revisions []mulberryspool.Revision
	apply := func(limit int, revert mulberryspool.Revision) error {
		result, err := w.Apply(ctx, Edit{Author: "asha", File: poolFile(0, map[string]int{"a": limit}), Revert: revert})
		if err == nil {
			revisions = append(revisions, result.Revision)
		}
		return err
	}
	for limit := 1; limit <= 3; limit++ {
		if err := apply(limit, 0); err != nil {
			t.Fatal(err)
		}
	}
	if err := apply(1, 0); !errors.Is(err, ErrUndo) {
		t.Fatalf("an undo that names no revision returned %v", err)
	}
	if err := apply(1, revisions[1]); !errors.Is(err, ErrUndo) {
		t.Fatalf("undoing two changes and naming one returned %v", err)
	}
	if err := apply(4, revisions[2]); !errors.Is(err, ErrRevert) {
		t.Fatalf("naming a change that is not undone returned %v", err)
	}
	if err := apply(2, revisions[2]); err != nil {
		t.Fatal(err)
	}
	if err := apply(1, revisions[1]); err != nil {
		t.Fatal(err)
	}
	changes, err := History(ctx, w.Store, math.MaxInt)
	if err != nil {
		t.Fatal(err)
	}
	for index, want := range map[int]mulberryspool.Revision{3: revisions[2], 4: revisions[1]} {
		if got := UndoneRevisions(changes, index); len(got) != 1 || got[0] != want || changes[index].Reverts != want {
			t.Errorf("change %d undid %v and reverts %d, want %d", index, got, changes[index].Reverts, want)
		}
	}
}

// Guards against a document above the size limit of the object API, and against
// base revisions that can't be merged once their changes have been archived.
func TestHistoryIsBoundedAndArchived(t *testing.T) {
	ctx := context.Background()
	store := &fakeStore{}
	first, err := newWriter(store).Apply(ctx, Edit{Author: "asha", File: poolFile(0, map[string]int{"a": 1, "b": 1})})
	if err != nil {
		t.Fatal(err)
	}
	const changes = 3 * maxHistoryChanges
	for i := range changes {
		applyOne(t, store, "b", i+2)
		stored, err := Decode(store.objects["config/tables"].Value)
		if err != nil {
			t.Fatal(err)
		}
		if len(stored.Changes) > maxHistoryChanges {
			t.Fatalf("the document holds %d changes, at most %d are allowed", len(stored.Changes), maxHistoryChanges)
		}
	}
	all, err := History(ctx, store, math.MaxInt)
	if err != nil || len(all) != changes+1 {
		t.Fatalf("history has %d changes, want %d, error %v", len(all), changes+1, err)
	}
	for i := 1; i < len(all); i++ {
		if all[i].Base != all[i-1].Revision {
			t.Fatalf("change %d has base %d after revision %d", i, all[i].Base, all[i-1].Revision)
		}
	}
	merged, err := newWriter(store).Apply(ctx, Edit{Author: "asha", File: poolFile(first.Revision, map[string]int{"a": 7, "b": 1})})
	if err != nil || len(merged.Change.Rows) != 1 || merged.Change.Rows[0].Row != "a" {
		t.Fatalf("merge with an old base changed %v, error %v", merged.Change.Rows, err)
	}
	large := mulberryspool.Tables{Pools: []mulberryspool.Pool{{Name: strings.Repeat("x", MaxDocumentSize), Kind: mulberryspool.PoolPlain}}}
	if _, err := Encode(large); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a document above the limit returned %v", err)
	}
}

func mustParse(t *testing.T, content string) mulberryspool.Tables {
	t.Helper()
	f, err := Parse("f.yaml", []byte(content))
	if err != nil {
		t.Fatal(err)
	}
	return f.Tables()
}

func (f File) tablesPointer() *mulberryspool.Tables {
	t := f.Tables()
	return &t
}
