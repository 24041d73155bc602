package fleet

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
)

// eraStore answers calls for the servers. Each watch waits until set is called, or its end.
type eraStore struct {
	unresponsiveStore

	mu      sync.Mutex
	at      mulberryspool.Position
	servers map[string]mulberryspool.BackendServer
	// late is the answer to the first list.
	late    *mulberryspool.Position
	lists   int
	changed chan struct{}
}

func newEraStore() *eraStore { return &eraStore{changed: make(chan struct{})} }

// set replaces all servers, of which those that changed have the position.
func (s *eraStore) set(era mulberryspool.Era, revision mulberryspool.Revision, servers ...mulberryspool.BackendServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at = mulberryspool.Position{Era: era, Revision: revision}
	s.servers = make(map[string]mulberryspool.BackendServer)
	for _, b := range servers {
		b.Era = era
		s.servers[string(b.Instance)] = b
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *eraStore) List(ctx context.Context, kind string) ([]mulberryspool.Object, mulberryspool.Position, error) {
	if kind != "servers" {
		return s.unresponsiveStore.List(ctx, kind)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.late != nil {
		at := *s.late
		s.late = nil
		return nil, at, nil
	}
	var list []mulberryspool.Object
	for name, b := range s.servers {
		value, err := json.Marshal(b)
		if err != nil {
			return nil, s.at, err
		}
		list = append(list, mulberryspool.Object{Name: name, Version: b.Revision, Era: b.Era, Value: value})
	}
	return list, s.at, nil
}

// Changes returns ErrCompacted for each change, so that the servers are listed.
func (s *eraStore) Changes(ctx context.Context, kind string, after mulberryspool.Revision, wait time.Duration) (mulberryspool.ChangeList, error) {
	if kind != "servers" {
		return s.unresponsiveStore.Changes(ctx, kind, 0, wait)
	}
	s.mu.Lock()
	at, changed := s.at, s.changed
	s.mu.Unlock()
	if at.Revision != after {
		return mulberryspool.ChangeList{}, mulberryspool.ErrCompacted
	}
	select {
	case <-changed:
		return mulberryspool.ChangeList{}, mulberryspool.ErrCompacted
	case <-time.After(wait):
		return mulberryspool.ChangeList{At: at, SentAt: time.Now()}, nil
	case <-ctx.Done():
		return mulberryspool.ChangeList{}, ctx.Err()
	}
}

func serverRow(id string, revision mulberryspool.Revision) mulberryspool.BackendServer {
	return mulberryspool.BackendServer{Instance: mulberryspool.InstanceID(id), Born: 1, Revision: revision}
}

func leavingRow(id string, revision mulberryspool.Revision) mulberryspool.BackendServer {
	b := serverRow(id, revision)
	b.Leaving = true
	return b
}

// followingFleet returns a process that follows a store once it runs.
func followingFleet(s mulberryspool.KindStore) *Fleet {
	f := newFleet(clockwork.NewRealClock())
	f.Store = s
	f.Kinds = Kinds{Config: "config", Servers: "servers", Versions: "versions", DecodeServer: func(o mulberryspool.Object) (mulberryspool.BackendServer, error) {
		var b mulberryspool.BackendServer
		err := json.Unmarshal(o.Value, &b)
		b.Revision, b.Era = o.Version, o.Era
		return b, err
	}}
	return f
}

// runFleet starts a process that follows a store. Call it in a synctest bubble.
func runFleet(t *testing.T, s mulberryspool.KindStore) *Fleet {
	f := followingFleet(s)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go f.Run(ctx)
	return f
}

func names(servers Servers) []string {
	var ids []string
	for id := range servers {
		ids = append(ids, string(id))
	}
	slices.Sort(ids)
	return ids
}

// Guards against servers that the copy lacks and that are dropped before they could write
// themselves again, because a process that has just started, or that had not seen them before the
// restore, reports a list of the new era as exact.
func TestExactListOfPeerKeepsServersThatCopyLacks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEraStore()
		s.set(1, 10, serverRow("a", 5), serverRow("b", 10))
		f := runFleet(t, s)
		time.Sleep(time.Second)
		s.set(2, 7, serverRow("a", 5))
		time.Sleep(time.Second)
		if got := names(f.State().Servers); !slices.Equal(got, []string{"a", "b"}) {
			t.Fatalf("servers are %v 1s after the restore, want a and b", got)
		}
		started := runFleet(t, s)
		time.Sleep(500 * time.Millisecond)
		read(f, started)
		if got := names(f.State().Servers); !slices.Equal(got, []string{"a", "b"}) {
			t.Errorf("servers are %v after the list of a process that has just started, 1.5s after the restore, want a and b", got)
		}
	})
}

// Guards against servers that the copy lacks and that are dropped at once by a process that knew
// them from peers only, as the store had refused it before the restore.
func TestServersKnownFromPeersStayForGracePeriodAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, peer := newEraStore(), newFleet(clockwork.NewRealClock())
		s.set(1, 10, serverRow("a", 5))
		f := runFleet(t, s)
		time.Sleep(time.Second)
		listAt(peer, 1, 12, "a", "b")
		if !read(f, peer) {
			t.Fatal("the peer's list doesn't count as newer")
		}
		s.set(2, 7, serverRow("a", 5))
		time.Sleep(time.Second)
		if got := names(f.State().Servers); !slices.Equal(got, []string{"a", "b"}) {
			t.Errorf("servers are %v 1s after the restore, want a and b", got)
		}
	})
}

// Guards against a process that the store refuses and that learns only after the grace period of
// its peers that a server leaves just after a restore.
func TestPeersInGracePeriodReportServersThatLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, refused := newEraStore(), newFleet(clockwork.NewRealClock())
		s.set(1, 10, serverRow("a", 5), serverRow("b", 10))
		f := runFleet(t, s)
		time.Sleep(time.Second)
		listAt(refused, 1, 10, "a", "b")
		s.set(2, 7, serverRow("a", 5))
		time.Sleep(50 * time.Millisecond)
		s.set(2, 8, leavingRow("a", 8))
		began := time.Now()
		for time.Since(began) < 10*time.Second && !refused.State().Servers["a"].Leaving {
			time.Sleep(20 * time.Millisecond)
			read(refused, f)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("the refused process learned after %v that the server leaves, without any delay of heartbeats or reads; want at most 1s", took)
		}
	})
}

// Guards against a process that starts during a restore, learns the new era from a peer first, and
// then takes a late answer of the earlier era for the current one.
func TestFirstEraKnownFromPeerOutdatesLateList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEraStore()
		s.set(2, 10, serverRow("a", 5))
		s.late = &mulberryspool.Position{Era: 1, Revision: 10}
		f := followingFleet(s)
		f.ObserveEra(2, "peer")
		go f.Run(t.Context())
		time.Sleep(5 * time.Second)
		if got := names(f.State().Servers); !slices.Equal(got, []string{"a"}) {
			t.Errorf("servers are %v 5s after the start, want a", got)
		}
	})
}
