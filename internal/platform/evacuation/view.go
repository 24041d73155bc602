// Package evacuation holds which failure domains are evacuated: their backend servers may get no
// further requests.
//
//	store --> Replace --\
//	peers --> Merge -----> View --> Domains, Changes; Ready; Report --> peers
//
// The load pattern: the operators evacuate a failure domain under full load, while the store
// refuses or delays the calls of some entries, or was restored from a copy. The domains are known
// as a whole, as of a position of the store, so that the later of two such sets is the newer one,
// whichever way it came. What is known stays in force until a later set is known.
//
// A View does no I/O and reads no clock. It must be used by one goroutine at a time.
package evacuation

import (
	"slices"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// maxDomains is the number of failure domains that may be evacuated at a time. It bounds
	// what other writers of the store can add to each heartbeat.
	maxDomains = 64
	// maxTickInterval is the time between two calls of Tick from which on this process counts as
	// having been suspended. Tick is called ten times a second, and a process that has used up
	// its share of the processor is not scheduled for tenths of a second.
	maxTickInterval = time.Second
)

type (
	// View is what a process knows of the evacuated failure domains. Set the exported fields
	// before the first call.
	View struct {
		// MaxAge is the age up to which the set counts as fresh. A process that has just started
		// or was suspended may not use an older one for as long.
		MaxAge time.Duration

		known   bool
		at      mulberryspool.Position
		domains []string
		// confirmedAt is the latest time at which the store is known to have had the set.
		confirmedAt time.Time
		// resumedAt is when this process has started or was found to have been suspended, tickedAt
		// when Tick was last called.
		resumedAt, tickedAt time.Time
	}

	// Report is what a process tells others. It is encoded as a map, so the field names are part
	// of the protocol.
	Report struct {
		// Era and Revision are the position of the store as of which Domains, in ascending order,
		// is the whole set.
		Era      mulberryspool.Era
		Revision mulberryspool.Revision
		Domains  []string `msgpack:",omitempty"`
		// AgeMillis is the time since the store is known to have had the set.
		AgeMillis int64
		// AnsweredMillis is the time since the store last answered a call of the process for the
		// evacuations; 0 if it does not watch them.
		AnsweredMillis int64 `msgpack:",omitempty"`
	}

	// Change is a failure domain that is evacuated, or is not any more.
	Change struct {
		Domain    string
		Evacuated bool
	}
)

// Bound returns the failure domains in ascending order without duplicates. If there are too many, it
// prefers those that are known.
func Bound(domains []string, known func(string) bool) []string {
	sorted := slices.Clone(domains)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	if len(sorted) <= maxDomains {
		return sorted
	}
	slices.SortStableFunc(sorted, func(a, b string) int {
		switch {
		case known(a) == known(b):
			return 0
		case known(a):
			return -1
		}
		return 1
	})
	sorted = sorted[:maxDomains]
	slices.Sort(sorted)
	return sorted
}

// Replace adopts the set of domains, in ascending order, that the store has had at a position and
// at a time, unless a later one is known. It returns what changes.
func (v *View) Replace(domains []string, at mulberryspool.Position, confirmedAt time.Time) []Change {
	if v.known && v.at.After(at) {
		return nil
	}
	if confirmedAt.After(v.confirmedAt) {
		v.confirmedAt = confirmedAt
	}
	if v.known && v.at == at {
		return nil
	}
	before := v.domains
	v.known, v.at, v.domains = true, at, domains
	return changes(before, domains)
}

// Merge adopts the report of another process, which was delayed for a time, unless a later set is
// known. It returns what changes.
func (v *View) Merge(r Report, delay time.Duration, now time.Time) []Change {
	if !r.valid() {
		return nil
	}
	age := time.Duration(r.AgeMillis)*time.Millisecond + delay
	return v.Replace(r.Domains, mulberryspool.Position{Era: r.Era, Revision: r.Revision}, now.Add(-age))
}

// valid reports whether the report may come from a process of this system.
func (r Report) valid() bool {
	tooLong := func(domain string) bool { return len(domain) > mulberryspool.MaxNameBytes }
	return len(r.Domains) <= maxDomains && slices.IsSorted(r.Domains) && !slices.ContainsFunc(r.Domains, tooLong) && r.AgeMillis >= 0
}

// Report returns what other processes need to know, nil if nothing is known.
func (v *View) Report(now time.Time) *Report {
	if !v.known {
		return nil
	}
	return &Report{Era: v.at.Era, Revision: v.at.Revision, Domains: v.domains, AgeMillis: max(0, now.Sub(v.confirmedAt).Milliseconds())}
}

// Tick records that this process runs. Call it at least ten times a second, and first at its
// start.
func (v *View) Tick(now time.Time) {
	if v.tickedAt.IsZero() || now.Sub(v.tickedAt) > maxTickInterval {
		v.resumedAt = now
	}
	v.tickedAt = now
}

// Ready reports whether requests may be sent by what is known. A process that has just started or
// was suspended must have a fresh set first, for as long as MaxAge, because an older one may lack
// an evacuation. After that it goes by the last known set.
func (v *View) Ready(now time.Time) bool {
	if !v.known {
		return false
	}
	if now.Sub(v.confirmedAt) <= v.MaxAge {
		return true
	}
	return now.Sub(v.tickedAt) <= maxTickInterval && now.Sub(v.resumedAt) >= v.MaxAge
}

// Known reports whether any set is known.
func (v *View) Known() bool { return v.known }

// Domains returns the evacuated failure domains in ascending order. The caller must not change
// them.
func (v *View) Domains() []string { return v.domains }

// At returns the position of the store that the set belongs to.
func (v *View) At() mulberryspool.Position { return v.at }

// changes returns the differences between two sets.
func changes(before, after []string) []Change {
	var list []Change
	for _, domain := range after {
		if !slices.Contains(before, domain) {
			list = append(list, Change{Domain: domain, Evacuated: true})
		}
	}
	for _, domain := range before {
		if !slices.Contains(after, domain) {
			list = append(list, Change{Domain: domain})
		}
	}
	return list
}
