package fleet_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/platform/fleet"
)

const (
	ready    = "ready"
	draining = "draining"
	// callInterval is longer than the follower's pause after an answer or a failure.
	callInterval = 400 * time.Millisecond
)

type (
	// reply is what the store answers to the next call for the servers.
	reply struct {
		err error
		// listed holds the state of each server for a list, changed and removed are
		// the events for a watch.
		listed, changed map[string]string
		removed         []string
		at              mulberryspool.Revision
	}

	// scriptedStore answers only calls for the servers, each with the next reply. A
	// reply with a list to a watch means that the watch's history is gone.
	scriptedStore struct {
		mulberryspool.KindStore
		replies  chan reply
		relisted *reply
	}

	// entry is a process whose store is scripted.
	entry struct {
		*fleet.Fleet
		store *scriptedStore
	}
)

func (s *scriptedStore) next(ctx context.Context, kind string) (reply, error) {
	if kind != "servers" {
		<-ctx.Done()
		return reply{}, ctx.Err()
	}
	select {
	case r := <-s.replies:
		return r, r.err
	case <-ctx.Done():
		return reply{}, ctx.Err()
	}
}

func (s *scriptedStore) List(ctx context.Context, kind string) ([]mulberryspool.Object, mulberryspool.Position, error) {
	if kind == "servers" && s.relisted != nil {
		r := *s.relisted
		s.relisted = nil
		return objects(r.listed, 0), mulberryspool.Position{Revision: r.at}, nil
	}
	r, err := s.next(ctx, kind)
	return objects(r.listed, 0), mulberryspool.Position{Revision: r.at}, err
}

func (s *scriptedStore) Changes(ctx context.Context, kind string, _ mulberryspool.Revision, _ time.Duration) (mulberryspool.ChangeList, error) {
	r, err := s.next(ctx, kind)
	if r.listed != nil {
		s.relisted, err = &r, mulberryspool.ErrCompacted
	}
	var changes []mulberryspool.ObjectChange
	for _, o := range objects(r.changed, r.at) {
		changes = append(changes, mulberryspool.ObjectChange{Object: o})
	}
	for _, name := range r.removed {
		changes = append(changes, mulberryspool.ObjectChange{Object: mulberryspool.Object{Name: name}, Deleted: true})
	}
	return mulberryspool.ChangeList{Changes: changes, At: mulberryspool.Position{Revision: r.at}}, err
}

// objects returns objects that were last changed at a revision; 0 is when they got
// their state.
func objects(states map[string]string, changedAt mulberryspool.Revision) []mulberryspool.Object {
	var list []mulberryspool.Object
	for name, state := range states {
		version := mulberryspool.Revision(10)
		switch {
		case changedAt > 0:
			version = changedAt
		case name == "c" || state == draining:
			version = 15
		case name == "d":
			version = 25
		}
		list = append(list, mulberryspool.Object{Name: name, Version: version, Value: []byte(state)})
	}
	return list
}

func decode(o mulberryspool.Object) (mulberryspool.BackendServer, error) {
	return mulberryspool.BackendServer{Instance: mulberryspool.InstanceID(o.Name), Leaving: string(o.Value) == draining, Revision: o.Version}, nil
}

// reported is a peer's exact list of servers.
func reported(at mulberryspool.Revision, states map[string]string) fleet.State {
	s := fleet.State{Servers: make(fleet.Servers), ServersAt: at}
	for _, o := range objects(states, 0) {
		b, _ := decode(o)
		s.Servers[b.Instance] = b
	}
	return s
}

// startEntry returns an entry that has listed the ready servers a and b at
// revision 10. Call it in a synctest bubble.
func startEntry(t *testing.T) *entry {
	e := &entry{store: &scriptedStore{replies: make(chan reply)}}
	e.Fleet = &fleet.Fleet{
		Store: e.store, Clock: clockwork.NewRealClock(), Logger: zerolog.Nop(),
		Kinds:               fleet.Kinds{Config: "config", Servers: "servers", Versions: "versions", DecodeServer: decode},
		IngressChanged:      func(mulberryspool.Ingress) {},
		ServersChanged:      func(fleet.Servers) {},
		NamedVersionChanged: func(string, int64, time.Time) {},
	}
	go e.Run(t.Context())
	e.answer(reply{listed: map[string]string{"a": ready, "b": ready}, at: 10})
	return e
}

