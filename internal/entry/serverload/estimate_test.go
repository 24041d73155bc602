package serverload

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

func report(running, percent int) mulberryspool.LoadReport {
	return mulberryspool.LoadReport{Running: running, Capacity: 4, WorkPercent: percent}
}

// Replays a machine that slows down by a factor of 3 for half a second, reported in answers
// that come each 150 ms or cease in the middle of it. Guards against a server that is used as
// if it were as fast as ever, and against one that is avoided for longer than its machine is
// slow.
func TestSlowMachine(t *testing.T) {
	const reportAge = 100
	for name, lastReport := range map[string]int{"reports go on": 3000, "reports cease": 1300} {
		var e Estimate
		for range 20 {
			e.RecordInterval(1.2)
		}
		slow := func(millis int) bool { return millis >= 1000 && millis < 1500 }
		for millis := 0; millis < 3000; millis += 10 {
			if millis%150 == 0 && millis <= lastReport {
				percent := 100
				if slow(millis - reportAge) {
					percent = 300
				}
				e.RecordReport(report(0, percent), 0, at(millis))
			}
			got, work := e.Slowdown(at(millis)), e.Work(at(millis))
			switch {
			case millis < 1000 && (got > 1.25 || work != 1):
				t.Fatalf("%s: slowdown %.2f and work %.2f at %d ms, before the machine is slow", name, got, work, millis)
			case millis >= 1250 && millis < 1500 && (got < 2.4 || work < 2.4):
				t.Fatalf("%s: slowdown %.2f and work %.2f at %d ms, want about 3", name, got, work, millis)
			case millis >= 2400 && (got > 1.25 || work != 1):
				t.Fatalf("%s: slowdown %.2f and work %.2f at %d ms, 0.9 s after the machine was slow", name, got, work, millis)
			}
		}
	}
}

// Guards against a report of usual speed that hides what the events show, and against one
// that counts in addition to it.
func TestReportDoesNotReplaceEvents(t *testing.T) {
	var e Estimate
	for range 100 {
		e.RecordInterval(3)
	}
	for _, percent := range []int{0, 50, 100, 300} {
		e.RecordReport(report(0, percent), 0, start)
		if got := e.Slowdown(start); got < 2.9 || got > 3.1 {
			t.Errorf("slowdown after a report of %d percent is %.2f, want 3 as the events show", percent, got)
		}
	}
	e.RecordReport(report(0, 1_000_000), 0, start)
	if got := e.Slowdown(start); got > maxSlowdown {
		t.Errorf("slowdown is %.2f after a huge report, want at most %.2f", got, maxSlowdown)
	}
}

// Replays a server that reports more running requests than all entries do. Guards against
// requests that are not noticed, or for longer than a second after the last report.
func TestRequestsThatNoEntryReports(t *testing.T) {
	var e Estimate
	e.RecordKnown(1, start)
	for millis := 0; millis < 2000; millis += 100 {
		e.RecordReport(report(4, 0), 1, at(millis))
		got := e.Foreign(at(millis + 50))
		if millis >= 200 && got != 3 {
			t.Errorf("%d requests beyond the known ones at %d ms, want 3", got, millis)
		}
	}
	if got := e.Foreign(at(3000)); got != 0 {
		t.Errorf("%d requests beyond the known ones 1.1 s after the last report, want 0", got)
	}
}

// Replays calm operation: the entries have requests in flight and hear of each other's with a
// delay of up to 60 ms, and reports are up to 100 ms old. Guards against requests that count
// twice, because a report includes them before the entry hears of them, or after their end.
func TestDelayedReportsOfKnownRequests(t *testing.T) {
	type change struct{ at, by int }
	for seed := range uint64(5) {
		random := rand.New(rand.NewPCG(seed, 7))
		var e Estimate
		running, known, sampled, wrong, checks := 0, 0, 0, 0, 0
		var heard, ends []change
		apply := func(list []change, millis int, do func(by int)) []change {
			left := list[:0]
			for _, c := range list {
				if c.at > millis {
					left = append(left, c)
				} else {
					do(c.by)
				}
			}
			return left
		}
		for millis := range 60_000 {
			heard = apply(heard, millis, func(by int) {
				e.RecordKnown(known, at(millis))
				known += by
				e.RecordKnown(known, at(millis))
			})
			ends = apply(ends, millis, func(int) {
				running--
				heard = append(heard, change{millis + 1 + random.IntN(60), -1})
			})
			if running < 4 && random.Float64() < 0.006 {
				running++
				ends = append(ends, change{millis + 100 + random.IntN(900), 0})
				heard = append(heard, change{millis + 1 + random.IntN(60), 1})
			}
			if millis%100 == 0 {
				sampled = running
			}
			if random.Float64() < 0.01 {
				e.RecordReport(report(sampled, 100), known, at(millis))
			}
			checks++
			if e.Foreign(at(millis)) > 0 {
				wrong++
			}
		}
		if wrong > checks/100 {
			t.Errorf("seed %d: known requests counted twice in %d of %d ms", seed, wrong, checks)
		}
	}
}
