package hosted

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/peer/heartbeat"
	"github.com/mulberryspool/mulberryspool/internal/platform/fleet"
)

func newStateSync(clock clockwork.Clock, fetched *atomic.Int32) *stateSync {
	f := &fleet.Fleet{
		Clock: clock, Logger: zerolog.Nop(),
		IngressChanged:      func(mulberryspool.Ingress) {},
		ServersChanged:      func(fleet.Servers) {},
		NamedVersionChanged: func(string, int64, time.Time) {},
	}
	f.Merge(fleet.State{Ingress: &mulberryspool.Ingress{Version: 3}}, "start")
	return &stateSync{fleet: f, clock: clock, logger: zerolog.Nop(), fetch: func(context.Context, stateRead) (fleet.State, error) {
		fetched.Add(1)
		return fleet.State{Ingress: &mulberryspool.Ingress{Version: 5}}, nil
	}}
}

func heartbeatOf(sender string, config int64) heartbeat.Message {
	return heartbeat.Message{Role: mulberryspool.RoleEntry, Sender: sender, Summary: &heartbeat.Summary{Summary: fleet.Summary{Config: config}}}
}

// Guards against never reading a peer's newer state because heartbeats of peers
// with old state arrive in between. During an outage, the store refuses most
// peers, so that their state stays old.
func TestFetchesFromPeerWithNewerState(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var fetched atomic.Int32
	s := newStateSync(clock, &fetched)
	for range 4 {
		s.handleHeartbeat(heartbeatOf("newer", 5), netip.AddrPort{})
		for range 5 {
			s.handleHeartbeat(heartbeatOf("old", 3), netip.AddrPort{})
			clock.Advance(100 * time.Millisecond)
		}
	}
	deadline := time.Now().Add(10 * time.Second)
	for s.fleet.State().Ingress.Version != 5 {
		if time.Now().After(deadline) {
			t.Fatal("the newer state was never read")
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against needless reads of a peer's state: usually the store delivers a
// change to all processes at nearly the same time.
func TestNoFetchAfterStoreDelivers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var fetched atomic.Int32
	s := newStateSync(clock, &fetched)
	s.handleHeartbeat(heartbeatOf("newer", 5), netip.AddrPort{})
	s.fleet.Merge(fleet.State{Ingress: &mulberryspool.Ingress{Version: 5}}, "store")
	clock.Advance(peerFetchDelay)
	deadline := time.Now().Add(10 * time.Second)
	for {
		s.mu.Lock()
		inProgress := s.inProgress[readSlot{part: fleet.PartConfig, local: true}]
		s.mu.Unlock()
		if !inProgress {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the check did not end")
		}
		time.Sleep(time.Millisecond)
	}
	if n := fetched.Load(); n != 0 {
		t.Errorf("a peer's state was read %d times although the store had delivered it", n)
	}
}

// Guards against reads over the slow links between regions while a peer in the
// same failure domain has the same state.
func TestLocalPeerIsReadFirst(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var fetched atomic.Int32
	s := newStateSync(clock, &fetched)
	s.failureDomain = "here"
	read := make(chan netip.AddrPort, 4)
	inner := s.fetch
	s.fetch = func(ctx context.Context, r stateRead) (fleet.State, error) {
		read <- r.entry
		return inner(ctx, r)
	}
	remote, local := netip.MustParseAddrPort("10.2.0.1:1"), netip.MustParseAddrPort("10.1.0.1:1")
	remoteHeartbeat, localHeartbeat := heartbeatOf("remote", 5), heartbeatOf("local", 5)
	remoteHeartbeat.FailureDomain, localHeartbeat.FailureDomain = "there", "here"
	s.handleHeartbeat(remoteHeartbeat, remote)
	clock.Advance(50 * time.Millisecond)
	s.handleHeartbeat(localHeartbeat, local)
	clock.Advance(peerFetchDelay)
	if got := <-read; got != local {
		t.Errorf("%v was read, want the peer in the same failure domain", got)
	}
	for s.fleet.State().Ingress.Version != 5 {
		time.Sleep(time.Millisecond)
	}
	clock.Advance(remotePeerFetchDelay)
	select {
	case got := <-read:
		t.Errorf("%v was read for a state that is known already", got)
	case <-time.After(20 * time.Millisecond):
	}
}

// Guards against state that is never read because one peer, whose heartbeats arrive
// first, does not answer.
func TestUnresponsivePeerDoesNotPreventReadsFromOthers(t *testing.T) {
	const bound = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		var fetched atomic.Int32
		s := newStateSync(clockwork.NewRealClock(), &fetched)
		unresponsive, answer := netip.MustParseAddrPort("10.0.0.1:1"), s.fetch
		s.fetch = func(ctx context.Context, r stateRead) (fleet.State, error) {
			if r.entry == unresponsive {
				<-ctx.Done()
				return fleet.State{}, ctx.Err()
			}
			return answer(ctx, r)
		}
		for begin := time.Now(); time.Since(begin) < bound; time.Sleep(fullLoadRounds * heartbeatInterval) {
			s.handleHeartbeat(heartbeatOf("unresponsive", 5), unresponsive)
			s.handleHeartbeat(heartbeatOf("newer", 5), netip.MustParseAddrPort("10.0.0.2:1"))
		}
		if got := s.fleet.State().Ingress.Version; got != 5 {
			t.Errorf("after %v the configuration has version %d, want 5 from the peer that answers", bound, got)
		}
		// Reads that have begun must end within the bubble.
		time.Sleep(2 * peerCallTimeout)
	})
}
