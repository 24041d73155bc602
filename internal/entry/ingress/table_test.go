package ingress

import (
	"testing"

	"github.com/mulberryspool/mulberryspool"
)

func table() *Table {
	return New(mulberryspool.Ingress{
		Version: 3,
		Routes: []mulberryspool.IngressRoute{
			{Name: "short", Host: "a.example", PathPrefix: "/x/", Pools: []mulberryspool.WeightedPool{{Pool: "p", Weight: 1}}},
			{Name: "long", Host: "a.example", PathPrefix: "/x/y/", Pools: []mulberryspool.WeightedPool{{Pool: "p", Weight: 90}, {Pool: "q", Weight: 10}}},
			{Name: "other", Host: "b.example", PathPrefix: "/x/", Pools: []mulberryspool.WeightedPool{{Pool: "q", Weight: 1}}},
		},
		Pools:      map[string]mulberryspool.IngressPool{"p": {Name: "p"}, "q": {Name: "q"}},
		Workspaces: []mulberryspool.Workspace{{Name: "w1", Keys: []string{"k1", "k2"}}, {Name: "w2", Keys: []string{"k3"}}},
	})
}

// Guards against a request that takes a less specific route, or one of another
// host.
func TestRouteMatchesHostAndLongestPrefix(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.Example:80", "/x/y/", "long"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"c.example", "/x/1", ""},
	} {
		got := ""
		if r := table().Route(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("route of %s%s is %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Guards against a key that is attributed to the wrong workspace.
func TestWorkspaceByKey(t *testing.T) {
	for key, want := range map[string]string{"k1": "w1", "k2": "w1", "k3": "w2", "": "", "k4": ""} {
		got := ""
		if w := table().Workspace(key); w != nil {
			got = w.Name
		}
		if got != want {
			t.Errorf("workspace of %q is %q, want %q", key, got, want)
		}
	}
}

// Guards against a split that ignores the weights, and against retries of one
// request that go to different pools.
func TestPoolsAreSelectedByWeight(t *testing.T) {
	tb := table()
	r := tb.Route("a.example", "/x/y/")
	counts := make(map[string]int)
	for i := range 10_000 {
		id := mulberryspool.RequestID(string(rune('a'+i%26)) + string(rune(i)))
		first, again := tb.Pool(r, id), tb.Pool(r, id)
		if first.Name != again.Name {
			t.Fatalf("request %q was mapped to two pools", id)
		}
		counts[first.Name]++
	}
	if counts["q"] < 800 || counts["q"] > 1200 {
		t.Errorf("%d of 10000 requests went to the pool with a tenth of the weight, want 800 to 1200", counts["q"])
	}
}
