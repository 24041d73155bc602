package hosted

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/peer/heartbeat"
	"github.com/mulberryspool/mulberryspool/internal/platform/fleet"
	settings "github.com/mulberryspool/mulberryspool/internal/settings/hosted"
	"github.com/mulberryspool/mulberryspool/internal/standin/kindstore"
	"github.com/mulberryspool/mulberryspool/platform"
)

// Guards against agents that read the configuration and the servers from the store when they
// start, or from an entry in another failure domain although there is one in their own.
func TestStartingAgentReadsStateOfNearbyEntry(t *testing.T) {
	state := fleet.State{
		Ingress: &mulberryspool.Ingress{Version: 1}, ServersAt: 1,
		Servers: fleet.Servers{"i-1": {Instance: "i-1", Pool: "p", Address: "127.0.0.1:7000", FailureDomain: "a", Revision: 1}},
	}
	var reads [2]atomic.Int64
	entry := func(i int) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			reads[i].Add(1)
			if err := json.NewEncoder(w).Encode(state); err != nil {
				t.Error(err)
			}
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	var store kindstore.Server
	listener := httptest.NewServer(&store)
	defer listener.Close()
	store.Put(platform.KindEntries, "far", registration{Address: entry(0), FailureDomain: "b"})
	store.Put(platform.KindEntries, "near", registration{Address: entry(1), FailureDomain: "a"})
	clock := clockwork.NewRealClock()
	client := newStoreClient(settings.Settings{Store: strings.TrimPrefix(listener.URL, "http://")}, clock, tally.NoopScope)
	defer client.Close()
	a := &agentRole{wakeup: make(chan struct{}, 1), process: &process{
		clock: clock, logger: zerolog.Nop(), metrics: tally.NoopScope, peerClient: http.DefaultClient,
		identity: mulberryspool.Identity{FailureDomain: "a"}, store: &platform.Store{Client: client, Logger: zerolog.Nop()},
	}}
	a.fleet = a.newFleet()
	a.fleet.NamedVersionChanged = func(string, int64, time.Time) {}
	a.heartbeats, _ = startTransport(t, "agent", func(heartbeat.Message, netip.AddrPort) {})
	a.readFromRegistered(t.Context())
	if !a.fleet.HasSynced() {
		t.Error("the agent has no configuration or no servers")
	}
	if far, near := reads[0].Load(), reads[1].Load(); far != 0 || near != 1 {
		t.Errorf("the entries in another and in the agent's failure domain were read %d and %d times, want 0 and 1", far, near)
	}
}
