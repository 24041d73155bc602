// Package manifests selects where an agent reads the manifest of a version from:
// the origin or another agent.
//
// All agents need the manifest of a new version at the same time, but the origin
// accepts a limited number of connections and has a narrow link. A few agents,
// selected by a hash that all agents compute alike, therefore read the manifest
// from the origin, and the others read it from them. An agent that gets no
// manifest from its peers asks the origin at every fifth attempt.
package manifests

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// originReaders is the number of agents that read from the origin.
	originReaders = 3
	// originInterval is the number of attempts from one read of the origin to the next,
	// for agents that otherwise read from their peers.
	originInterval = 5
)

// Source returns the agent to ask at the given attempt, counted from 0. It returns
// false if the manifest is to be read from the origin.
func Source(self mulberryspool.InstanceID, agents []mulberryspool.InstanceID, version int64, attempt int) (mulberryspool.InstanceID, bool) {
	candidates := slices.DeleteFunc(slices.Clone(agents), func(id mulberryspool.InstanceID) bool { return id == self })
	hashOf := func(id mulberryspool.InstanceID) uint64 {
		return xxhash.Sum64String("manifest " + string(id) + "@" + strconv.FormatInt(version, 10))
	}
	slices.SortFunc(candidates, func(a, b mulberryspool.InstanceID) int {
		return cmp.Or(cmp.Compare(hashOf(a), hashOf(b)), cmp.Compare(a, b))
	})
	if len(candidates) < originReaders || hashOf(self) < hashOf(candidates[originReaders-1]) || attempt%originInterval == originInterval-1 {
		return "", false
	}
	// The first attempts go to the origin readers, starting with a different one on
	// each agent to spread the load. Later attempts go to agents that have read the
	// manifest from them by then.
	first := int(hashOf(self) % originReaders)
	if attempt < originReaders {
		return candidates[(first+attempt)%originReaders], true
	}
	return candidates[(first+attempt*originReaders)%len(candidates)], true
}
