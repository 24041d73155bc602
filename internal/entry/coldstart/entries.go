package coldstart

import (
	"maps"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// countTime is how long an entry counts that is no longer heard. It is longer than
	// partitions between entries last: the entries on both sides of one would share the
	// whole limit among themselves after it.
	countTime = 10 * time.Minute
	// settleTime is how long after its start an entry sends nothing to cold servers although
	// it has read the list of the entries. Those that start together find each other within
	// one round of their announcements, which are sent every second.
	settleTime = time.Second
	// unlistedTime is the same for an entry that can't read the list. Entries that it can
	// reach announce themselves, and those that they know, every second.
	unlistedTime = 5 * time.Second
	// expireInterval is the time between two removals of entries that count no longer.
	expireInterval = time.Second
	// maxEntries limits the entries that are known.
	maxEntries = 4096
)

type (
	// Entries is the set of entries that share the limits of cold backend servers, as this
	// entry knows it. Set the exported fields before the first call.
	Entries struct {
		// Self is the address of this entry, where it receives heartbeats.
		Self netip.AddrPort
		// FailureDomain is that of this entry.
		FailureDomain string
		// StartedAt is when this entry started.
		StartedAt time.Time

		// others holds the other entries that count, ended those that did until the given
		// time.
		others map[netip.AddrPort]otherEntry
		ended  map[netip.AddrPort]time.Time
		// listed is set once the store's list of the entries was read.
		listed    bool
		expiredAt time.Time
		// version changes with the set.
		version uint64
	}

	otherEntry struct {
		// failureDomain is empty until the entry was heard.
		failureDomain string
		countsUntil   time.Time
	}
)

// Heard records a heartbeat of another entry.
func (e *Entries) Heard(address netip.AddrPort, failureDomain string, now time.Time) {
	address = normalize(address)
	known, ok := e.others[address]
	if !ok && !e.mayAdd(address) {
		return
	}
	if failureDomain == "" {
		failureDomain = known.failureDomain
	}
	if !ok || failureDomain != known.failureDomain {
		e.version++
	}
	delete(e.ended, address)
	e.others[address] = otherEntry{failureDomain, now.Add(countTime)}
}

// Learned records another entry that the store or an entry lists. Lists may hold entries that
// have ended, so it does not extend the time for which one counts, nor count one again that
// has just ceased to: entries would tell each other of it without end.
func (e *Entries) Learned(address netip.AddrPort, now time.Time) {
	address = normalize(address)
	_, counts := e.others[address]
	_, ended := e.ended[address]
	if counts || ended || !e.mayAdd(address) {
		return
	}
	e.version++
	e.others[address] = otherEntry{"", now.Add(countTime)}
}

// SetListed records that the store's list of the entries was read.
func (e *Entries) SetListed() { e.listed = true }

// Addresses returns the addresses of the other entries that count.
func (e *Entries) Addresses(now time.Time) []netip.AddrPort {
	e.expire(now)
	addresses := make([]netip.AddrPort, 0, len(e.others))
	for address := range e.others {
		addresses = append(addresses, address)
	}
	return addresses
}

func (e *Entries) mayAdd(address netip.AddrPort) bool {
	if e.others == nil {
		e.others, e.ended = make(map[netip.AddrPort]otherEntry), make(map[netip.AddrPort]time.Time)
	}
	return address != normalize(e.Self) && len(e.others) < maxEntries
}

// readyAt returns from when on this entry may use its shares.
func (e *Entries) readyAt() time.Time {
	if e.listed {
		return e.StartedAt.Add(settleTime)
	}
	return e.StartedAt.Add(unlistedTime)
}

// share returns how many of a number of requests are those of this entry. The shares of
// entries that know the same set add up to the number. The remainder of the division goes
// first to the entries of the server's failure domain, whose connections take the least
// time, then in an order that differs from server to server.
func (e *Entries) share(server mulberryspool.InstanceID, failureDomain string, requests int) int {
	n := 1 + len(e.others)
	share, remainder := requests/n, requests%n
	if remainder == 0 {
		return share
	}
	own, rank := orderOf(normalize(e.Self), server), 0
	local := e.FailureDomain == failureDomain
	for address, other := range e.others {
		otherLocal := other.failureDomain == failureDomain
		if otherLocal && !local || otherLocal == local && orderOf(address, server) < own {
			rank++
		}
	}
	if rank < remainder {
		share++
	}
	return share
}

// expire removes the entries that count no longer.
func (e *Entries) expire(now time.Time) {
	if now.Sub(e.expiredAt) < expireInterval {
		return
	}
	e.expiredAt = now
	for address, other := range e.others {
		if !now.Before(other.countsUntil) {
			delete(e.others, address)
			e.ended[address] = other.countsUntil
			e.version++
		}
	}
	maps.DeleteFunc(e.ended, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) > countTime })
}

func orderOf(entry netip.AddrPort, server mulberryspool.InstanceID) uint64 {
	return xxhash.Sum64String(entry.String() + "@" + string(server))
}

func normalize(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
