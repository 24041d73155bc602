package process

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
)

type (
	// inbox holds the events for the reducer. Posting never blocks, because
	// messages are posted by the goroutines that read connections.
	inbox struct {
		mu     sync.Mutex
		items  []item
		signal chan struct{}
	}

	// item is an event, or a function that looks at the reducer.
	item struct {
		event dispatch.Event
		look  func(*dispatch.Reducer)
	}

	// oneTimer posts a Tick at the time asked for last. It is used by the
	// goroutine of the reducer.
	oneTimer struct {
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

func (b *inbox) take() []item {
	b.mu.Lock()
	defer b.mu.Unlock()
	items := b.items
	b.items = nil
	return items
}

// loop owns the reducer.
func (p *Process) loop(ctx context.Context) {
	defer close(p.ended)
	defer p.timer.stop()
	inFlight := p.Metrics.Gauge("dispatch_requests")
	for {
		select {
		case <-p.inbox.signal:
		case <-ctx.Done():
			return
		}
		for _, i := range p.inbox.take() {
			if i.look != nil {
				i.look(p.reducer)
				continue
			}
			for _, effect := range p.reducer.Step(p.Clock.Now(), i.event) {
				p.run(effect)
			}
		}
		inFlight.Update(float64(p.reducer.Requests()))
	}
}

// look runs the function with the reducer, or not at all after the end.
func (p *Process) look(f func(*dispatch.Reducer)) bool {
	if !p.running.Load() {
		return false
	}
	done := make(chan struct{})
	p.inbox.add(item{look: func(r *dispatch.Reducer) {
		f(r)
		close(done)
	}})
	select {
	case <-done:
		return true
	case <-p.ended:
		return false
	}
}

func (t *oneTimer) set(p *Process, at time.Time) {
	t.stop()
	t.timer = p.Clock.AfterFunc(max(0, at.Sub(p.Clock.Now())), func() { p.inbox.post(dispatch.Tick{}) })
}

func (t *oneTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}
