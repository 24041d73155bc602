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
		busy := b.busy[true]
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

// What a peer in another failure domain knows comes over the narrow links
// between regions, so a peer nearby that hears of it meanwhile is read instead.
func TestPeerNearbyIsReadFirst(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var fetched atomic.Int32
	b := newBeliefs(clock, &fetched)
	b.domain = "here"
	read := make(chan netip.AddrPort, 4)
	inner := b.fetch
	b.fetch = func(ctx context.Context, entry netip.AddrPort) (fleet.State, error) {
		read <- entry
		return inner(ctx, entry)
	}
	far, near := netip.MustParseAddrPort("10.2.0.1:1"), netip.MustParseAddrPort("10.1.0.1:1")
	fromFar, fromNear := marksOf("far", 5), marksOf("near", 5)
	fromFar.Domain, fromNear.Domain = "there", "here"
	b.heard(fromFar, far)
	clock.Advance(50 * time.Millisecond)
	b.heard(fromNear, near)
	clock.Advance(behindTime)
	if got := <-read; got != near {
		t.Errorf("%v was read, want the peer nearby", got)
	}
	for b.fleet.State().Ingress.Version != 5 {
		time.Sleep(time.Millisecond)
	}
	clock.Advance(farBehindTime)
	select {
	case got := <-read:
		t.Errorf("%v was read for what is known already", got)
	case <-time.After(20 * time.Millisecond):
	}
}
