package objectapi

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

func newPacer(clock clockwork.Clock, seed uint64, perSecond float64, burst int) *pacer {
	p := &pacer{}
	p.init(&Client{
		Clock:          clock,
		Random:         rand.New(rand.NewPCG(seed, 0)),
		CallsPerSecond: perSecond,
		Burst:          burst,
		MinBackoff:     100 * time.Millisecond,
		MaxBackoff:     time.Second,
	})
	return p
}

// Guards against pauses that are not spread evenly from 0 to their maximum, and
// against a maximum that does not double with each failure up to MaxBackoff.
func TestFullJitter(t *testing.T) {
	const processes = 400
	for failures, ceiling := range []time.Duration{100, 200, 400, 800, 1000, 1000} {
		ceiling *= time.Millisecond
		pauses := make([]time.Duration, 0, processes)
		for seed := range uint64(processes) {
			clock := clockwork.NewFakeClock()
			p := newPacer(clock, seed, 10, 10)
			for range failures + 1 {
				p.recordFailure(permit{epoch: p.epoch}, 0)
			}
			pauses = append(pauses, clock.Until(p.notBefore))
		}
		slices.Sort(pauses)
		for decile := range 10 {
			got, want := pauses[processes*decile/10], ceiling*time.Duration(decile)/10
			if got < want-ceiling/10 || got > want+ceiling/10 {
				t.Errorf("%d failures: decile %d of the pauses is %v, want about %v", failures+1, decile, got, want)
			}
		}
		if last := pauses[processes-1]; last >= ceiling {
			t.Errorf("%d failures: pause of %v, want less than %v", failures+1, last, ceiling)
		}
	}
}

// Guards against processes that were throttled at the same time and resume at
// the same time.
func TestRetryAfterIsSpread(t *testing.T) {
	const processes, retryAfter = 100, 2 * time.Second
	early := 0
	for seed := range uint64(processes) {
		clock := clockwork.NewFakeClock()
		p := newPacer(clock, seed, 10, 10)
		p.recordFailure(permit{}, retryAfter)
		pause := clock.Until(p.notBefore)
		if pause < retryAfter || pause >= 2*retryAfter {
			t.Errorf("pause of %v, want %v to %v", pause, retryAfter, 2*retryAfter)
		}
		if pause < 3*retryAfter/2 {
			early++
		}
	}
	if early < processes/3 || early > processes*2/3 {
		t.Errorf("%d of %d processes resume in the first half of the time", early, processes)
	}
}

// Guards against calls above the budget, and against calls that wait for the
// budget although their deadline comes first.
func TestBudget(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPacer(clock, 1, 10, 5)
	ctx, deadline := context.Background(), clock.Now().Add(time.Second)
	for range 5 {
		if d, err := p.decide(1, deadline); err != nil || !d.ready {
			t.Fatalf("call within the burst: %+v, %v", d, err)
		}
	}
	for i := range 10 {
		want := time.Duration(i+1) * 100 * time.Millisecond
		if d, err := p.decide(1, deadline); err != nil || d.ready || d.pause != want {
			t.Fatalf("call %d above the burst: %+v, %v, want a pause of %v", i, d, err, want)
		}
	}
	if _, err := p.wait(ctx, 1, deadline); !errors.Is(err, errBudget) {
		t.Fatalf("call that cannot be sent in time returned %v, want errBudget", err)
	}
}

// Guards against several probes at once, against failures of calls that were
// sent at the same time and count more than once, and against a probe without a
// result that blocks all calls.
func TestOnlyOneProbe(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPacer(clock, 1, 10, 5)
	deadline := clock.Now().Add(time.Hour)
	first, err := p.decide(1, deadline)
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		p.recordFailure(first.permit, 0)
	}
	if p.failures != 1 {
		t.Fatalf("3 calls that were sent at the same time count as %d failures", p.failures)
	}
	clock.Advance(time.Second)
	probe, err := p.decide(1, deadline)
	if err != nil || !probe.ready || !probe.permit.probe {
		t.Fatalf("first call after the pause: %+v, %v, want a probe", probe, err)
	}
	if second, err := p.decide(1, deadline); err != nil || second.ready {
		t.Fatalf("second call after the pause: %+v, %v, want it to wait", second, err)
	}
	p.release(probe.permit)
	probe, err = p.decide(1, deadline)
	if err != nil || !probe.ready || !probe.permit.probe {
		t.Fatalf("call after a probe was released: %+v, %v, want a probe", probe, err)
	}
	p.recordSuccess(probe.permit)
	if after, err := p.decide(1, deadline); err != nil || after.ready || after.permit.probe || after.pause != 100*time.Millisecond {
		t.Fatalf("call after the probe: %+v, %v, want it to wait for an empty budget", after, err)
	}
}
