package hosted

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/coldstart"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
	"github.com/mulberryspool/mulberryspool/internal/entry/scheduler"
	"github.com/mulberryspool/mulberryspool/internal/peer/heartbeat"
	"github.com/mulberryspool/mulberryspool/internal/platform/fleet"
)

func startTransport(t *testing.T, name string, handle func(heartbeat.Message, netip.AddrPort)) (*heartbeat.Transport, netip.AddrPort) {
	t.Helper()
	conn, err := heartbeat.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	transport := &heartbeat.Transport{
		Conn: conn, Clock: clockwork.NewRealClock(), Logger: zerolog.Nop(), Handle: handle,
		Self: heartbeat.Message{Role: mulberryspool.RoleEntry, Sender: name, FailureDomain: "a", Boot: 1},
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- transport.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return transport, netip.MustParseAddrPort(conn.LocalAddr().String())
}

// Guards against an entry that restarts while the store does not answer, and takes the shares
// of the entries that it can't hear: the entries that it hears have to name them.
func TestAnnouncementNamesEntriesThatAreNotHeard(t *testing.T) {
	unheard := netip.MustParseAddrPort("10.0.0.9:7110")
	clock := clockwork.NewRealClock()
	e := &entryRole{process: &process{clock: clock, logger: zerolog.Nop()}, registered: make(map[netip.AddrPort]struct{})}
	e.fleet = &fleet.Fleet{Clock: clock, Logger: zerolog.Nop()}
	e.scheduler = &scheduler.Scheduler{Clock: clock, Placement: placement.Config{Entries: &coldstart.Entries{StartedAt: clock.Now()}}}
	e.stateSync = &stateSync{fleet: e.fleet, clock: clock, logger: e.logger}
	var own netip.AddrPort
	e.heartbeats, own = startTransport(t, "e-0", e.handleHeartbeat)
	var (
		mu    sync.Mutex
		named []string
	)
	peer, address := startTransport(t, "e-1", func(m heartbeat.Message, _ netip.AddrPort) {
		mu.Lock()
		defer mu.Unlock()
		named = append(named, m.EntryAddresses...)
	})
	e.addEntries([]string{unheard.String()}, false)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		peer.Send(heartbeat.Message{Loads: map[mulberryspool.InstanceID]placement.Load{}}, []netip.AddrPort{own})
		e.announce(nil, true)
		mu.Lock()
		found := slices.Contains(named, unheard.String())
		mu.Unlock()
		if found {
			if counted := e.scheduler.Entries(); len(counted) != 2 || !slices.Contains(counted, address) {
				t.Errorf("entries that count are %v, want %v and %v", counted, unheard, address)
			}
			return
		}
	}
	t.Error("entry is not told of one that it does not hear")
}
