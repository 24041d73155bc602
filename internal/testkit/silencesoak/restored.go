package silencesoak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/testkit/hostedsystem"
)

// changeBound is how long after its acknowledgement a change must be in force at an entry.
const changeBound = 3 * time.Second

// learnableAt returns from when on a change must come into force within a bound at an entry that
// runs: when it was written, or written again. A change that was in force before the store was
// away, or refused the entry, stays so.
func (r *record) learnableAt(written time.Time, url string, bound time.Duration) time.Time {
	disruptions := slices.Concat(r.lost, r.refused[url])
	slices.SortFunc(disruptions, func(a, b span) int { return a.from.Compare(b.from) })
	for _, d := range disruptions {
		if d.until.After(written) && r.ranFor(written, d.from) <= bound {
			written = d.until
		}
	}
	return written
}

// ranFor returns how long all processes ran in a time. Beside other load, neither the entry that
// must learn of a change nor the caller or server that sees it may get a core: such stalls,
// which probe measures, are no time in which the entry could have followed the change.
func (r *record) ranFor(from, until time.Time) time.Duration {
	return until.Sub(from) - r.stalled(from, until)
}

// mustBeInForce reports whether a change must be in force at an entry at a time.
func (r *record) mustBeInForce(written time.Time, url string, at time.Time) bool {
	return r.ranFor(r.learnableAt(written, url, changeBound), at) > changeBound
}

// versionFaults returns what is wrong with the configuration that a request met: the route of
// its version is unknown although that version is in force, or was seen to be.
func (r *record) versionFaults(result hostedsystem.Result) []hostedsystem.Fault {
	version := result.Call.Step
	if version == 0 || result.Status != http.StatusNotFound {
		return nil
	}
	var faults []hostedsystem.Fault
	for _, other := range r.results {
		if other.Call.URL == result.Call.URL && other.Status == http.StatusOK && other.Call.Step >= version && other.SentAt.Add(other.Took).Before(result.SentAt) {
			faults = append(faults, hostedsystem.Fault{Check: "configurationBack", Text: fmt.Sprintf("the entry does not know the route of version %d, but has served that of version %d", version, other.Call.Step)})
			break
		}
	}
	if written := r.versions[version]; r.mustBeInForce(written, result.Call.URL, result.SentAt) {
		faults = append(faults, hostedsystem.Fault{Check: "configurationLate", Text: fmt.Sprintf("the entry does not know the route of version %d, written %v before", version, result.SentAt.Sub(written).Round(time.Millisecond))})
	}
	return faults
}

// leavingFaults returns which runs of a request reached a server that has left.
func (r *record) leavingFaults(result hostedsystem.Result) []hostedsystem.Fault {
	var faults []hostedsystem.Fault
	for _, run := range r.runs[result.ID] {
		if leftAt, ok := r.left[run.Instance]; ok && r.mustBeInForce(leftAt, result.Call.URL, run.StartedAt) {
			faults = append(faults, hostedsystem.Fault{Check: "leaving", Text: fmt.Sprintf("reached %s %v after it was written as leaving", run.Instance, run.StartedAt.Sub(leftAt).Round(time.Millisecond))})
		}
	}
	return faults
}

// served returns how many requests an entry has served on the routes of versions.
func (r *record) served(url string) int {
	count := 0
	for _, result := range r.results {
		if result.Call.URL == url && result.Call.Step > 0 && result.Status == http.StatusOK {
			count++
		}
	}
	return count
}
