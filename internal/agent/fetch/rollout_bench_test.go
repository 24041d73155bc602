package fetch

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/swarm"
	"github.com/mulberryspool/mulberryspool/internal/peer/chunks"
)

// The links are in proportion to those of the design document. In rolloutTime the
// origin's link carries four copies of the content, each machine's link two in
// each direction, and the link between a pair of regions one in each direction.
const (
	rolloutTime       = 16 * time.Second
	rolloutBytes      = 4 << 20
	rolloutChunkBytes = 32 << 10
	originCopies      = 4
	machineCopies     = 2
	regionPairCopies  = 1
	contentSeed       = 7
	treeChildren      = 2
	treeWorkers       = 4
	sharedPercent     = 90
	killedOneIn       = 10
	originOnlyCopies  = 1
	// memoryLimit keeps the process below 2 GiB.
	memoryLimit = 1500 << 20
)

type (
	// rollout is one run of the benchmark.
	rollout struct {
		agents      int
		content     []byte
		manifest    mulberryspool.Manifest
		fleet       *fleet
		regionLinks regionPairLinks
		startedAt   time.Time
		cpuBefore   time.Duration
	}

	// regionPairLinks holds one rate limit for each direction between two regions.
	regionPairLinks struct {
		mu    sync.Mutex
		links map[[2]string]*countedLink
	}

	countedLink struct {
		chunks.LinkLimiter
		mu    sync.Mutex
		bytes int64
	}
)

// Wait implements chunks.Limiter.
func (l *countedLink) Wait(ctx context.Context, n int) error {
	l.mu.Lock()
	l.bytes += int64(n)
	l.mu.Unlock()
	return l.LinkLimiter.Wait(ctx, n)
}

func (l *regionPairLinks) get(from, to string) *countedLink {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links == nil {
		l.links = make(map[[2]string]*countedLink)
	}
	key := [2]string{from, to}
	if l.links[key] == nil {
		l.links[key] = &countedLink{LinkLimiter: chunks.LinkLimiter{Clock: clockwork.NewRealClock(), BytesPerSecond: linkRate(regionPairCopies)}}
	}
	return l.links[key]
}

// linkRate returns the rate of a link that carries the given number of copies in
// rolloutTime.
func linkRate(copies int64) int64 {
	return int64(float64(copies*rolloutBytes) / rolloutTime.Seconds())
}

func newRollout(b *testing.B, agents, bytes int, change func(*swarm.Limits)) *rollout {
	r := &rollout{agents: agents, content: newContent(contentSeed, bytes), fleet: newFleet(b)}
	r.manifest = manifestOf("v1", "v1", r.content, rolloutChunkBytes)
	r.fleet.origin.set("v1", r.content)
	r.fleet.origin.link.BytesPerSecond = linkRate(originCopies)
	r.fleet.configure = func(f *Fetcher) {
		clock := clockwork.NewRealClock()
		f.Uplink = &chunks.LinkLimiter{Clock: clock, BytesPerSecond: linkRate(machineCopies)}
		f.Downlink = &chunks.LinkLimiter{Clock: clock, BytesPerSecond: linkRate(machineCopies)}
		f.RegionLink = func(from string) chunks.Limiter { return r.regionLinks.get(from, f.Identity.Region) }
		f.Limits.OriginBytesPerSecond = linkRate(originCopies)
		if change != nil {
			change(&f.Limits)
		}
	}
	r.fleet.start(agents)
	runtime.GC()
	r.cpuBefore = cpuTime(b)
	r.startedAt = time.Now()
	return r
}

