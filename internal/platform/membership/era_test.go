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
