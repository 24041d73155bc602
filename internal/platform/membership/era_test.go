package membership

import (
	"testing"

	"github.com/mulberryspool/mulberryspool"
)

// row is what the store lists of a server.
type row struct {
	id       mulberryspool.InstanceID
	born     int64
	revision mulberryspool.Revision
	leaving  bool
}

// listed is a complete list.
func listed(era mulberryspool.Era, revision mulberryspool.Revision, rows ...row) Snapshot {
	s := Snapshot{Servers: make(Servers), CompleteAt: mulberryspool.Position{Era: era, Revision: revision}}
	for _, r := range rows {
		s.Servers[r.id] = mulberryspool.BackendServer{Instance: r.id, Born: r.born, Leaving: r.leaving, Revision: r.revision, Era: era}
	}
	return s
}

// Guards against servers that stay as they were before a restore because the store gives their
// revisions out again, and against a list of before that replaces one of after.
func TestListOfLaterEraReplacesThatOfEarlierOne(t *testing.T) {
	before := listed(1, 50, row{"a", 1, 10, false}, row{"b", 1, 40, false}, row{"d", 1, 5, false})
	after := listed(2, 20, row{"a", 1, 15, true}, row{"c", 1, 20, false}, row{"d", 1, 5, false})
	for name, order := range map[string][]Snapshot{"in order": {before, after}, "the later one first": {after, before}, "twice": {before, after, before}} {
		var v View
		for _, s := range order {
			v.Merge(s)
		}
		servers := v.Servers()
		if _, ok := servers["b"]; ok || len(servers) != 3 || !servers["a"].Leaving || servers["c"].Leaving || servers["d"].Leaving {
			t.Errorf("%s: servers are %+v, want a leaving, c and d", name, servers)
		}
		if at := v.Snapshot().CompleteAt; at != after.CompleteAt {
			t.Errorf("%s: servers are exact as of %+v, want %+v", name, at, after.CompleteAt)
		}
	}
}

// Guards against a server that is used again because the copy of a restored store is older than
// its leaving, also if it doesn't say when it started.
func TestServerThatLeavesDoesNotReturnThroughCopy(t *testing.T) {
	for _, born := range []int64{0, 7} {
		var v View
		v.Merge(listed(1, 50, row{"a", born, 45, true}))
		v.Merge(listed(2, 30, row{"a", born, 10, false}))
		if !v.Servers()["a"].Leaving {
			t.Errorf("server that started at %d is used again", born)
		}
	}
}

// Guards against a server that is used again because the copy of a restored store is older than its
// removal, and against one that is never used again although it has registered again.
func TestRemovedServerIsWithheldAfterRestore(t *testing.T) {
	restored := func() *View {
		var v View
		v.Merge(listed(1, 40, row{"a", 7, 10, false}))
		v.Merge(listed(1, 50))
		v.Merge(listed(2, 30, row{"a", 7, 10, false}))
		return &v
	}
	v := restored()
	if !v.Servers()["a"].Leaving {
		t.Error("the removed server is used again")
	}
	if v.Snapshot().Servers["a"].Leaving {
		t.Error("the removed server is reported to peers as leaving, although it may have registered again")
	}
	v.Merge(listed(2, 31, row{"a", 7, 10, false}))
	if !v.Servers()["a"].Leaving {
		t.Error("the removed server is used again after another list")
	}
	v.Merge(listed(2, 33, row{"a", 7, 32, false}))
	if v.Servers()["a"].Leaving {
		t.Error("the server isn't used although its object has changed")
	}
	v = restored()
	if !v.Release() || v.Servers()["a"].Leaving || v.Release() {
		t.Error("the server isn't used after its release, or is released twice")
	}
	v = restored()
	v.Merge(listed(3, 30, row{"a", 7, 10, false}))
	if !v.Servers()["a"].Leaving {
		t.Error("the removed server is used again after a second restore")
	}
	v.Merge(listed(3, 33, row{"a", 7, 32, false}))
	if v.Servers()["a"].Leaving {
		t.Error("the server isn't used although its object has changed after a second restore")
	}
	v = restored()
	v.Merge(listed(2, 60, row{"a", 7, 55, false}))
	if v.Servers()["a"].Leaving {
		t.Error("the server isn't used although its object is newer than its removal")
	}
	v = restored()
	v.Merge(listed(2, 35, row{"a", 8, 35, false}))
	if v.Servers()["a"].Leaving {
		t.Error("the next incarnation is withheld")
	}
}

// Guards against a server that gets no requests after a second restore because the copy of the first
// one lacked it, and against one that is used again through a copy that has it.
func TestServerLackingInEarlierCopyIsUsedAfterSecondRestore(t *testing.T) {
	for _, c := range []struct {
		name     string
		revision mulberryspool.Revision
		leaving  bool
	}{
		{"has registered again", 8, false},
		{"is listed by the copy as it was", 45, true},
	} {
		var v View
		v.Merge(listed(1, 40, row{"a", 7, 10, false}))
		v.Merge(listed(1, 50, row{"a", 7, 10, false}, row{"b", 7, 45, false}))
		v.BeginGrace(2)
		v.Merge(listed(2, 70, row{"a", 7, 10, false}))
		if !v.EndGrace(2) {
			t.Fatalf("%s: the server is kept after the grace period", c.name)
		}
		v.BeginGrace(3)
		v.Merge(listed(3, 60, row{"a", 7, 10, false}, row{"b", 7, c.revision, false}))
		if b, ok := v.Servers()["b"]; !ok || b.Leaving != c.leaving {
			t.Errorf("%s: listed %t, leaving %t, want %t", c.name, ok, b.Leaving, c.leaving)
		}
	}
}

// Guards against an incarnation that is replaced by the previous one, which the copy lists.
func TestIncarnationIsNotReplacedByThatOfCopy(t *testing.T) {
	var v View
	v.Merge(listed(1, 20, row{"a", 7, 10, false}))
	v.Merge(listed(1, 50, row{"a", 8, 45, false}))
	v.Merge(listed(2, 30, row{"a", 7, 10, false}))
	if b := v.Servers()["a"]; b.Born != 8 || b.Leaving {
		t.Errorf("server is %+v, want the incarnation of 8", b)
	}
	v.Merge(listed(2, 34, row{"a", 8, 33, true}))
	if b := v.Servers()["a"]; b.Born != 8 || !b.Leaving {
		t.Errorf("server is %+v, want the incarnation of 8 as it has written itself again", b)
	}
}