// report computes the metrics. The bound is the time that one machine's link needs
// to receive a copy; docs/measurements-rollout.md derives it.
func (r *rollout) report(b *testing.B, newBytes int64) {
	elapsed := time.Since(r.startedAt)
	cpu := cpuTime(b) - r.cpuBefore
	bound := float64(newBytes) / float64(linkRate(machineCopies))
	size := float64(len(r.content))
	b.ReportMetric(elapsed.Seconds()/bound, "x-bound")
	b.ReportMetric(float64(r.fleet.origin.bytes.Load())/size, "origin-copies")
	into := make(map[string]int64)
	for key, link := range r.regionLinks.links {
		into[key[1]] += link.bytes
	}
	var most int64
	for _, bytes := range into {
		most = max(most, bytes)
	}
	b.ReportMetric(float64(most)/size, "cross-region-copies")
	var messages, bytes int64
	for _, a := range r.fleet.agents {
		traffic := a.Endpoint.Traffic()
		messages += traffic.MessagesOut
		bytes += traffic.BytesIn + traffic.BytesOut
	}
	perAgent := float64(r.agents) * elapsed.Seconds()
	b.ReportMetric(float64(messages)/perAgent, "control-msgs/s")
	b.ReportMetric(float64(bytes)/perAgent, "control-B/s")
	b.ReportMetric(100*cpu.Seconds()/perAgent, "cpu-%")
	b.ReportMetric(float64(r.heapWithoutChunks())/float64(r.agents), "heap-B")
	b.ReportMetric(0, "ns/op")
}

// heapWithoutChunks returns the live heap without the staged chunks and the
// content.
func (r *rollout) heapWithoutChunks() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	heap := int64(stats.HeapAlloc) - int64(len(r.content))
	for _, a := range r.fleet.agents {
		heap -= a.store.Bytes()
	}
	return heap
}

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRollout measures the time until all agents hold a version, relative to
// the bound computed from the links. The slow cases use smaller content, so that
// the whole run takes less than two minutes.
func BenchmarkRollout(b *testing.B) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(memoryLimit))
	for _, agents := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) { benchSwarm(b, agents, rolloutBytes, nil) })
	}
	b.Run("killed/agents=128", func(b *testing.B) { benchKilled(b, 128) })
	b.Run("shared/agents=128", func(b *testing.B) { benchShared(b, 128) })
	// In both cases only one region reads from the origin. In exchange, chunks pass
	// along the chain of regions; in plain, the other regions fetch them directly
	// from that region.
	b.Run("exchange/agents=32", func(b *testing.B) {
		benchSwarm(b, 32, rolloutBytes/2, func(l *swarm.Limits) { l.OriginRegions, l.OriginBias = []string{"east"}, 1 })
	})
	b.Run("plain/agents=32", func(b *testing.B) {
		benchSwarm(b, 32, rolloutBytes/2, func(l *swarm.Limits) {
			l.OriginRegions, l.OriginBias, l.DirectRegions = []string{"east"}, 1, true
		})
	})
	for _, agents := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("origin-only/agents=%d", agents), func(b *testing.B) { benchOriginOnly(b, agents) })
	}
	for _, agents := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("tree/agents=%d", agents), func(b *testing.B) { benchTree(b, agents) })
	}
}

func benchSwarm(b *testing.B, agents, bytes int, change func(*swarm.Limits)) {
	for range b.N {
		r := newRollout(b, agents, bytes, change)
		r.fleet.stage(context.Background(), r.fleet.agents, r.manifest)
		r.report(b, r.manifest.Size)
		r.fleet.stop()
	}
}

// benchKilled kills one in ten agents after half of the bound.
func benchKilled(b *testing.B, agents int) {
	for range b.N {
		r := newRollout(b, agents, rolloutBytes, nil)
		killer := time.AfterFunc(rolloutTime/machineCopies/2, func() {
			for i := range agents / killedOneIn {
				r.fleet.agents[i*killedOneIn].kill()
			}
		})
		r.fleet.stage(context.Background(), r.fleet.agents, r.manifest)
		killer.Stop()
		r.report(b, r.manifest.Size)
		r.fleet.stop()
	}
}

// benchShared rolls out a version of which all agents already hold nine tenths.
func benchShared(b *testing.B, agents int) {
	for range b.N {
		r := newRollout(b, agents, rolloutBytes, nil)
		newBytes := r.preload(b)
		r.startedAt, r.cpuBefore = time.Now(), cpuTime(b)
		r.fleet.stage(context.Background(), r.fleet.agents, r.manifest)
		r.report(b, newBytes)
		r.fleet.stop()
	}
}

