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

// Guards against newer state that is waited for while no peer delivers it, and against reads from the
// store while a peer does.
func TestStateThatNoPeerDeliversIsOverdue(t *testing.T) {
	const after = 700 * time.Millisecond
	for _, receiving := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var fetched atomic.Int32
			s := newStateSync(clockwork.NewRealClock(), &fetched)
			checked := make(chan bool, 1)
			s.overdueAfter = func() time.Duration { return after }
			s.checkOverdue = func() { checked <- s.overdue() }
			s.fetch = func(ctx context.Context, r stateRead) (fleet.State, error) {
				for receiving && ctx.Err() == nil {
					r.progress()
					time.Sleep(peerStallTimeout / 5)
				}
				<-ctx.Done()
				return fleet.State{}, ctx.Err()
			}
			began := time.Now()
			s.handleHeartbeat(heartbeatOf("silent", 5), netip.MustParseAddrPort("10.0.0.1:1"))
			if s.overdue() {
				t.Error("newer state is overdue at once")
			}
			if overdue := <-checked; overdue == receiving || time.Since(began) != after {
				t.Errorf("receiving %t: overdue %t after %v, want %t after %v", receiving, overdue, time.Since(began), !receiving, after)
			}
			s.fleet.Merge(fleet.State{Ingress: &mulberryspool.Ingress{Version: 5}}, "store")
			time.Sleep(2 * peerReadTimeout)
			if s.overdue() {
				t.Error("state is overdue although this process has it")
			}
		})
	}
}

// Guards against a read of a sound peer's state that is given up while the peer is silent for
// a short time, so that the state arrives seconds after the peer has gone on.
func TestSilentPeerIsReadWhenItGoesOn(t *testing.T) {
	const silentUntil = 2 * time.Second
	for name, answersFirst := range map[string]bool{"before it answers": false, "within its answer": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var fetched atomic.Int32
				s := newStateSync(clockwork.NewRealClock(), &fetched)
				began, answer := time.Now(), s.fetch
				s.fetch = func(ctx context.Context, r stateRead) (fleet.State, error) {
					if answersFirst {
						r.progress()
					}
					select {
					case <-time.After(time.Until(began.Add(silentUntil))):
						return answer(ctx, r)
					case <-ctx.Done():
						return fleet.State{}, ctx.Err()
					}
				}
				for s.fleet.State().Ingress.Version != 5 && time.Since(began) < 2*silentUntil {
					s.handleHeartbeat(heartbeatOf("newer", 5), netip.MustParseAddrPort("10.0.0.2:1"))
					time.Sleep(heartbeatInterval)
				}
				if took := time.Since(began); took > silentUntil+heartbeatInterval {
					t.Errorf("the configuration is known after %v, want it as soon as the peer goes on after %v", took, silentUntil)
				}
				if n := fetched.Load(); n != 1 {
					t.Errorf("the state was sent %d times, want 1", n)
				}
				time.Sleep(peerReadTimeout)
				s.mu.Lock()
				defer s.mu.Unlock()
				if len(s.lackingSince)+len(s.stalled)+len(s.failedAt) > 0 {
					t.Errorf("after the read, parts are lacking since %v, reads %v have stalled and %v have failed, want none", s.lackingSince, s.stalled, s.failedAt)
				}
			})
		})
	}
}

// Guards against reads of silent peers that pile up, or that go on although another peer has
// sent the state: their answers would fill the links when the peers go on.
func TestReadsOfSilentPeersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var fetched, open atomic.Int32
		s := newStateSync(clockwork.NewRealClock(), &fetched)
		answers, answer := netip.MustParseAddrPort("10.0.0.9:1"), s.fetch
		s.fetch = func(ctx context.Context, r stateRead) (fleet.State, error) {
			if r.entry == answers {
				return answer(ctx, r)
			}
			open.Add(1)
			defer open.Add(-1)
			<-ctx.Done()
			return fleet.State{}, ctx.Err()
		}
		silent := []netip.AddrPort{
			netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1"), netip.MustParseAddrPort("10.0.0.4:1"),
		}
		most := int32(0)
		for range 80 {
			for _, peer := range silent {
				s.handleHeartbeat(heartbeatOf(peer.String(), 5), peer)
			}
			time.Sleep(heartbeatInterval)
			synctest.Wait()
			most = max(most, open.Load())
		}
		if most != 2 {
			t.Errorf("%d reads of silent peers were open at a time, want 2", most)
		}
		for s.fleet.State().Ingress.Version != 5 {
			s.handleHeartbeat(heartbeatOf("newer", 5), answers)
			time.Sleep(heartbeatInterval)
		}
		synctest.Wait()
		if n := open.Load(); n > 1 {
			t.Errorf("%d reads of silent peers are open although the state is known, want at most the one that has not stalled", n)
		}
		time.Sleep(peerReadTimeout)
	})
}
