package gracefulstop

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against requests that are passed on and can't end before the process does, and
// against refusals of those that can. Replays a route of short requests, one of long ones
// and one without answers so far, each with requests throughout a stop.
func TestStopAcceptsWhatCanEnd(t *testing.T) {
	const grace, timeout = 8 * time.Second, 6 * time.Second
	s := Stop{Grace: grace}
	if !s.Accepts(Request{Route: "unknown", Deadline: start.Add(time.Hour)}, start) {
		t.Error("a request is refused although no stop has begun")
	}
	durations := map[string]time.Duration{"short": 100 * time.Millisecond, "long": 3 * time.Second}
	for route, d := range durations {
		for after, took := range map[time.Duration]time.Duration{0: d / 2, time.Second: d, epochLength + 2*time.Second: d / 3} {
			arrived := start.Add(after)
			s.End(s.Arrive(route, arrived), true, arrived.Add(took))
		}
		s.End(s.Arrive(route, start), false, start.Add(time.Minute))
	}
	begin := start.Add(epochLength + 10*time.Second)
	s.Begin(begin)
	s.Begin(begin.Add(time.Second))
	for at := time.Duration(0); at < grace; at += 50 * time.Millisecond {
		now := begin.Add(at)
		left := s.AnswerBy().Sub(now)
		for _, route := range []string{"short", "long", "unknown"} {
			for _, repeatable := range []bool{true, false} {
				got := s.Accepts(Request{Route: route, Deadline: now.Add(timeout), Repeatable: repeatable}, now)
				d, known := durations[route]
				switch {
				case timeout <= left && !got:
					t.Errorf("%s request that ends by its deadline is refused %v after the signal", route, at)
				case timeout > left && got && (!repeatable || !known || d > left):
					t.Errorf("%s request, repeatable %t, is passed on with %v left", route, repeatable, left)
				case repeatable && known && 2*d+time.Second < left && !got:
					t.Errorf("%s request is refused with %v left", route, left)
				}
			}
		}
	}
}

// Guards against streams that are passed on late in a stop because earlier ones were short,
// and are then broken off at its end.
func TestLateStreamNeedsDeadlineWithinStop(t *testing.T) {
	const grace, timeout = 8 * time.Second, 6 * time.Second
	s := Stop{Grace: grace}
	s.End(s.Arrive("r", start), true, start.Add(100*time.Millisecond))
	begin := start.Add(time.Second)
	s.Begin(begin)
	for at := time.Duration(0); at < grace; at += 50 * time.Millisecond {
		now := begin.Add(at)
		late := !now.Before(s.CloseIdleBy())
		r := Request{Route: "r", Deadline: now.Add(timeout), ArrivedAt: now, Repeatable: true, Stream: true}
		if got := s.Accepts(r, now); got == late {
			t.Errorf("stream that arrives %v after the signal: accepted %t", at, got)
		}
		r.Deadline = s.AnswerBy()
		if !s.Accepts(r, now) {
			t.Errorf("stream that arrives %v after the signal is refused although its deadline is in time", at)
		}
		r.Deadline, r.ArrivedAt = now.Add(timeout), begin
		if got, left := s.Accepts(r, now), s.AnswerBy().Sub(now); !got && left > time.Second {
			t.Errorf("stream that arrived in time is not passed on once more with %v left", left)
		}
	}
}

// Guards against requests that are passed on although those in flight show that the
// backend servers have just become slow.
func TestRequestsInFlightShowSlowServers(t *testing.T) {
	s := Stop{Grace: 8 * time.Second}
	s.End(s.Arrive("r", start), true, start.Add(100*time.Millisecond))
	begin := start.Add(time.Second)
	s.Begin(begin)
	slow := s.Arrive("r", begin)
	now := begin.Add(4 * time.Second)
	r := Request{Route: "r", Deadline: now.Add(6 * time.Second), Repeatable: true}
	if s.Accepts(r, now) {
		t.Error("a request is passed on 3.2s before the last answers, while one has been in flight for 4s")
	}
	s.End(slow, false, now)
	if !s.Accepts(r, now) {
		t.Error("a request is refused although those that were answered took 100ms")
	}
}

// Guards against a stop whose steps are out of order, or last longer than it does.
func TestStepsOfStopFitIntoGrace(t *testing.T) {
	for _, grace := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second, 8 * time.Second, time.Minute} {
		s := Stop{Grace: grace}
		s.Begin(start)
		if !start.Before(s.CloseIdleBy()) || s.CloseIdleBy().After(s.AnswerBy()) || !s.AnswerBy().Before(s.EndBy()) || !s.EndBy().Before(start.Add(grace)) {
			t.Errorf("grace %v: idle connections are closed after %v, last answers after %v, end after %v", grace, s.CloseIdleBy().Sub(start), s.AnswerBy().Sub(start), s.EndBy().Sub(start))
		}
	}
}
