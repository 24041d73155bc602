package fleet

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
)

// ObserveEra records an era of the store that a peer knows of. A peer of an earlier build names
// none, so that 0 says nothing.
func (f *Fleet) ObserveEra(era mulberryspool.Era, peer string) {
	if era > 0 {
		f.observeEra(era, f.Clock.Now(), fromPeer, peer)
	}
}

// Era returns the latest era of the store that is known.
func (f *Fleet) Era() mulberryspool.Era {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era
}

// observeEra begins an era of the store unless it is known. The store was in it at a time.
func (f *Fleet) observeEra(era mulberryspool.Era, at time.Time, source, peer string) {
	f.init()
	if !f.beginEra(era, at, source, peer) {
		return
	}
	f.configFollower.ObserveEra(era)
	f.serverFollower.ObserveEra(era)
	f.versionFollower.ObserveEra(era)
	f.Clock.AfterFunc(reregisterTime, func() { f.endGrace(era) })
	f.Clock.AfterFunc(withholdTime, f.releaseServers)
}

// beginEra reports whether the store was restored since the latest known era.
func (f *Fleet) beginEra(era mulberryspool.Era, at time.Time, source, peer string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.era
	if !f.eraKnown {
		f.eraKnown, f.era, f.firstEra = true, era, era
		return false
	}
	if era <= before {
		return false
	}
	f.era = era
	f.named.BeginEra(at)
	f.servers.BeginGrace(era)
	f.Logger.Warn().Str("step", "begin era").Str("source", source).Str("peer", peer).Uint64("eraBefore", uint64(before)).Uint64("era", uint64(era)).
		Msg("store was restored from a copy; configuration, servers and named versions are listed again")
	if f.EraChanged != nil {
		f.EraChanged(before, era)
	}
	return true
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

// releaseServers ends the withholding of servers that were removed before a restore.
func (f *Fleet) releaseServers() {
	f.mu.Lock()
	defer f.mu.Unlock()
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
