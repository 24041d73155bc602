package ingress

import (
	"reflect"
	"testing"

	"github.com/mulberryspool/mulberryspool"
)

// Guards against a request that goes to a region which its route or its workspace does not
// allow, also after a change of the configuration, and against an empty intersection that is
// taken for no restriction.
func TestRegionsOfRouteAndWorkspaceBind(t *testing.T) {
	tableWith := func(version int64, route, workspace []string) *Table {
		return New(mulberryspool.Ingress{
			Version:    version,
			Routes:     []mulberryspool.IngressRoute{{Name: "r", Host: "h", PathPrefix: "/x/", Regions: route}},
			Workspaces: []mulberryspool.Workspace{{Name: "w", Keys: []string{"k"}, Regions: workspace}},
		})
	}
	for _, c := range []struct{ route, workspace, want []string }{
		{nil, nil, nil},
		{[]string{}, []string{}, nil},
		{[]string{"b", "a", "b"}, nil, []string{"a", "b"}},
		{nil, []string{"c"}, []string{"c"}},
		{[]string{"a", "b"}, []string{"b", "c"}, []string{"b"}},
		{[]string{"a"}, []string{"c"}, []string{}},
	} {
		table := tableWith(1, c.route, c.workspace)
		scope := Scope{Host: "h", Path: "/x/1", Key: "k"}
		if got := table.Regions(scope); !reflect.DeepEqual(got, c.want) {
			t.Errorf("regions of %v and %v are %#v, want %#v", c.route, c.workspace, got, c.want)
		}
		// The route and the workspace are gone from a later version.
		scope.Route, scope.Workspace = table.Route("h", "/x/1"), table.Workspace("k")
		if got := New(mulberryspool.Ingress{Version: 2}).Regions(scope); !reflect.DeepEqual(got, c.want) {
			t.Errorf("regions of %v and %v are %#v without them, want %#v", c.route, c.workspace, got, c.want)
		}
		if got := tableWith(2, []string{"d"}, nil).Regions(scope); !reflect.DeepEqual(got, []string{"d"}) {
			t.Errorf("regions of %v and %v are %v after a change to d", c.route, c.workspace, got)
		}
	}
}
