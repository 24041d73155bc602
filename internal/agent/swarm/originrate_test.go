package swarm

import (
	"testing"
	"time"
)

// Guards against chunks that are read from the origin more slowly, or faster, than its link
// carries them, because the limits were set before its bandwidth was known.
func TestOriginIsReadAtRateOfTransfer(t *testing.T) {
	for _, c := range []struct {
		rate, want int64
	}{{rate: 100, want: 10}, {rate: 0, want: 5}} {
		self := newMember("a", "r1")
		h := &harness{Planner: &Planner{Self: self, Seed: 1, Limits: Limits{OriginBytesPerSecond: 50, OriginPipeline: 3}}, now: time.Unix(1000, 0)}
		h.step(Members{Live: []Member{self}})
		// Chunks of 10 bytes; the first one is due at once.
		h.step(Start{Manifest: testManifest("v", numberedNames("c", 20)...), OriginBytesPerSecond: c.rate})
		begin, read := h.now, int64(0)
		for h.now.Sub(begin) < 975*time.Millisecond {
			for running := h.fetches(FromOrigin); len(running) > 0; {
				read++
				h.step(Fetched{Attempt: running[0].Attempt, Chunk: running[0].Chunk.Digest})
				running = append(running[1:], h.fetches(FromOrigin)...)
			}
			h.advance(50 * time.Millisecond)
		}
		if read < c.want-1 || read > c.want+1 {
			t.Errorf("rate %d of the transfer, 50 of the limits: %d chunks of 10 bytes are read in 1 s, want %d", c.rate, read, c.want)
		}
	}
}
