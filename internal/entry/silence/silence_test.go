package silence

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against conclusions that depend on which report arrives last.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Report {
			return Report{SilentMillis: rapid.Int64Range(-1, 3000).Draw(t, "silent"), HeardMillis: rapid.Int64Range(-1, 3000).Draw(t, "heard")}
		}), 1, 6).Draw(t, "reports")
		now := at(10_000)
		var a, b Silence
		for _, r := range reports {
			a.Merge(r, now)
		}
		for _, r := range append(rapid.Permutation(reports).Draw(t, "order"), reports[0]) {
			b.Merge(r, now)
		}
		for _, after := range []int{0, 500, 2000, 3000} {
			if later := now.Add(time.Duration(after) * time.Millisecond); a.Silent(later) != b.Silent(later) {
				t.Errorf("silent %t and %t after %d ms, by the same reports", a.Silent(later), b.Silent(later), after)
			}
		}
	})
}

// Guards against a server that counts as silent by an entry whose path is cut, while
// others receive its events, and against an entry without requests that doesn't learn it.
func TestBytesToOthersRefuteSilence(t *testing.T) {
	var cut, served, idle Silence
	cut.Sent(at(0))
	served.Sent(at(0))
	for ms := 0; ms <= 3000; ms += 100 {
		served.Heard(at(ms))
		if _, silent := cut.Waits(at(ms)); silent {
			cut.Observe(at(ms))
		}
		for _, from := range []*Silence{&cut, &served} {
			r, ok := from.Report(at(ms))
			if !ok {
				continue
			}
			for _, to := range []*Silence{&cut, &served, &idle} {
				if to != from {
					to.Merge(r, at(ms))
				}
			}
		}
		if ms > 700 && (served.Silent(at(ms)) || idle.Silent(at(ms)) || cut.Silent(at(ms))) {
			t.Errorf("the server is silent after %d ms although one entry receives its events", ms)
		}
	}
}

// Guards against a server that stays silent for good, one that is tried too early, and one
// that counts as silent while it answers.
func TestSilenceExpires(t *testing.T) {
	var s Silence
	s.Sent(at(0))
	if _, silent := s.Waits(at(599)); silent {
		t.Error("silent after 599 ms")
	}
	if _, silent := s.Waits(at(600)); !silent {
		t.Error("not silent after 600 ms without a byte")
	}
	s.Observe(at(600))
	s.Ended()
	if waits, _ := s.Waits(at(700)); waits || !s.Silent(at(700)) {
		t.Error("the server is not silent after its request was given up")
	}
	if !s.Silent(at(3000)) || s.Silent(at(3100)) {
		t.Error("the observation doesn't expire after 2.5 s")
	}
	s.Observe(at(4000))
	s.Heard(at(4100))
	if s.Silent(at(4100)) {
		t.Error("silent although it has answered")
	}
}

// Guards against as many reports of a server as there are entries.
func TestWhatOthersReportedIsNotRepeated(t *testing.T) {
	entries := make([]Silence, 50)
	reports := 0
	for i := range entries {
		entries[i].Sent(at(0))
	}
	for ms := 0; ms <= 3000; ms += 100 {
		for i := range entries {
			if _, silent := entries[i].Waits(at(ms)); silent && ms < 2000 {
				entries[i].Observe(at(ms))
			}
			if ms >= 2000 {
				entries[i].Heard(at(ms))
			}
			if r, ok := entries[i].Report(at(ms)); ok {
				reports++
				for j := range entries {
					if j != i {
						entries[j].Merge(r, at(ms))
					}
				}
			}
		}
	}
	if reports == 0 || reports > len(entries) {
		t.Errorf("%d reports of %d entries on a server that is silent for 2 s, want at most one each", reports, len(entries))
	}
	for i := range entries {
		if entries[i].Silent(at(3000)) {
			t.Errorf("the server is silent for entry %d although it sends", i)
		}
	}
}
