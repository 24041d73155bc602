package fleet

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/platform/listwatch"
)

// Guards against a reader of an earlier build, which names no era, that gets all rows with each read,
// also if the store was never restored.
func TestReaderWithoutErasGetsOnlyWhatChanged(t *testing.T) {
	f := newFleet(clockwork.NewFakeClock())
	ids := make([]string, 100)
	for i := range ids {
		ids[i] = fmt.Sprint("i-", i)
	}
	listAt(f, 1, 10, ids...)
	items := make(map[string]mulberryspool.BackendServer)
	for id, b := range f.State().Servers {
		items[string(id)] = b
	}
	changed := items[ids[0]]
	changed.Leaving, changed.Revision = true, 11
	items[ids[0]] = changed
	f.setServers(items, listwatch.Delta{At: mulberryspool.Position{Era: 1, Revision: 11}})
	part := f.State().Part(PartServers, Summary{ServersAt: 10})
	if n := len(part.Servers); n > 1 {
		t.Errorf("%d rows are read because one of %d servers changed, want 1", n, len(ids))
	}
}
