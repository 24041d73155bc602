package process

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
)

type (
	// inbox is the unbounded queue of events for the reducer. Posting never
	// blocks, because events are posted by goroutines that read connections.
	inbox struct {
		mu     sync.Mutex
		items  []item
		signal chan struct{}
	}

	// item is either an event or a function that reads the reducer's state.
	item struct {
		event   dispatch.Event
		inspect func(*dispatch.Reducer)
	}

	// tickTimer posts a TimerFired event at the time that was set last. It is used
	// only by the reducer's goroutine.
	tickTimer struct {
		timer clockwork.Timer
	}
)

func (b *inbox) post(event dispatch.Event) {
	b.add(item{event: event})
}

func (b *inbox) add(i item) {
	b.mu.Lock()
	b.items = append(b.items, i)
	b.mu.Unlock()
	select {
	case b.signal <- struct{}{}:
	default:
	}
}

func (b *inbox) takeAll() []item {
	b.mu.Lock()
	defer b.mu.Unlock()
	items := b.items
	b.items = nil
	return items
}

// loop passes events to the reducer and runs its effects. Only this goroutine
// accesses the reducer.
func (p *Process) loop(ctx context.Context) {
	defer close(p.loopEnded)
	defer p.timer.stop()
	inFlight := p.Metrics.Gauge("dispatch_requests")
	for {
		select {
		case <-p.inbox.signal:
		case <-ctx.Done():
			return
		}
		for _, i := range p.inbox.takeAll() {
			if i.inspect != nil {
				i.inspect(p.reducer)
				continue
			}
			for _, effect := range p.reducer.Step(p.Clock.Now(), i.event) {
				p.runEffect(effect)
			}
		}
		inFlight.Update(float64(p.reducer.Requests()))
	}
}

// inspect calls f with the reducer in the reducer's goroutine. It returns false,
// without calling f, if the loop is not running.
func (p *Process) inspect(f func(*dispatch.Reducer)) bool {
	if !p.prepared.Load() {
		return false
	}
	done := make(chan struct{})
	p.inbox.add(item{inspect: func(r *dispatch.Reducer) {
		f(r)
		close(done)
	}})
	select {
	case <-done:
		return true
	case <-p.loopEnded:
		return false
	}
}

func (t *tickTimer) set(p *Process, at time.Time) {
	t.stop()
	t.timer = p.Clock.AfterFunc(max(0, at.Sub(p.Clock.Now())), func() { p.inbox.post(dispatch.TimerFired{}) })
}

func (t *tickTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}
