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
	// benchIdle is longer than the time in which a process may skip all polls.
	benchIdle    = 200 * time.Second
	benchChanges = 10
	benchRows    = 50
	// benchDelay is the delay of a response of the object API.
	benchDelay     = 3 * time.Millisecond
	benchHeartbeat = 500 * time.Millisecond
	benchDomains   = 3
)

// followerGroup is a group of followers. The first one of each failure domain
// acts as an entry: it watches and exchanges heartbeats with all agents.
type followerGroup struct {
	store     *fakeStore
	followers []*Follower
	mu        sync.Mutex
	// writtenAt holds when each revision was written.
	writtenAt map[mulberryspool.Revision]time.Time
	delays    []time.Duration
	pending   sync.WaitGroup
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

func (g *followerGroup) start(ctx context.Context, processes int) *sync.WaitGroup {
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
			Store: g.store, Clock: clockwork.NewRealClock(), Identity: instance.Identity, InstanceList: list, AlwaysWatch: i < benchDomains,
		}
		follower.Subscribe(g.recordDelay)
		g.followers = append(g.followers, follower)
		running.Go(func() { _ = follower.Run(ctx) })
	}
	for _, entry := range g.followers[:benchDomains] {
		running.Go(func() { g.heartbeats(ctx, entry) })
	}
	return &running
}

func (g *followerGroup) recordDelay(view mulberryspool.TablesView) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delays = append(g.delays, time.Since(g.writtenAt[view.Revision]))
	g.pending.Done()
}

// heartbeats exchanges revisions between an entry and all agents, with a random
// phase.
func (g *followerGroup) heartbeats(ctx context.Context, entry *Follower) {
	time.Sleep(rand.N(benchHeartbeat))
	ticker := time.NewTicker(benchHeartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, agent := range g.followers[benchDomains:] {
			exchange(entry, agent)
			exchange(agent, entry)
		}
	}
}

func exchange(from, to *Follower) {
	if view, ok := from.Current(); ok {
		to.ObservePeerRevision(view.Revision, func(context.Context) (mulberryspool.TablesDocument, error) {
			document, _ := from.Document(0)
			return document, nil
		})
	}
}

// change writes a revision and waits until all followers have it in force.
func (g *followerGroup) change(revision mulberryspool.Revision) {
	g.pending.Add(len(g.followers))
	g.mu.Lock()
	g.writtenAt[revision] = time.Now()
	g.mu.Unlock()
	g.store.write(revision, benchDocument(int(revision)))
	g.pending.Wait()
}

// traffic returns the totals of all followers.
func (g *followerGroup) traffic() (calls, storeBytes, peerBytes float64) {
	for _, follower := range g.followers {
		t := follower.Traffic()
		calls += float64(t.Reads + t.Watches)
		storeBytes += float64(t.StoreBytes)
		peerBytes += float64(t.PeerBytes)
	}
	return calls, storeBytes, peerBytes
}

// BenchmarkFollowers measures the calls and bytes of each process, while idle and
// per change, and the time from the write of a revision until it is in force.
func BenchmarkFollowers(b *testing.B) {
	for _, processes := range []int{3, 30, 100} {
		b.Run(fmt.Sprint(processes), func(b *testing.B) {
			for b.Loop() {
				benchmarkFollowers(b, processes)
			}
		})
	}
}

func benchmarkFollowers(b *testing.B, processes int) {
	ctx, cancel := context.WithCancel(context.Background())
	g := &followerGroup{store: newFakeStore(), writtenAt: make(map[mulberryspool.Revision]time.Time)}
	g.store.delay = benchDelay
	g.pending.Add(processes)
	g.writtenAt[1] = time.Now()
	g.store.write(1, benchDocument(1))
	running := g.start(ctx, processes)
	defer running.Wait()
	defer cancel()
	g.pending.Wait()
	g.delays = nil

	calls, bytes, _ := g.traffic()
	time.Sleep(benchIdle)
	idleCalls, idleBytes, _ := g.traffic()
	perProcess := func(total float64) float64 { return total / float64(processes) }
	b.ReportMetric(perProcess(idleCalls-calls)/benchIdle.Seconds(), "idle-calls/process/s")
	b.ReportMetric(perProcess(idleBytes-bytes)/benchIdle.Seconds(), "idle-bytes/process/s")

	calls, bytes, peerBytes := g.traffic()
	for i := range benchChanges {
		g.change(mulberryspool.Revision(i + 2))
	}
	changeCalls, changeBytes, changePeerBytes := g.traffic()
	b.ReportMetric(perProcess(changeCalls-calls)/benchChanges, "calls/process/change")
	b.ReportMetric(perProcess(changeBytes-bytes)/benchChanges, "api-bytes/process/change")
	b.ReportMetric(perProcess(changePeerBytes-peerBytes)/benchChanges, "peer-bytes/process/change")
	b.ReportMetric(float64(len(benchDocument(1))), "document-bytes")
	slices.Sort(g.delays)
	b.ReportMetric(float64(g.delays[len(g.delays)/2].Milliseconds()), "median-ms")
	b.ReportMetric(float64(g.delays[len(g.delays)-1].Milliseconds()), "max-ms")
}
