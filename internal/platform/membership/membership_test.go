package membership

import (
	"maps"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/mulberryspool/mulberryspool"
)

// drawHistory returns what the store lists at each revision, while servers are added,
// start to leave, are removed and start again under the same instance.
func drawHistory(t *rapid.T) []Servers {
	history := []Servers{{}}
	for at := mulberryspool.Revision(1); at <= 20; at++ {
		servers := maps.Clone(history[at-1])
		id := mulberryspool.InstanceID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "instance"))
		b, ok := servers[id]
		switch {
		case !ok:
			servers[id] = mulberryspool.BackendServer{Instance: id, Born: int64(at), Revision: at}
		case b.Leaving || rapid.Bool().Draw(t, "expires"):
			delete(servers, id)
		default:
			b.Leaving, b.Revision = true, at
			servers[id] = b
		}
		history = append(history, servers)
	}
	return history
}

// Guards against servers that return through an older or assumed list, and against
// lists whose order of arrival makes a difference.
func TestServersDoNotReturnThroughOlderLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		newest := rapid.IntRange(1, len(history)-1).Draw(t, "newest")
		revisions := rapid.SliceOfN(rapid.IntRange(0, newest), 0, 8).Draw(t, "revisions")
		var v View
		for _, at := range rapid.Permutation(append(revisions, newest)).Draw(t, "order") {
			s := Snapshot{Servers: maps.Clone(history[at]), CompleteAt: mulberryspool.Position{Revision: mulberryspool.Revision(at)}}
			// The process that reports it has not yet dropped what was removed since then.
			if old := rapid.IntRange(0, at).Draw(t, "assumedFrom"); at < newest && old < at {
				for id, b := range history[old] {
					if _, ok := s.Servers[id]; !ok {
						s.Servers[id], s.Assumed = b, true
					}
				}
			}
			v.Merge(s)
		}
		if got, want := v.Servers(), history[newest]; len(got)+len(want) > 0 && !reflect.DeepEqual(got, want) {
			t.Errorf("servers are %v, want those of the newest list, %v", got, want)
		}
		if got := v.Snapshot().CompleteAt.Revision; int(got) != newest {
			t.Errorf("servers are exact as of %d, want %d", got, newest)
		}
	})
}

// Guards against a server that says in its answers that it leaves, and that is used
// again through a list that does not show it, and against a new incarnation that is
// not used.
func TestLeavingIncarnationDoesNotReturn(t *testing.T) {
	list := func(at mulberryspool.Revision, born int64) Snapshot {
		return Snapshot{Servers: Servers{"a": {Instance: "a", Born: born, Revision: at}}, CompleteAt: mulberryspool.Position{Revision: at}}
	}
	var v View
	v.Merge(list(10, 5))
	if !v.MarkLeaving("a", 5) || !v.Servers()["a"].Leaving {
		t.Error("the marked server is not leaving")
	}
	v.Merge(list(20, 5))
	v.Merge(Snapshot{CompleteAt: mulberryspool.Position{Revision: 30}})
	v.Merge(list(40, 5))
	if !v.Servers()["a"].Leaving {
		t.Error("the marked incarnation returned with a newer revision of its object")
	}
	v.Merge(list(50, 6))
	if v.Servers()["a"].Leaving {
		t.Error("the next incarnation counts as leaving")
	}
}