// preload stages another version on all agents and returns the number of bytes
// that the measured version does not share with it.
func (r *rollout) preload(b *testing.B) int64 {
	previous := append([]byte(nil), r.content...)
	var newBytes int64
	for i, c := range r.manifest.Chunks {
		if i%(100/(100-sharedPercent)) == 0 {
			previous[i*rolloutChunkBytes] ^= 0xff
			newBytes += c.Size
		}
	}
	manifest := manifestOf("v0", "v0", previous, rolloutChunkBytes)
	for _, a := range r.fleet.agents {
		if err := a.store.Retain(manifest); err != nil {
			b.Fatal(err)
		}
		for i, c := range manifest.Chunks {
			data := append([]byte(nil), previous[i*rolloutChunkBytes:i*rolloutChunkBytes+int(c.Size)]...)
			if err := a.store.Put(c.Digest, data); err != nil {
				b.Fatal(err)
			}
		}
	}
	return newBytes
}

// benchOriginOnly lets every agent read all chunks from the origin. The content is
// smaller, so that a run takes the same time for any number of agents; the ratio
// to the bound does not depend on the size.
func benchOriginOnly(b *testing.B, agents int) {
	for range b.N {
		r := newRollout(b, agents, max(rolloutChunkBytes, originOnlyCopies*rolloutBytes/agents), nil)
		r.fetchAll(b, func(a *testAgent, _ int, c mulberryspool.Chunk, offset int64) error {
			return a.fetchWithRetry(swarm.Fetch{Source: swarm.Source{Kind: swarm.FromOrigin}, Path: r.manifest.OriginPath, Chunk: c, Offset: offset})
		})
		r.report(b, r.manifest.Size)
		r.fleet.stop()
	}
}

// benchTree arranges the agents of each region in a tree whose root reads from the
// origin, so that no chunk crosses between regions.
func benchTree(b *testing.B, agents int) {
	for range b.N {
		r := newRollout(b, agents, rolloutBytes/2, nil)
		regions := len(r.fleet.regions)
		r.fetchAll(b, func(a *testAgent, index int, c mulberryspool.Chunk, offset int64) error {
			fetch := swarm.Fetch{Source: swarm.Source{Kind: swarm.FromOrigin}, Path: r.manifest.OriginPath, Chunk: c, Offset: offset}
			if indexInRegion := index / regions; indexInRegion > 0 {
				parent := r.fleet.agents[(indexInRegion-1)/treeChildren*regions+index%regions]
				fetch.Source = swarm.Source{Kind: swarm.FromPeer, Instance: parent.Identity.Instance}
			}
			return a.fetchWithRetry(fetch)
		})
		r.report(b, r.manifest.Size)
		r.fleet.stop()
	}
}

// fetchAll fetches all chunks in order on all agents.
func (r *rollout) fetchAll(b *testing.B, fetch func(a *testAgent, index int, c mulberryspool.Chunk, offset int64) error) {
	var group errgroup.Group
	for index, a := range r.fleet.agents {
		if err := a.store.Retain(r.manifest); err != nil {
			b.Fatal(err)
		}
		group.Go(func() error {
			var chunkGroup errgroup.Group
			chunkGroup.SetLimit(treeWorkers)
			for i, c := range r.manifest.Chunks {
				chunkGroup.Go(func() error { return fetch(a, index, c, int64(i*rolloutChunkBytes)) })
			}
			return chunkGroup.Wait()
		})
	}
	if err := group.Wait(); err != nil {
		b.Fatal(err)
	}
}

// fetchWithRetry repeats one fetch until the source holds the chunk.
func (a *testAgent) fetchWithRetry(fetch swarm.Fetch) error {
	for {
		data, err := a.read(a.ctx, fetch)
		if errors.Is(err, chunks.ErrNotHeld) || errors.Is(err, chunks.ErrBusy) {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		if err != nil {
			return err
		}
		return a.store.Put(fetch.Chunk.Digest, data)
	}
}
