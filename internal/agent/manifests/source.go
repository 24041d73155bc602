// Package manifests decides from where an agent reads the manifest of a
// version.
//
// It answers the pattern of a version that all agents are to have at the same
// moment: the origin takes a bounded number of connections and has a narrow
// link, so a few agents, in an order that all know, read it there, and the
// others from them. An agent that nobody helps asks the origin now and then.
package manifests

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// readers is the number of agents that read from the origin.
	readers = 3
	// originEvery is the number of tries of which the others make one at the origin.
	originEvery = 5
)

// Source returns the agent to ask at a try, counted from 0, and false when it
// is the origin's turn.
func Source(self mulberryspool.InstanceID, agents []mulberryspool.InstanceID, version int64, try int) (mulberryspool.InstanceID, bool) {
	others := slices.DeleteFunc(slices.Clone(agents), func(id mulberryspool.InstanceID) bool { return id == self })
	place := func(id mulberryspool.InstanceID) uint64 {
		return xxhash.Sum64String("manifest " + string(id) + "@" + strconv.FormatInt(version, 10))
	}
	slices.SortFunc(others, func(a, b mulberryspool.InstanceID) int {
		return cmp.Or(cmp.Compare(place(a), place(b)), cmp.Compare(a, b))
	})
	if len(others) < readers || place(self) < place(others[readers-1]) || try%originEvery == originEvery-1 {
		return "", false
	}
	// Each agent begins with another reader, and goes on to agents that have
	// read it from them.
	first := int(place(self) % readers)
	if try < readers {
		return others[(first+try)%readers], true
	}
	return others[(first+try*readers)%len(others)], true
}
