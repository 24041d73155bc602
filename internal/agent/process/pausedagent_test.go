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

// blockingStager blocks in Open, which the agent calls before the lease check.
type blockingStager struct {
	*fakeStager
	reached, resume chan struct{}
}

func (s *blockingStager) Open(manifest mulberryspool.Manifest) (io.ReadCloser, error) {
	select {
	case s.reached <- struct{}{}:
	default:
	}
	<-s.resume
	return s.fakeStager.Open(manifest)
}

// blockingEngine blocks in Load, which the agent calls after the lease check.
type blockingEngine struct {
	*fakeEngine
	reached, resume chan struct{}
}

func (e *blockingEngine) Load(ctx context.Context, order mulberryspool.LoadOrder) error {
	select {
	case e.reached <- struct{}{}:
	default:
	}
	<-e.resume
	return e.fakeEngine.Load(ctx, order)
}

// awaitAdvancing advances the fake clock until the condition holds.
func awaitAdvancing(t *testing.T, clock *clockwork.FakeClock, what string, condition func() bool) {
	t.Helper()
	await(t, what, func() bool {
		if condition() {
			return true
		}
		clock.Advance(10 * time.Millisecond)
		return false
	})
}

// An agent is paused before its load order reaches the engine and resumes after
// the next incarnation of the same instance has taken the lease. The engine
// ignores fencing numbers, so the late order may replace the successor's
// version. In pools with IgnoresFencing set, the agent checks its lease before
// it sends an order, and the successor waits until the predecessor's last order
// has taken effect; the cases without the flag show the fault without these. In
// the last case the order is delayed beyond MaxOrderDelay, and only the
// read-back detects it. The successor must serve its own version in the end.
func TestPausedAgentResumes(t *testing.T) {
	for _, c := range []struct {
		name string
		// ignoresFencing sets the pool's flag, which enables the lease check and the wait.
		ignoresFencing bool
		// pauseAfterCheck pauses the agent after the lease check instead of before it.
		pauseAfterCheck bool
		// resumeEarly resumes the agent when the successor has taken the lease,
		// instead of when it serves.
		resumeEarly bool
		loads       []string
	}{
		{name: "without lease check", loads: []string{"v2", "v1", "v2"}},
		{name: "with lease check", ignoresFencing: true, loads: []string{"v2"}},
		{name: "without wait", pauseAfterCheck: true, loads: []string{"v2", "v1", "v2"}},
		{name: "with wait", ignoresFencing: true, pauseAfterCheck: true, resumeEarly: true, loads: []string{"v1", "v2"}},
		{name: "with read-back only", ignoresFencing: true, pauseAfterCheck: true, loads: []string{"v2", "v1", "v2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			engine, store := newEngine(), newStore("v1", "v2")
			engine.ignoresFencing = true
			// The clock does not advance while the agent resumes, so that the
			// successor's wait can't end by chance.
			clock := clockwork.NewFakeClock()
			reached, resume := make(chan struct{}, 1), make(chan struct{})
			paused := startAgent(t, agentOptions{instance: "surat-1", run: "1", engine: engine, store: store, clock: clock, configure: func(p *Process) {
				if c.pauseAfterCheck {
					p.Backend = &blockingEngine{fakeEngine: engine, reached: reached, resume: resume}
					return
				}
				p.Stager = &blockingStager{fakeStager: newStager(), reached: reached, resume: resume}
			}})
			pool := enginePool("v1")
			pool.IgnoresFencing = c.ignoresFencing
			setPool(paused.tables, 1, pool)
			awaitAdvancing(t, clock, "the agent is paused", func() bool { return len(reached) == 1 })
			successor := startAgent(t, agentOptions{instance: "surat-1", run: "2", engine: engine, store: store, clock: clock})
			pool.Version = "v2"
			setPool(successor.tables, 2, pool)
			awaitAdvancing(t, clock, "the successor has taken the lease or serves", func() bool {
				if !c.resumeEarly {
					return successor.Status().ServedVersion == "v2"
				}
				object, err := store.Get(t.Context(), leaseKind, "surat-1")
				return err == nil && bytes.Contains(object.Value, []byte("surat-1/2"))
			})
			close(resume)
			if c.resumeEarly {
				await(t, "the delayed order has taken effect", func() bool { return engine.loadCount() == 1 })
			}
			awaitAdvancing(t, clock, "the engine has received all orders", func() bool { return engine.loadCount() >= len(c.loads) })
			awaitAdvancing(t, clock, "the paused agent is in phase failed", func() bool { return paused.Status().Phase == mulberryspool.PhaseFailed })
			entry := dialEntry(t, successor.Identity.Control)
			attempts := 0
			awaitAdvancing(t, clock, "the successor serves", func() bool {
				attempts++
				return entry.start(t, mulberryspool.RequestID(fmt.Sprint("r", attempts))).Accepted
			})
			entry.checkAnswer(t, "v2")
			if loads := engine.versions(); !slices.Equal(loads, c.loads) {
				t.Fatalf("the engine loaded %v, want %v", loads, c.loads)
			}
		})
	}
}
