package forward

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/coldstart"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
	"github.com/mulberryspool/mulberryspool/internal/entry/retrybudget"
	"github.com/mulberryspool/mulberryspool/internal/entry/scheduler"
)

const (
	coldRate = 4
	// coldBound is one and a half times the rate, and one more.
	coldBound = coldRate*3/2 + 1
)

// newColdEntry returns the only entry of a pool whose backend server is cold.
func newColdEntry(t *testing.T, b *backend, coldFor time.Duration) *entry {
	t.Helper()
	e := newEntry(t, b)
	now := e.handler.Clock.Now()
	entries := &coldstart.Entries{Self: netip.MustParseAddrPort("10.0.0.1:7000"), FailureDomain: "a", StartedAt: now.Add(-time.Hour)}
	entries.SetListed()
	e.scheduler = &scheduler.Scheduler{
		Clock: e.handler.Clock, Random: rand.New(rand.NewPCG(1, 1)),
		Placement:   placement.Config{FailureDomain: "a", VersionGrace: time.Minute, Entries: entries, ColdOvershoot: 1.5, ColdSlack: 1},
		RetryBudget: retrybudget.Budget{Window: 10 * time.Second, Ratio: 0.2, Slack: 100},
	}
	e.handler.Scheduler = e.scheduler
	i := ingress()
	i.Pools = map[string]mulberryspool.IngressPool{"p": {Name: "p", ColdRate: coldRate, ColdTime: time.Second}}
	for r := range i.Routes {
		i.Routes[r].Objective = 3 * time.Second
	}
	e.scheduler.SetIngress(i)
	server := b.server("p")
	server.ColdFor, server.Slots = coldFor, 64
	e.scheduler.SetServers(map[mulberryspool.InstanceID]mulberryspool.BackendServer{server.Instance: server})
	return e
}

// arrivals records when requests arrive.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

func (a *arrivals) record() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = append(a.at, time.Now())
}

// most returns the largest number of requests in a second.
func (a *arrivals) most() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most, from := 0, 0
	for i, at := range a.at {
		for at.Sub(a.at[from]) >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// Guards against a cold server that gets the requests of several seconds at once, because
// their connections took long to open and were all opened at the same time.
func TestSlowConnectionsDoNotCompressRequestsToColdServer(t *testing.T) {
	const (
		rounds   = 3
		interval = 1110 * time.Millisecond
	)
	var seen arrivals
	b := newBackend(t, "i-1", func(w *bufio.Writer, r *http.Request, _ int) bool {
		seen.record()
		return writeResponse(w, r, http.StatusOK, "ok")
	})
	e := newColdEntry(t, b, time.Minute)
	opened := make(chan struct{})
	e.delayDials(b.address, func() time.Duration {
		<-opened
		return 0
	})
	var calls sync.WaitGroup
	for i := range rounds * coldRate {
		calls.Go(func() {
			time.Sleep(time.Duration(i/coldRate) * interval)
			e.call(t, http.MethodPost, fmt.Sprintf("/write/%d", i), "x", "X-Attempt-Id", fmt.Sprintf("r%d", i))
		})
	}
	// The last ones are placed by then, and none is given up.
	time.Sleep((rounds-1)*interval + 200*time.Millisecond)
	close(opened)
	calls.Wait()
	if most := seen.most(); most > coldBound || most < coldRate {
		t.Errorf("cold server got %d requests in a second, want %d to %d", most, coldRate, coldBound)
	}
}

// Guards against a server that says in its answers that it is cold and gets requests as if it
// were not.
func TestAnswerSaysThatServerIsCold(t *testing.T) {
	var seen arrivals
	b := newBackend(t, "i-1", func(w *bufio.Writer, r *http.Request, _ int) bool {
		seen.record()
		return respond(w, r, 200, signatureHeader+"X-Cold-Ms: 1500\r\n")
	})
	e := newColdEntry(t, b, 0)
	e.call(t, http.MethodPost, "/write/0", "x")
	var calls sync.WaitGroup
	for i := range 3 * coldRate {
		calls.Go(func() {
			e.call(t, http.MethodPost, fmt.Sprintf("/write/%d", i), "x", "X-Attempt-Id", fmt.Sprintf("r%d", i))
		})
	}
	calls.Wait()
	if most := seen.most(); most > coldBound {
		t.Errorf("cold server got %d requests in a second, want at most %d", most, coldBound)
	}
}
