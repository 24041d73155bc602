// Package pathdelay measures how long messages to the backend servers of a failure
// domain take at most.
//
//	opened connections --> Record --> Delays --> Max
//
// A link between regions that is full delays a request, and after it the end of its
// connection, by up to seconds. What must reach a server by a given time is sent earlier
// by that much.
package pathdelay

import "time"

// window is how long a measured delay counts at least; it counts for twice that long at
// most.
const window = time.Second

type (
	// Delays holds the recent delays. It reads no clock and is not safe for concurrent
	// use.
	Delays struct {
		domains map[string]recent
	}

	// recent holds the largest delays of the current window, which began at since, and
	// of the one before it.
	recent struct {
		since             time.Time
		current, previous time.Duration
	}
)

// Record records that a connection to a backend server of the failure domain was opened
// at a time and took that long, which includes the way to the server and back.
func (d *Delays) Record(domain string, took time.Duration, now time.Time) {
	if d.domains == nil {
		d.domains = make(map[string]recent)
	}
	r := d.domains[domain].at(now)
	r.current = max(r.current, took)
	d.domains[domain] = r
}

// Max returns the largest recent delay, 0 if there is none.
func (d *Delays) Max(domain string, now time.Time) time.Duration {
	r := d.domains[domain].at(now)
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
