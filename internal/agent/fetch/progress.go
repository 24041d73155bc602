package fetch

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/swarm"
)

const (
	// digestLength is that of a SHA-256 sum in hexadecimal.
	digestLength = 64
	// progressReports is the number of reports within a progress timeout.
	progressReports = 4
	// rateWindow is the time over which the recent rate is measured.
	rateWindow = 5 * time.Second
	// stalledAfter is the time without bytes after which a transfer counts as stalled.
	stalledAfter = 5 * time.Second
)

// progress counts the bytes of a transfer by source.
type progress struct {
	bytes [4]int64
	// windowStart and windowBytes measure the recent rate; lastRate is that
	// of the window before.
	windowStart time.Time
	windowBytes int64
	lastRate    int64
	lastBytes   time.Time
	// reason is why the last fetch failed.
	reason string
}

func (p *progress) begin(now time.Time) {
	p.windowStart, p.lastBytes = now, now
}

func (p *progress) add(now time.Time, kind swarm.SourceKind, n int64) {
	p.bytes[kind] += n
	p.roll(now)
	p.windowBytes += n
	p.lastBytes, p.reason = now, ""
}

func (p *progress) roll(now time.Time) {
	if elapsed := now.Sub(p.windowStart); elapsed >= rateWindow {
		p.lastRate = int64(float64(p.windowBytes) / elapsed.Seconds())
		p.windowStart, p.windowBytes = now, 0
	}
}

func (p *progress) rate(now time.Time) int64 {
	p.roll(now)
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
	held, _ := f.store.Held(t.manifest.Digest)
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
	if state.Chunks < state.Total && now.Sub(p.lastBytes) >= stalledAfter {
		state.Stalled = "no source is known for the missing chunks"
		if p.reason != "" {
			state.Stalled = p.reason
		}
	}
	return state
}
