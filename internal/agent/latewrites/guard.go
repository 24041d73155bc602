// Package latewrites decides what may be written to a model server while an earlier write that
// got no answer may still take effect.
//
//	PieceLost, OrderLost --\
//	OrderRefused -----------> Guard --> Allows, Reorder
//	ReportRead ------------/
//
// The load pattern: a model server that is suspended, or is slow with some calls, receives a
// piece or an order after its agent has stopped waiting, or was killed. A
// late order loads the pieces that are staged by then, and a late piece replaces one of the
// next version. So pieces of other versions are held back until neither can happen any more.
//
// A Guard does no I/O, reads no clock and is not safe for concurrent use.
package latewrites

const (
	// settlingReports is the number of reports after which a write without an answer counts
	// as lost: the model server has read its connections since. A time would not show that,
	// because it also passes while the agent and the model server are suspended.
	settlingReports = 10
	// abandonReports is that number for an order that could not be sent again.
	abandonReports = 100
)

// Guard is the state for one model server. The zero value knows of no late writes.
type Guard struct {
	// version is that of the late writes, 0 if it isn't known.
	version int64
	// pending is set while there may be late writes, of which reports were read since the
	// last one.
	pending bool
	reports int
	// order is set if one of them is an order, which takes effect only while the model
	// server has accepted so many orders.
	order  bool
	orders int64
	// refused is set if the model server has refused that order when it was sent again.
	refused bool
	// born is the incarnation of the model server, 0 if it isn't known.
	born int64
}

// PieceLost records that no answer came to a piece of a version; 0 if that isn't known.
func (g *Guard) PieceLost(version int64) {
	g.version, g.pending, g.reports = version, true, 0
}

// OrderLost records that no answer came to the order to load a version, for a model server
// that has accepted so many orders.
func (g *Guard) OrderLost(version, orders int64) {
	g.PieceLost(version)
	g.order, g.orders, g.refused = true, orders, false
}

// OrderRefused records that the model server has answered that it doesn't load a version.
func (g *Guard) OrderRefused(version int64) {
	g.refused = g.refused || g.order && version == g.version
}

// ReportRead records a report of the model server: its incarnation, how many orders it has
// accepted, and the version that it has loaded.
func (g *Guard) ReportRead(born, orders, loaded int64) {
	restarted := g.born != 0 && g.born != born
	g.born = born
	if !g.pending {
		return
	}
	if restarted {
		// Late writes ended with the connections of the earlier incarnation.
		*g = Guard{born: born}
		return
	}
	g.reports++
	if g.order && (orders != g.orders || loaded == g.version) {
		g.order = false
	}
	if g.reports >= settlingReports && (!g.order || g.refused || g.reports >= abandonReports) {
		*g = Guard{born: born}
	}
}

// Pending reports whether there may be late writes.
func (g *Guard) Pending() bool { return g.pending }

// Allows reports whether pieces of a version, and orders to load it, may be sent.
func (g *Guard) Allows(version int64) bool {
	return !g.pending || version == g.version
}

// Reorder returns the version of a late order, 0 if there is none. Only one of it and the
// same order sent again is accepted, so that sending it again settles both.
func (g *Guard) Reorder() int64 {
	if !g.order || g.refused {
		return 0
	}
	return g.version
}
