package tables

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
)

// followMembers keeps the choice of watchers up to date. While the list can't
// be read, the last choice stays.
func (r *runner) followMembers() {
	for {
		ctx, cancel := r.bounded(defaulted(r.CallTimeout, DefaultCallTimeout))
		members, err := r.List.Instances(ctx)
		cancel()
		if err == nil {
			r.send(elected{watcher: isWatcher(r.Identity, members, defaulted(r.WatchersPerDomain, DefaultWatchersPerDomain))})
		}
		select {
		case <-r.Clock.After(spread(defaulted(r.MembersInterval, DefaultMembersInterval), rand.Float64())):
		case <-r.ctx.Done():
			return
		}
	}
}

// isWatcher reports whether the process is among the count live instances of
// its failure domain with the highest rendezvous weight. Every process that
// has the same list comes to the same choice.
func isWatcher(self mulberryspool.Identity, members []mulberryspool.ListedInstance, count int) bool {
	own := watcherWeight(self.Instance)
	higher := 0
	for _, m := range members {
		if m.FailureDomain != self.FailureDomain || m.State != mulberryspool.InstanceLive || m.Instance == self.Instance {
			continue
		}
		if weight := watcherWeight(m.Instance); weight > own || weight == own && m.Instance > self.Instance {
			higher++
		}
	}
	return higher < count
}

func watcherWeight(id mulberryspool.InstanceID) uint64 {
	return xxhash.Sum64String(mulberryspool.TablesName + "\x00" + string(id))
}
