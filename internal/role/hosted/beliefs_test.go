package hosted

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/peer/beat"
	"github.com/mulberryspool/mulberryspool/internal/platform/fleet"
)

func newBeliefs(clock clockwork.Clock, fetched *atomic.Int32) *beliefs {
	f := &fleet.Fleet{
		Clock: clock, Logger: zerolog.Nop(),
		IngressChanged: func(mulberryspool.Ingress) {},
		ServersChanged: func(fleet.Servers) {},
		NamedChanged:   func(string, int64, time.Time) {},
	}
	f.Merge(fleet.State{Ingress: &mulberryspool.Ingress{Version: 3}}, "start")
	return &beliefs{fleet: f, clock: clock, logger: zerolog.Nop(), fetch: func(context.Context, netip.AddrPort) (fleet.State, error) {
		fetched.Add(1)
		return fleet.State{Ingress: &mulberryspool.Ingress{Version: 5}}, nil
	}}
}

func marksOf(node string, config int64) beat.Message {
	return beat.Message{Role: mulberryspool.RoleEntry, Node: node, Marks: &fleet.Marks{Config: config}}
}

// Most peers are turned away by the store as well; their beats come in
// between those of the one that knows more.
func TestHearsTheOnePeerThatKnowsMore(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var fetched atomic.Int32
	b := newBeliefs(clock, &fetched)
	for range 4 {
		b.heard(marksOf("knowing", 5), netip.AddrPort{})
		for range 5 {
			b.heard(marksOf("turned away", 3), netip.AddrPort{})
			clock.Advance(100 * time.Millisecond)
		}
	}
	deadline := time.Now().Add(10 * time.Second)
	for b.fleet.State().Ingress.Version != 5 {
		if time.Now().After(deadline) {
			t.Fatal("what the peer knows was never read")
		}
		time.Sleep(time.Millisecond)
	}
}

// Usually the store tells everybody at nearly the same time.
func TestStoreTellsFirst(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var fetched atomic.Int32
	b := newBeliefs(clock, &fetched)
	b.heard(marksOf("knowing", 5), netip.AddrPort{})
	b.fleet.Merge(fleet.State{Ingress: &mulberryspool.Ingress{Version: 5}}, "the store, meanwhile")
	clock.Advance(behindTime)
	deadline := time.Now().Add(10 * time.Second)
	for {
		b.mu.Lock()
		busy := b.busy
		b.mu.Unlock()
		if !busy {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the check never ends")
		}
		time.Sleep(time.Millisecond)
	}
	if n := fetched.Load(); n != 0 {
		t.Errorf("a peer was asked %d times for what the store had told", n)
	}
}
