package fleet

import (
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/platform/listwatch"
)

// Guards against a change that each process tells all others again, and against one that
// a process has learned itself and tells nobody.
func TestOnlyOwnChangesAreLearned(t *testing.T) {
	learned := 0
	f := newFleet(clockwork.NewFakeClock())
	f.Learned = func() { learned++ }
	f.Merge(State{Ingress: &mulberryspool.Ingress{Version: 1}, Servers: Servers{"a": {Instance: "a", Born: 1, Revision: 5}}, ServersAt: 5}, "peer")
	f.MergeNamedVersions(Summary{Named: map[string][]NamedVersionAge{"m": {{Version: 2, AgeMillis: 50, Revision: 20}}}}, "peer", 1)
	if learned != 0 {
		t.Errorf("%d changes of a peer count as learned", learned)
	}
	f.setIngress(mulberryspool.Ingress{Version: 2}, fromStore, "")
	f.setServers(newServers(7, false, "a", "b"), listwatch.Delta{Revision: 7})
	f.MarkLeaving("a", 1)
	watch(f, 3)
	if learned != 4 {
		t.Errorf("%d changes were learned, want 4: the configuration, the servers, a server that leaves and a version", learned)
	}
}
