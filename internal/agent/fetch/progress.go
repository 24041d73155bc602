package fetch

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/swarm"
)

const (
	// digestHexLength is the length of a SHA-256 digest in hexadecimal.
	digestHexLength = 64
	// reportsPerTimeout is the number of progress reports within one progress
	// timeout.
	reportsPerTimeout = 4
	// rateWindow is the period over which the recent rate is measured.
	rateWindow = 5 * time.Second
	// stalledAfter is the time without a complete chunk after which a transfer is
	// reported as stalled.
	stalledAfter = 5 * time.Second
)

// progress counts the bytes of a transfer by source.
type progress struct {
	bytes [4]int64
	// windowStart and windowBytes measure the recent rate. lastRate is the rate of
	// the previous window.
	windowStart  time.Time
	windowBytes  int64
	lastRate     int64
	lastReceived time.Time
	// lastError is the error of the last failed fetch, empty once a chunk was stored
	// after it.
	lastError string
}

func (p *progress) start(now time.Time) {
	p.windowStart, p.lastReceived = now, now
}

func (p *progress) add(now time.Time, kind swarm.SourceKind, n int64) {
	p.bytes[kind] += n
	p.rotateWindow(now)
	p.windowBytes += n
	p.lastReceived, p.lastError = now, ""
}

func (p *progress) rotateWindow(now time.Time) {
	if elapsed := now.Sub(p.windowStart); elapsed >= rateWindow {
		p.lastRate = int64(float64(p.windowBytes) / elapsed.Seconds())
		p.windowStart, p.windowBytes = now, 0
	}
}

func (p *progress) rate(now time.Time) int64 {
	p.rotateWindow(now)
	if p.lastRate > 0 || now.Equal(p.windowStart) {
		return p.lastRate
	}
	return int64(float64(p.windowBytes) / now.Sub(p.windowStart).Seconds())
}

// Progress implements mulberryspool.Stager.
func (f *Fetcher) Progress() mulberryspool.StageProgress {
	f.prepare()
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.transfer
	if t == nil {
		return mulberryspool.StageProgress{}
	}
	now := f.Clock.Now()
	held, _ := f.store.HeldChunks(t.manifest.Digest)
	p := &t.progress
	state := mulberryspool.StageProgress{
		Manifest:         t.manifest.Digest,
		Version:          t.manifest.Version,
		Chunks:           held.Count(),
		Total:            len(t.manifest.Chunks),
		OriginBytes:      p.bytes[swarm.FromOrigin],
		WeightStoreBytes: p.bytes[swarm.FromWeightStore],
		RegionBytes:      p.bytes[swarm.FromRegion],
		PeerBytes:        p.bytes[swarm.FromPeer],
	}
	if t.ended() {
		return state
	}
	state.BytesPerSecond = p.rate(now)
	if state.Chunks < state.Total && now.Sub(p.lastReceived) >= stalledAfter {
		state.Stalled = "no source is known for the missing chunks"
		if p.lastError != "" {
			state.Stalled = p.lastError
		}
	}
	return state
}
