package dispatch

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
)

type ranked struct {
	identity mulberryspool.Identity
	score    uint64
	// turn is the agent's place within its failure domain.
	turn int
}

// Subset chooses the agents that an entry connects to: by rendezvous
// hashing, taking turns between failure domains. It depends only on its
// arguments, and one agent more or less changes at most one other choice per
// failure domain. A size of 0 or less, or one that covers all, chooses all.
func Subset(entry mulberryspool.InstanceID, agents []mulberryspool.Identity, size int) []mulberryspool.Identity {
	all := make([]ranked, 0, len(agents))
	for _, a := range agents {
		all = append(all, ranked{identity: a, score: pairScore(entry, a.Instance)})
	}
	slices.SortFunc(all, compareScore)
	turns := make(map[string]int)
	for i := range all {
		domain := all[i].identity.FailureDomain
		all[i].turn = turns[domain]
		turns[domain]++
	}
	slices.SortStableFunc(all, func(a, b ranked) int { return a.turn - b.turn })
	if size > 0 && size < len(all) {
		all = all[:size]
	}
	chosen := make([]mulberryspool.Identity, len(all))
	for i, a := range all {
		chosen[i] = a.identity
	}
	return chosen
}

func pairScore(entry, agent mulberryspool.InstanceID) uint64 {
	return xxhash.Sum64String(string(entry) + "\x00" + string(agent))
}

func compareScore(a, b ranked) int {
	switch {
	case a.score > b.score:
		return -1
	case a.score < b.score:
		return 1
	}
	return strings.Compare(string(a.identity.Instance), string(b.identity.Instance))
}
