package promptguard

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/quarantine"
)

func newGuard(entry string) (*Guard, *atomic.Int32) {
	changes := new(atomic.Int32)
	return &Guard{
		Clock: clockwork.NewRealClock(), Logger: zerolog.Nop(), Metrics: tally.NoopScope, Quarantine: &quarantine.Quarantine{Entry: entry},
		Changed: func() { changes.Add(1) },
	}, changes
}

func server(id string) mulberryspool.BackendServer {
	return mulberryspool.BackendServer{Instance: mulberryspool.InstanceID(id), Born: 1}
}

func breakExchange(g *Guard, id string, parts []quarantine.Part) {
	g.Start("broken", parts, server(id), func() {}).Broken()
	time.Sleep(60 * time.Millisecond)
}

// Guards against a prompt that another server still has and that would crash it
// although the part is known by then.
func TestRejectionCancelsStartingExchanges(t *testing.T) {
	g, changes := newGuard("a")
	parts := Parts("m", []string{"deadly", "own"})
	var cancelled, begun atomic.Int32
	waiting := g.Start("r1", parts, server("i-1"), func() { cancelled.Add(1) })
	defer waiting.Close()
	other := g.Start("r2", Parts("m", []string{"sound", "own"}), server("i-1"), func() { begun.Add(1) })
	defer other.Close()
	peer, _ := newGuard("b")
	breakExchange(peer, "i-2", parts)
	g.Merge("b", peer.Findings())
	if cancelled.Load() != 0 {
		t.Error("exchange is cancelled after one crash")
	}
	breakExchange(peer, "i-3", parts)
	g.Merge("b", peer.Findings())
	if cancelled.Load() != 1 || begun.Load() != 0 {
		t.Errorf("%d exchanges with the part and %d others were cancelled, want 1 and 0", cancelled.Load(), begun.Load())
	}
	late := g.Start("r3", parts, server("i-4"), func() { cancelled.Add(1) })
	defer late.Close()
	if cancelled.Load() != 2 {
		t.Error("exchange that starts after the rejection is not cancelled")
	}
	if d := g.Check("r3", parts); d.Verdict != quarantine.Reject {
		t.Errorf("decision is %+v, want a rejection", d)
	}
	if changes.Load() != 0 {
		t.Error("findings of a peer are reported as new")
	}
}

// Guards against a crash that is blamed on the other requests at the server, because the
// one which caused it was cancelled just before.
func TestAbandonedExchangeCountsWithCrashOfItsServer(t *testing.T) {
	g, changes := newGuard("a")
	peer, _ := newGuard("b")
	clock := clockwork.NewFakeClock()
	g.Clock, peer.Clock = clock, clock
	parts := Parts("m", []string{"deadly", "own"})
	e := g.Start("r1", parts, server("i-1"), func() {})
	e.Abandoned()
	e.Close()
	if findings := g.Findings(); len(findings) > 0 || changes.Load() != 0 {
		t.Fatalf("findings before the crash are %+v, reported %d times", findings, changes.Load())
	}
	breakExchange(peer, "i-1", Parts("m", []string{"sound", "own"}))
	g.Merge("b", peer.Findings())
	if changes.Load() != 1 {
		t.Errorf("crash is reported %d times, want once", changes.Load())
	}
	crashes := 0
	for _, f := range g.Findings() {
		if f.Part == parts[0] {
			crashes += len(f.Crashes)
		}
	}
	if crashes != 1 {
		t.Errorf("part of the abandoned exchange has %d crashes, want 1", crashes)
	}
}

// Guards against requests that wait longer than the trial of their prompt.
func TestAdmissionFollowsTrial(t *testing.T) {
	g, changes := newGuard("a")
	parts := Parts("m", []string{"sound", "own"})
	breakExchange(g, "i-1", parts)
	until := time.Now().Add(5 * time.Second)
	d := g.Admit(context.Background(), "trial", parts, until)
	if d.Verdict != quarantine.Send || !d.Trial || changes.Load() != 2 {
		t.Fatalf("decision is %+v after %d reports, want an announced trial", d, changes.Load())
	}
	admitted := make(chan quarantine.Decision)
	go func() { admitted <- g.Admit(context.Background(), "other", parts, until) }()
	e := g.Start("trial", parts, server("i-2"), func() {})
	defer e.Close()
	e.Event()
	select {
	case d := <-admitted:
		t.Fatalf("decision is %+v before the answer has begun", d)
	case <-time.After(100 * time.Millisecond):
	}
	e.Complete()
	if d := <-admitted; d.Verdict != quarantine.Send || d.Trial {
		t.Errorf("decision is %+v after the trial", d)
	}
	if d := g.Admit(context.Background(), "late", parts, time.Now()); d.Verdict != quarantine.Send {
		t.Errorf("decision is %+v after the trial", d)
	}
}

// Guards against requests without shared parts that are held up.
func TestPromptWithoutSharedParts(t *testing.T) {
	g, _ := newGuard("a")
	for _, ids := range [][]string{nil, {"own"}} {
		parts := Parts("m", ids)
		breakExchange(g, "i-1", parts)
		breakExchange(g, "i-2", parts)
		if d := g.Admit(context.Background(), "r", parts, time.Now()); d.Verdict != quarantine.Send {
			t.Errorf("decision on %q is %+v", ids, d)
		}
	}
	if findings := g.Findings(); len(findings) > 0 {
		t.Errorf("findings are %+v", findings)
	}
}
