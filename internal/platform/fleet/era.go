package fleet

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
)

// ObserveEra records an era of the store that a peer knows of, or another call of this process if
// peer is empty. A peer of an earlier build names none, so that 0 is ignored.
func (f *Fleet) ObserveEra(era mulberryspool.Era, peer string) {
	source := fromPeer
	if peer == "" {
		source = fromStore
	}
	if era > 0 {
		f.observeEra(era, source, peer)
	}
}

// Era returns the latest era of the store that is known.
func (f *Fleet) Era() mulberryspool.Era {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era
}

// observeEra begins an era of the store unless it is known.
func (f *Fleet) observeEra(era mulberryspool.Era, source, peer string) {
	f.init()
	era, restored := f.beginEra(era, source, peer)
	// Also the first era is passed on: a follower may list the objects of an earlier one.
	f.configFollower.ObserveEra(era)
	f.serverFollower.ObserveEra(era)
	f.versionFollower.ObserveEra(era)
	if restored {
		f.Clock.AfterFunc(reregisterTime, func() { f.endGrace(era) })
		f.Clock.AfterFunc(withholdTime, func() { f.releaseServers(era) })
	}
}

// beginEra returns the latest era, and whether it shows for the first time that the store was restored.
func (f *Fleet) beginEra(era mulberryspool.Era, source, peer string) (mulberryspool.Era, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.era
	switch {
	case !f.eraKnown:
		f.eraKnown, f.era, f.firstEra = true, era, era
		return era, false
	case era < f.firstEra:
		// The answer is late: the store was restored while this process started.
		before, era, f.firstEra = era, f.era, era
	case era <= before:
		return f.era, false
	}
	f.era = era
	f.named.BeginEra(era, f.Clock.Now())
	f.servers.BeginGrace(era)
	f.Logger.Warn().Str("step", "begin era").Str("source", source).Str("peer", peer).Uint64("eraBefore", uint64(before)).Uint64("era", uint64(era)).
		Msg("store was restored from a copy; configuration, servers and named versions are listed again")
	if f.EraChanged != nil {
		f.EraChanged(before, era)
	}
	return era, true
}

// endGrace removes the servers that are not listed in an era after its grace period.
func (f *Fleet) endGrace(era mulberryspool.Era) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.servers.Servers()
	if f.servers.EndGrace(era) {
		f.publishServers(before, serverList{source: fromStore, at: f.servers.Snapshot().ExactAt})
	}
}

// releaseServers ends the withholding of servers that were removed before a restore, unless there was
// a later one.
func (f *Fleet) releaseServers(era mulberryspool.Era) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if era != f.era {
		return
	}
	before := f.servers.Servers()
	if f.servers.Release() {
		f.publishServers(before, serverList{source: fromStore, at: f.servers.Snapshot().ExactAt})
	}
}

// assignEra returns a position of a peer. Peers of an earlier build name no era, and count as being
// in the first one that this process knew. It requires the mutex.
func (f *Fleet) assignEra(at mulberryspool.Position) mulberryspool.Position {
	if at.Era == 0 && at.Revision > 0 {
		at.Era = f.firstEra
	}
	return at
}

// assignEras is assignEra for the rows of a peer. It requires the mutex.
func (f *Fleet) assignEras(servers Servers) Servers {
	assigned := make(Servers, len(servers))
	for id, b := range servers {
		b.Era = f.assignEra(b.Position()).Era
		assigned[id] = b
	}
	return assigned
}

// hashIngress returns a hash of a configuration that is the same in all processes.
func hashIngress(i mulberryspool.Ingress) uint64 {
	encoded, err := json.Marshal(i)
	if err != nil {
		// Not expected: a configuration consists of plain values.
		return 0
	}
	return xxhash.Sum64(encoded)
}
