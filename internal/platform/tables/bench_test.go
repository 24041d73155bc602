package tables

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	operator "github.com/mulberryspool/mulberryspool/internal/operator/tables"
)

const (
	// benchIdle is longer than the polls that a process may leave out at once.
	benchIdle    = 200 * time.Second
	benchChanges = 10
	benchRows    = 50
	// benchDelay is the time of one answer of the object API.
	benchDelay     = 3 * time.Millisecond
	benchHeartbeat = 500 * time.Millisecond
	benchDomains   = 3
)

// fleet is a number of followers, of which the first of each failure domain
// plays the entry: it watches and exchanges heartbeats with all others.
type fleet struct {
	store     *fakeStore
	followers []*Follower
	// accepted is when each revision was written.
	mu       sync.Mutex
	accepted map[mulberryspool.Revision]time.Time
	delays   []time.Duration
	inForce  sync.WaitGroup
}

func benchDocument(number int) []byte {
	var t mulberryspool.Tables
	for i := range benchRows {
		name := fmt.Sprintf("pool-%03d", i)
		t.Pools = append(t.Pools, mulberryspool.Pool{Name: name, Kind: mulberryspool.PoolEngine, Version: fmt.Sprintf("version-%03d", number)})
		t.Routes = append(t.Routes, mulberryspool.Route{Name: name, Kind: mulberryspool.RouteChat, Pool: name, Timeout: time.Minute})
	}
	document, err := operator.Encode(t)
	if err != nil {
		panic(err)
	}
	return document
}

func (f *fleet) start(ctx context.Context, processes int) *sync.WaitGroup {
	var list fakeList
	for i := range processes {
		list = append(list, mulberryspool.ListedInstance{
			Identity: mulberryspool.Identity{
				Instance:      mulberryspool.InstanceID(fmt.Sprint("i-", i)),
				FailureDomain: fmt.Sprint("domain-", i%benchDomains),
			},
			State: mulberryspool.InstanceLive,
		})
	}
	var running sync.WaitGroup
	for i, instance := range list {
		follower := &Follower{
			Store: f.store, Clock: clockwork.NewRealClock(), Identity: instance.Identity, List: list, AlwaysWatch: i < benchDomains,
		}
		follower.Subscribe(f.took)
		f.followers = append(f.followers, follower)
		running.Go(func() { _ = follower.Run(ctx) })
	}
	for _, entry := range f.followers[:benchDomains] {
		running.Go(func() { f.heartbeats(ctx, entry) })
	}
	return &running
}

func (f *fleet) took(view mulberryspool.TablesView) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delays = append(f.delays, time.Since(f.accepted[view.Revision]))
	f.inForce.Done()
}

// heartbeats carries revisions between an entry and all other processes, at
// its own phase.
func (f *fleet) heartbeats(ctx context.Context, entry *Follower) {
	time.Sleep(rand.N(benchHeartbeat))
	ticker := time.NewTicker(benchHeartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, agent := range f.followers[benchDomains:] {
			exchange(entry, agent)
			exchange(agent, entry)
		}
	}
}

func exchange(from, to *Follower) {
	if view, ok := from.Current(); ok {
		to.Heard(view.Revision, func(context.Context) (mulberryspool.TablesDocument, error) {
			document, _ := from.Document(0)
			return document, nil
		})
	}
}

// change writes a revision and waits until all followers have it in force.
func (f *fleet) change(revision mulberryspool.Revision) {
	f.inForce.Add(len(f.followers))
	f.mu.Lock()
	f.accepted[revision] = time.Now()
	f.mu.Unlock()
	f.store.write(revision, benchDocument(int(revision)))
	f.inForce.Wait()
}

// traffic sums up over all followers.
func (f *fleet) traffic() (calls, storeBytes, peerBytes float64) {
	for _, follower := range f.followers {
		t := follower.Traffic()
		calls += float64(t.Reads + t.Watches)
		storeBytes += float64(t.StoreBytes)
		peerBytes += float64(t.PeerBytes)
	}
	return calls, storeBytes, peerBytes
}

// BenchmarkFollowers measures the calls and bytes of each process, idle and
// for each change, and the time from accept to in force.
func BenchmarkFollowers(b *testing.B) {
	for _, processes := range []int{3, 30, 100} {
		b.Run(fmt.Sprint(processes), func(b *testing.B) {
			for b.Loop() {
				measure(b, processes)
			}
		})
	}
}

func measure(b *testing.B, processes int) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{store: newFakeStore(), accepted: make(map[mulberryspool.Revision]time.Time)}
	f.store.delay = benchDelay
	f.inForce.Add(processes)
	f.accepted[1] = time.Now()
	f.store.write(1, benchDocument(1))
	running := f.start(ctx, processes)
	defer running.Wait()
	defer cancel()
	f.inForce.Wait()
	f.delays = nil

	calls, bytes, _ := f.traffic()
	time.Sleep(benchIdle)
	idleCalls, idleBytes, _ := f.traffic()
	perProcess := func(total float64) float64 { return total / float64(processes) }
	b.ReportMetric(perProcess(idleCalls-calls)/benchIdle.Seconds(), "idle-calls/process/s")
	b.ReportMetric(perProcess(idleBytes-bytes)/benchIdle.Seconds(), "idle-bytes/process/s")

	calls, bytes, peerBytes := f.traffic()
	for i := range benchChanges {
		f.change(mulberryspool.Revision(i + 2))
	}
	changeCalls, changeBytes, changePeerBytes := f.traffic()
	b.ReportMetric(perProcess(changeCalls-calls)/benchChanges, "calls/process/change")
	b.ReportMetric(perProcess(changeBytes-bytes)/benchChanges, "api-bytes/process/change")
	b.ReportMetric(perProcess(changePeerBytes-peerBytes)/benchChanges, "peer-bytes/process/change")
	b.ReportMetric(float64(len(benchDocument(1))), "document-bytes")
	slices.Sort(f.delays)
	b.ReportMetric(float64(f.delays[len(f.delays)/2].Milliseconds()), "median-ms")
	b.ReportMetric(float64(f.delays[len(f.delays)-1].Milliseconds()), "max-ms")
}
