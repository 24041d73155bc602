package latewrites

import "testing"

// Guards against pieces of another version beside a late order, and against a guard that
// never allows them again. Replays what a model server may do after an order got no answer.
func TestLateOrderHoldsBackOtherVersions(t *testing.T) {
	const version, orders = 2, 5
	for name, c := range map[string]struct {
		reports func(g *Guard)
		settled bool
	}{
		"reports only":     {func(g *Guard) { report(g, abandonReports-1, 1, orders, 1) }, false},
		"never sent again": {func(g *Guard) { report(g, abandonReports, 1, orders, 1) }, true},
		"accepted":         {func(g *Guard) { report(g, settlingReports, 1, orders+1, 0) }, true},
		"just accepted":    {func(g *Guard) { report(g, 1, 1, orders+1, 0) }, false},
		"loaded":           {func(g *Guard) { report(g, settlingReports, 1, orders, version) }, true},
		"restarted":        {func(g *Guard) { report(g, 1, 9, 0, 0) }, true},
		"refused":          {func(g *Guard) { g.OrderRefused(version); report(g, settlingReports, 1, orders, 1) }, true},
		"refused and late": {func(g *Guard) { g.OrderRefused(version); report(g, settlingReports-1, 1, orders, 1) }, false},
		"other refused":    {func(g *Guard) { g.OrderRefused(version + 1); report(g, abandonReports-1, 1, orders, 1) }, false},
		"lost again, refused": {func(g *Guard) {
			g.OrderRefused(version)
			g.OrderLost(version, orders)
			report(g, abandonReports-1, 1, orders, 1)
		}, false},
		"piece lost, accepted": {func(g *Guard) { report(g, 9, 1, orders+1, 0); g.PieceLost(version); report(g, 9, 1, orders+1, 0) }, false},
	} {
		var g Guard
		report(&g, 1, 1, orders, 1)
		g.OrderLost(version, orders)
		if g.Allows(version+1) || !g.Allows(version) || g.Reorder() != version {
			t.Fatalf("%s: a late order of version %d allows others or isn't sent again", name, version)
		}
		c.reports(&g)
		if g.Allows(version+1) != c.settled || g.Pending() == c.settled || !g.Allows(version) {
			t.Errorf("%s: allows another version %t, want %t", name, g.Allows(version+1), c.settled)
		}
		if c.settled && g.Reorder() != 0 {
			t.Errorf("%s: version %d is ordered again", name, g.Reorder())
		}
	}
}

// Guards against pieces of another version beside late ones, also those of an earlier
// incarnation of the agent, whose version isn't known.
func TestLatePieceHoldsBackOtherVersions(t *testing.T) {
	for _, version := range []int64{0, 2} {
		var g Guard
		g.PieceLost(version)
		for i := range settlingReports {
			if g.Allows(3) || g.Allows(2) != (version == 2) || g.Reorder() != 0 {
				t.Fatalf("late piece of version %d, %d reports later: other versions are allowed", version, i)
			}
			report(&g, 1, 1, 0, 1)
		}
		if !g.Allows(3) || g.Pending() {
			t.Errorf("late piece of version %d still holds others back after %d reports", version, settlingReports)
		}
	}
}

func report(g *Guard, count int, born, orders, loaded int64) {
	for range count {
		g.ReportRead(born, orders, loaded)
	}
}
