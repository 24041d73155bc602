package fetch

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool/internal/peer/chunks"
)

// Guards against an agent whose link is full and that doesn't notice, because its fetches from
// other agents are not observed.
func TestFetchesShowThatLinkIsFull(t *testing.T) {
	const chunkBytes = 32 << 10
	f := newFleet(t)
	f.regions = []string{"east"}
	content := newContent(4, 40*chunkBytes)
	manifest := manifestOf("v1", "v1", content, chunkBytes)
	f.origin.set("v1", content)
	f.stage(t.Context(), f.start(3), manifest)
	f.configure = func(x *Fetcher) {
		x.Downlink = &chunks.LinkLimiter{Clock: clockwork.NewRealClock(), BytesPerSecond: 2 * chunkBytes}
	}
	slow := f.start(1)
	staged := f.stageInBackground(slow, manifest)
	var longest time.Duration
	for end := time.Now().Add(10 * time.Second); longest < 500*time.Millisecond && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		longest = max(longest, slow[0].LinkDelay.At(time.Now()))
	}
	if longest < 500*time.Millisecond {
		t.Errorf("the longest delay is %v, want 500ms or more on a link that takes as long for a chunk", longest)
	}
	slow[0].kill()
	<-staged
}
