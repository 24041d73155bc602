package membership

import (
	"testing"

	"github.com/mulberryspool/mulberryspool"
)

// Guards against a server that is never used, and removed at peers, because a peer of an
// earlier build listed it without its revision before the store did.
func TestServerListedWithoutRevisionIsUsed(t *testing.T) {
	row := func(id mulberryspool.InstanceID, at mulberryspool.Revision) mulberryspool.BackendServer {
		return mulberryspool.BackendServer{Instance: id, Born: 1, Revision: at}
	}
	own := Servers{"a": row("a", 10), "b": row("b", 95)}
	var v, peer View
	v.Merge(Snapshot{Servers: Servers{"a": row("a", 10)}, CompleteAt: mulberryspool.Position{Revision: 90}})
	peer.Merge(Snapshot{Servers: own, CompleteAt: mulberryspool.Position{Revision: 96}})
	v.Merge(Snapshot{Servers: Servers{"a": row("a", 0), "b": row("b", 0)}, CompleteAt: mulberryspool.Position{Revision: 100}})
	v.Merge(Snapshot{Servers: own, CompleteAt: mulberryspool.Position{Revision: 101}})
	if _, ok := v.Servers()["b"]; !ok {
		t.Error("the server is not used although the store lists it")
	}
	peer.Merge(v.Snapshot())
	if _, ok := peer.Servers()["b"]; !ok {
		t.Error("the server is removed at a peer that had read it from the store")
	}
}

// Guards against a new incarnation that is never used because the clock of its machine
// went back.
func TestIncarnationWithEarlierStartIsUsed(t *testing.T) {
	list := func(at mulberryspool.Revision, born int64, leaving bool) Snapshot {
		return Snapshot{Servers: Servers{"a": {Instance: "a", Born: born, Revision: at, Leaving: leaving}}, CompleteAt: mulberryspool.Position{Revision: at}}
	}
	var v View
	v.Merge(list(10, 5000, true))
	v.Merge(list(20, 2600, false))
	if v.Servers()["a"].Leaving {
		t.Error("the next incarnation counts as leaving")
	}
}
