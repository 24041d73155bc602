// Package pathdelay holds how long messages to a backend server take at most.
//
//	opened connections --> RecordConnection --\
//	reports of agents ---> RecordLink ---------> Delays --> Max
//
// A full link, between regions or of the server's machine, delays a request, and after it the
// end of its connection, by up to seconds. What must reach a server by a given time is sent
// earlier by that much.
package pathdelay

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// window is how long a measured delay counts at least; it counts for twice that long at
// most.
const window = time.Second

type (
	// Delays holds the recent delays. It reads no clock and is not safe for concurrent
	// use.
	Delays struct {
		servers map[mulberryspool.InstanceID]recent
		// domains holds the delays of connections to any server of a failure domain. They
		// have the link between regions in common.
		domains map[string]recent
		// sweptAt is when delays that no longer count were last removed.
		sweptAt time.Time
	}

	// recent holds the largest delays of the current window, which began at since, and
	// of the one before it.
	recent struct {
		since             time.Time
		current, previous time.Duration
	}
)

// RecordConnection records that a connection to a backend server of the failure domain took
// that long to open until now, which includes the way to the server and back.
func (d *Delays) RecordConnection(domain string, server mulberryspool.InstanceID, took time.Duration, now time.Time) {
	if d.domains == nil {
		d.domains = make(map[string]recent)
	}
	d.domains[domain] = d.domains[domain].with(took, now)
	d.RecordLink(server, took, now)
}

// RecordLink records that data now takes that long to reach a backend server's machine, of which
// nothing follows for other servers.
func (d *Delays) RecordLink(server mulberryspool.InstanceID, delay time.Duration, now time.Time) {
	if d.servers == nil {
		d.servers = make(map[mulberryspool.InstanceID]recent)
	}
	d.servers[server] = d.servers[server].with(delay, now)
	d.sweep(now)
}

// sweep removes the delays that no longer count. Servers may be gone for good.
func (d *Delays) sweep(now time.Time) {
	if now.Sub(d.sweptAt) < 2*window {
		return
	}
	d.sweptAt = now
	for server, r := range d.servers {
		if now.Sub(r.since) >= 2*window {
			delete(d.servers, server)
		}
	}
}

// Max returns the largest recent delay to a backend server of the failure domain, 0 if there is
// none.
func (d *Delays) Max(domain string, server mulberryspool.InstanceID, now time.Time) time.Duration {
	return max(d.domains[domain].max(now), d.servers[server].max(now))
}

// with returns the delays with a further one.
func (r recent) with(delay time.Duration, now time.Time) recent {
	r = r.at(now)
	r.current = max(r.current, delay)
	return r
}

func (r recent) max(now time.Time) time.Duration {
	r = r.at(now)
	return max(r.current, r.previous)
}

// at returns the windows at a later time.
func (r recent) at(now time.Time) recent {
	switch elapsed := now.Sub(r.since); {
	case elapsed < window:
		return r
	case elapsed < 2*window:
		return recent{since: r.since.Add(window), previous: r.current}
	}
	return recent{since: now}
}
