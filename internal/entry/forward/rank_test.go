package forward

import (
	"testing"

	"github.com/mulberryspool/mulberryspool"
)

// Guards against urgent requests that are ranked like less urgent ones because their workspaces
// have the same priority, and against a route that outranks the priority of a workspace.
func TestRankOrdersByWorkspaceThenRoute(t *testing.T) {
	rank := func(route int, workspace *mulberryspool.Workspace) int {
		q := &request{route: &mulberryspool.IngressRoute{Priority: route}, workspace: workspace}
		return (&attempt{request: q}).placementRequest().Priority
	}
	of := func(workspace, route int) int { return rank(route, &mulberryspool.Workspace{Priority: &workspace}) }
	ascending := []int{of(0, 0), of(0, 2), of(0, 40), of(1, 0), of(1, 1), of(2, 0)}
	for i := 1; i < len(ascending); i++ {
		if ascending[i-1] >= ascending[i] {
			t.Errorf("ranks are %v, want them ascending", ascending)
		}
	}
	if got := rank(1, nil); got <= of(0, 2) || got >= of(2, 0) {
		t.Errorf("rank of a route with priority 1 is %d, want one between those of workspaces with priorities 0 and 2", got)
	}
}
