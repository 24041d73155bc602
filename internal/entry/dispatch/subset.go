package dispatch

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
)

// rankedAgent is an agent with its rank for an entry.
type rankedAgent struct {
	identity mulberryspool.Identity
	score    uint64
	// domainRank is the agent's rank by score within its failure domain.
	domainRank int
}

// Subset returns the agents that an entry connects to. It uses rendezvous
// hashing and distributes the choice evenly over the failure domains. The
// result depends only on the arguments, and adding or removing one agent
// changes at most one other choice per failure domain. A size of 0 or less
// returns all agents.
func Subset(entry mulberryspool.InstanceID, agents []mulberryspool.Identity, size int) []mulberryspool.Identity {
	ranked := make([]rankedAgent, 0, len(agents))
	for _, a := range agents {
		ranked = append(ranked, rankedAgent{identity: a, score: rendezvousScore(entry, a.Instance)})
	}
	slices.SortFunc(ranked, compareRanked)
	perDomain := make(map[string]int)
	for i := range ranked {
		domain := ranked[i].identity.FailureDomain
		ranked[i].domainRank = perDomain[domain]
		perDomain[domain]++
	}
	slices.SortStableFunc(ranked, func(a, b rankedAgent) int { return a.domainRank - b.domainRank })
	if size > 0 && size < len(ranked) {
		ranked = ranked[:size]
	}
	chosen := make([]mulberryspool.Identity, len(ranked))
	for i, a := range ranked {
		chosen[i] = a.identity
	}
	return chosen
}

func rendezvousScore(entry, agent mulberryspool.InstanceID) uint64 {
	return xxhash.Sum64String(string(entry) + "\x00" + string(agent))
}

func compareRanked(a, b rankedAgent) int {
	switch {
	case a.score > b.score:
		return -1
	case a.score < b.score:
		return 1
	}
	return strings.Compare(string(a.identity.Instance), string(b.identity.Instance))
}
