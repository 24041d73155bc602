package process

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
)

// slowStager blocks when content is opened, which is before the lease check.
type slowStager struct {
	*fakeStager
	reached, thaw chan struct{}
}

func (s *slowStager) Open(manifest mulberryspool.Manifest) (io.ReadCloser, error) {
	select {
	case s.reached <- struct{}{}:
	default:
	}
	<-s.thaw
	return s.fakeStager.Open(manifest)
}

// slowEngine blocks when an order is sent, which is after the lease check.
type slowEngine struct {
	*fakeEngine
	reached, thaw chan struct{}
}

func (e *slowEngine) Load(ctx context.Context, order mulberryspool.LoadOrder) error {
	select {
	case e.reached <- struct{}{}:
	default:
	}
	<-e.thaw
	return e.fakeEngine.Load(ctx, order)
}

// awaitStep advances the clock until the condition holds.
func awaitStep(t *testing.T, clock *clockwork.FakeClock, what string, condition func() bool) {
	t.Helper()
	await(t, what, func() bool {
		if condition() {
			return true
		}
		clock.Advance(10 * time.Millisecond)
		return false
	})
}

// Guards against a frozen agent whose order reaches an engine that ignores
// fencing numbers after its successor's. Pools without the flag show what
// happens without the lease check and without the wait; the last case shows
// an order that is later than any bound, which only the read-back finds.
func TestFrozenAgentThaws(t *testing.T) {
	for _, c := range []struct {
		name string
		// flagged pools have the lease check and the wait.
		flagged bool
		// sent orders are frozen after the lease check.
		sent bool
		// early thaws when the successor has taken the lease, not when it serves.
		early bool
		loads []string
	}{
		{name: "without lease check", loads: []string{"v2", "v1", "v2"}},
		{name: "with lease check", flagged: true, loads: []string{"v2"}},
		{name: "without wait", sent: true, loads: []string{"v2", "v1", "v2"}},
		{name: "with wait", flagged: true, sent: true, early: true, loads: []string{"v1", "v2"}},
		{name: "with read-back only", flagged: true, sent: true, loads: []string{"v2", "v1", "v2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			engine, store := newEngine(), newStore("v1", "v2")
			engine.ignoresFencing = true
			// The clock stands still at the thaw, so that no wait is over by chance.
			clock := clockwork.NewFakeClock()
			reached, thaw := make(chan struct{}, 1), make(chan struct{})
			frozen := startAgent(t, agentOptions{instance: "surat-1", run: "1", engine: engine, store: store, clock: clock, change: func(p *Process) {
				if c.sent {
					p.Backend = &slowEngine{fakeEngine: engine, reached: reached, thaw: thaw}
					return
				}
				p.Stager = &slowStager{fakeStager: newStager(), reached: reached, thaw: thaw}
			}})
			pool := enginePool("v1")
			pool.IgnoresFencing = c.flagged
			setPool(frozen.tables, 1, pool)
			awaitStep(t, clock, "the order is frozen", func() bool { return len(reached) == 1 })
			successor := startAgent(t, agentOptions{instance: "surat-1", run: "2", engine: engine, store: store, clock: clock})
			pool.Version = "v2"
			setPool(successor.tables, 2, pool)
			awaitStep(t, clock, "the successor is ready for the thaw", func() bool {
				if !c.early {
					return successor.Status().ServedVersion == "v2"
				}
				object, err := store.Get(t.Context(), leaseKind, "surat-1")
				return err == nil && bytes.Contains(object.Value, []byte("surat-1/2"))
			})
			close(thaw)
			if c.early {
				await(t, "the late order has taken effect", func() bool { return engine.loadCount() == 1 })
			}
			awaitStep(t, clock, "the engine has had its orders", func() bool { return engine.loadCount() >= len(c.loads) })
			awaitStep(t, clock, "the frozen agent has given up", func() bool { return frozen.Status().Phase == mulberryspool.PhaseFailed })
			entry := dialEntry(t, successor.Identity.Control)
			tries := 0
			awaitStep(t, clock, "the successor serves", func() bool {
				tries++
				return entry.start(t, mulberryspool.RequestID(fmt.Sprint("r", tries))).Accepted
			})
			entry.checkAnswer(t, "v2")
			if loads := engine.versions(); !slices.Equal(loads, c.loads) {
				t.Fatalf("the engine loaded %v, want %v", loads, c.loads)
			}
		})
	}
}
