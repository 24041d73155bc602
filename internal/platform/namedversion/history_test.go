package namedversion

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberryspool/mulberryspool"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const namedAt = mulberryspool.Revision(50)

// Guards against a version that counts as named after it was, however late its change
// and the reports of peers arrive and in whichever order, and against one that counts as
// older than the store's answers to any process prove.
func TestDelayedReportsDoNotMakeVersionYounger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		millis := func(label string, from, to int) time.Duration {
			return time.Duration(rapid.IntRange(from, to).Draw(t, label)) * time.Millisecond
		}
		named := start.Add(10 * time.Second)
		now := named.Add(6 * time.Second)
		reader := History{AssumedAge: 7 * time.Second}
		type delayed struct {
			sender string
			report Report
			delay  time.Duration
		}
		var reports []delayed
		proven := named.Add(-time.Hour)
		for _, sender := range []string{"a", "b", "c"} {
			h := History{AssumedAge: reader.AssumedAge}
			answered := named.Add(-millis("answered before", 1, 3000))
			h.RecordAnswer(answered.Add(-time.Second), mulberryspool.Position{Revision: namedAt - 2}, false)
			h.RecordAnswer(answered, mulberryspool.Position{Revision: namedAt - 1}, false)
			seen := named.Add(millis("seen after", 0, 4000))
			h.RecordAnswer(seen, mulberryspool.Position{Revision: namedAt + 1}, false)
			h.RecordVersion("m", 2, mulberryspool.Position{Revision: namedAt}, seen)
			if answered.After(proven) {
				proven = answered
			}
			// Of several reports at least one arrives at once.
			for _, delay := range []time.Duration{millis("delay", 0, 2000), 0} {
				reports = append(reports, delayed{sender, h.Reports(now.Add(-delay))["m"][0], delay})
			}
		}
		dated := History{AssumedAge: reader.AssumedAge}
		for _, r := range rapid.Permutation(reports).Draw(t, "order") {
			reader.Merge(r.sender, "m", r.report, Delay{}, now)
			dated.Merge(r.sender, "m", r.report, Delay{Known: true, Beyond: r.delay}, now)
			if _, since := dated.Newest("m"); since.After(named) {
				t.Errorf("with known delays, the version counts as named %v after it was", since.Sub(named))
			}
		}
		_, since := reader.Newest("m")
		if late := since.Sub(named); late > 0 {
			t.Errorf("the version counts as named %v after it was", late)
		}
		if early := proven.Sub(since); early > time.Millisecond {
			t.Errorf("the version counts as named %v before the last answer without it", early)
		}
	})
}

// Guards against a later change of a version's object that moves the time of naming.
func TestLaterChangeOfObjectKeepsTimeOfNaming(t *testing.T) {
	for name, revisions := range map[string][2]mulberryspool.Revision{"in order": {namedAt, namedAt + 10}, "the later one first": {namedAt + 10, namedAt}} {
		var h History
		h.RecordAnswer(start, mulberryspool.Position{Revision: namedAt - 1}, false)
		h.RecordAnswer(start.Add(time.Second), mulberryspool.Position{Revision: namedAt + 5}, false)
		for _, revision := range revisions {
			h.RecordVersion("m", 2, mulberryspool.Position{Revision: revision}, start.Add(2*time.Second))
		}
		if _, since := h.Newest("m"); !since.Equal(start) {
			t.Errorf("%s: the version counts as named at %v, want at %v", name, since, start)
		}
	}
}