// answer answers the next call for the servers and waits until the answer is
// processed.
func (e *entry) answer(r reply) {
	time.Sleep(callInterval)
	e.store.replies <- r
	synctest.Wait()
}

func (e *entry) refuse(calls int) {
	for range calls {
		e.answer(reply{err: mulberryspool.ErrUnavailable})
	}
}

// expectUsable checks which servers are in use and not leaving.
func (e *entry) expectUsable(t *testing.T, when string, want ...string) {
	t.Helper()
	var usable []string
	for id, b := range e.State().Servers {
		if !b.Leaving {
			usable = append(usable, string(id))
		}
	}
	if slices.Sort(usable); !slices.Equal(usable, want) {
		t.Errorf("%s: the usable servers are %v, want %v", when, usable, want)
	}
}

// Guards against a server that is used again after a peer with an exact, newer
// list has reported its removal, because its object is in its grace period here.
func TestServerRemovedByPeerIsNotReinstatedByOwnWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEntry(t)
		e.refuse(3)
		e.Merge(reported(20, map[string]string{"a": ready}), "peer")
		e.answer(reply{removed: []string{"b"}, at: 20})
		e.expectUsable(t, "after the watch that catches up", "a")
		e.Merge(reported(30, map[string]string{"a": ready, "d": ready}), "peer")
		e.answer(reply{changed: map[string]string{"d": ready}, at: 30})
		e.expectUsable(t, "after the next change", "a", "d")
	})
}

// Guards against a server that is used again although a peer has reported that it
// is leaving, because its object expired before this process saw it leave.
func TestServerReportedLeavingIsNotReinstatedByOwnList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEntry(t)
		e.refuse(3)
		e.Merge(reported(20, map[string]string{"a": ready, "b": draining}), "peer")
		e.answer(reply{listed: map[string]string{"a": ready}, at: 30})
		e.expectUsable(t, "after the list that follows the outage", "a")
	})
}

// Guards against a grace period that begins when the store answers this process,
// although it has served a peer for longer than that all the while.
func TestGracePeriodIsNotCountedFromOwnLateReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEntry(t)
		e.refuse(3)
		e.Merge(reported(20, map[string]string{"a": ready, "b": ready, "c": ready}), "peer")
		e.refuse(6)
		e.Merge(reported(30, map[string]string{"a": ready, "b": ready, "c": ready, "d": ready}), "peer")
		e.answer(reply{changed: map[string]string{"c": ready, "d": ready}, removed: []string{"b"}, at: 40})
		e.expectUsable(t, "after the first answer", "a", "c", "d")
	})
}

// Guards against a list with servers in their grace period that is reported to
// peers at the revision of another peer's exact list.
func TestServersInGracePeriodAreNotReportedAsExact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late, exact, restarted := startEntry(t), startEntry(t), &entry{Fleet: &fleet.Fleet{
			Clock: clockwork.NewRealClock(), Logger: zerolog.Nop(), ServersChanged: func(fleet.Servers) {},
		}}
		exact.answer(reply{removed: []string{"b"}, at: 20})
		late.refuse(3)
		late.Merge(reported(30, map[string]string{"a": ready, "c": ready}), "third")
		late.answer(reply{changed: map[string]string{"c": ready}, removed: []string{"b"}, at: 30})
		for name, e := range map[string]*entry{"entry with an exact list": exact, "restarted entry": restarted} {
			if e.IsBehind(late.Summary()) {
				e.Merge(late.State(), "late")
			}
			if _, ok := e.State().Servers["b"]; ok {
				t.Errorf("%s: the removed server is in use at revision %d", name, e.State().ServersAt)
			}
		}
	})
}

// Guards against a removed server that stays in use after its grace period
// because the store does not answer when it ends.
func TestGracePeriodEndsWhileStoreIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEntry(t)
		e.refuse(3)
		e.answer(reply{removed: []string{"b"}, at: 20})
		e.refuse(8)
		e.expectUsable(t, "3.2s after the removal was seen", "a")
	})
}

// Guards against a server that is dropped because it could not renew its object
// while the store served nobody.
func TestServerExpiredInOutageStaysForGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEntry(t)
		e.refuse(3)
		e.answer(reply{changed: map[string]string{"c": ready}, removed: []string{"b"}, at: 20})
		e.expectUsable(t, "after the outage", "a", "b", "c")
		e.answer(reply{changed: map[string]string{"b": ready}, at: 21})
		time.Sleep(3 * time.Second)
		e.expectUsable(t, "after it was renewed", "a", "b", "c")
	})
}
