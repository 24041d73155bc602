package fleet

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/platform/listwatch"
)

// Guards against a state that is read in full by each process because one server changed after a
// restore: the rows of the copy are the same as before.
func TestReadAfterRestoreHasOnlyWhatChanged(t *testing.T) {
	clock := clockwork.NewFakeClock()
	served, refused := newFleet(clock), newFleet(clock)
	ids := make([]string, 600)
	for i := range ids {
		ids[i] = fmt.Sprintf("i-%08x", i)
	}
	for _, f := range []*Fleet{served, refused} {
		f.observeEra(1, fromStore, "")
		items := newServers(9, false, ids...)
		for id, b := range items {
			b.Era, b.Pool, b.Address, b.FailureDomain, b.Slots = 1, "pool", "10.1.2.3:8080", "domain-1", 8
			b.Models = []mulberryspool.LoadedModel{{Model: "daka510000", Version: 2}}
			items[id] = b
		}
		f.setServers(items, listwatch.Delta{At: mulberryspool.Position{Era: 1, Revision: 10}})
	}
	items := make(map[string]mulberryspool.BackendServer)
	for id, b := range served.State().Servers {
		b.Era = 2
		items[string(id)] = b
	}
	changed := items[ids[0]]
	changed.Leaving, changed.Revision = true, 11
	items[ids[0]] = changed
	served.setServers(items, listwatch.Delta{At: mulberryspool.Position{Era: 2, Revision: 11}})
	if !refused.Lacks(served.Summary(), PartServers) {
		t.Fatal("the state of the new era doesn't count as newer")
	}
	part := served.State().Part(PartServers, refused.Summary())
	encoded, err := json.Marshal(part)
	if err != nil {
		t.Fatal(err)
	}
	if n := len(part.Servers); n > 10 {
		t.Errorf("%d rows in %d bytes are read because one of %d servers changed, want 10 rows at most", n, len(encoded), len(ids))
	}
}
