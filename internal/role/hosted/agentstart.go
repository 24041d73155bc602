package hosted

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
	"github.com/mulberryspool/mulberryspool/platform"
)

const (
	// startupReadDelay is how long a starting agent waits for an entry's heartbeat before it
	// reads the state from a registered entry. Entries know restarted agents, but added ones
	// only once the model server is listed.
	startupReadDelay = 150 * time.Millisecond
	// startupEntryWait is how long a starting agent waits for an entry's state before it reads
	// the store itself. When all agents start at the same time and each reads the store, the
	// configuration fills the links between regions for seconds.
	startupEntryWait = 800 * time.Millisecond
	// startupStateTime is how long after its start an agent uses the state of a registered entry
	// before it needs the heartbeats of entries.
	startupStateTime = 4 * time.Second
	// startupReads is the number of registered entries that are read one after the other, for
	// startupReadTimeout each.
	startupReads       = 2
	startupReadTimeout = time.Second
)

// readFromRegistered reads the state from an entry that is registered in the store, unless an
// entry has sent it before.
func (a *agentRole) readFromRegistered(ctx context.Context) {
	select {
	case <-a.clock.After(startupReadDelay):
	case <-ctx.Done():
		return
	}
	if a.fleet.HasSynced() || len(a.heartbeats.ActivePeers(mulberryspool.RoleEntry)) > 0 {
		return
	}
	entries, err := a.registeredEntries(ctx)
	if err != nil {
		a.logger.Info().EmbedObject(logging.Fields{}.WithStep(err)).Err(err).Msg("registered entries could not be read")
		return
	}
	for _, entry := range entries[:min(len(entries), startupReads)] {
		if a.fleet.HasSynced() || a.readStateOf(ctx, entry) {
			return
		}
	}
}

// readStateOf reads the state from an entry, and reports whether it had one.
func (a *agentRole) readStateOf(ctx context.Context, entry netip.AddrPort) bool {
	ctx, cancel := clockwork.WithTimeout(ctx, a.clock, startupReadTimeout)
	defer cancel()
	state, err := a.fetchState(ctx, agentStatePath, stateRead{entry: entry, progress: func() {}}, a.fleet.Summary())
	if err != nil {
		a.logger.Info().EmbedObject(logging.Fields{}.WithStep(err)).Err(err).Msg("state of a registered entry could not be read")
		return false
	}
	if state.Ingress == nil || len(state.Servers) == 0 {
		return false
	}
	a.fleet.Merge(state, entry.String())
	a.wakeLoop()
	return true
}

// registeredEntries returns the addresses of the entries that are registered in the store in a
// random order, those of this agent's failure domain first.
func (a *agentRole) registeredEntries(ctx context.Context) ([]netip.AddrPort, error) {
	objects, _, err := a.store.List(ctx, platform.KindEntries)
	if err != nil {
		return nil, err
	}
	type entry struct {
		address netip.AddrPort
		remote  int
	}
	var entries []entry
	for _, o := range objects {
		var r registration
		if err := json.Unmarshal(o.Value, &r); err != nil {
			a.logger.Warn().Err(err).Str(logging.FieldPeer, o.Name).Msg("registration of an entry cannot be decoded")
			continue
		}
		address, err := netip.ParseAddrPort(r.Address)
		if err != nil || address.Port() == 0 {
			continue
		}
		e := entry{address: address}
		if r.FailureDomain != a.identity.FailureDomain {
			e.remote = 1
		}
		entries = append(entries, e)
	}
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	slices.SortStableFunc(entries, func(x, y entry) int { return cmp.Compare(x.remote, y.remote) })
	addresses := make([]netip.AddrPort, 0, len(entries))
	for _, e := range entries {
		addresses = append(addresses, e.address)
	}
	return addresses, nil
}
