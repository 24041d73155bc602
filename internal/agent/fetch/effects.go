package fetch

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/bitset"
	"github.com/mulberryspool/mulberryspool/internal/agent/staging"
	"github.com/mulberryspool/mulberryspool/internal/agent/swarm"
	"github.com/mulberryspool/mulberryspool/internal/peer/chunks"
)

// apply executes an effect of the planner without blocking.
func (f *Fetcher) apply(ctx context.Context, effect swarm.Effect) {
	switch e := effect.(type) {
	case swarm.Fetch:
		ctx, cancel := context.WithCancel(ctx)
		f.cancels[e.Attempt] = cancel
		f.tasks.Go(func() {
			defer cancel()
			f.runAttempt(ctx, e)
		})
	case swarm.Cancel:
		if cancel := f.cancels[e.Attempt]; cancel != nil {
			cancel()
		}
	case swarm.Announce:
		f.tasks.Go(func() { f.announce(ctx, e) })
	case swarm.RecordEvent:
		f.Logger.Warn().Str("step", e.Event.Step).Str("peer", e.Event.Peer).Str("version", e.Event.Version).Msg(e.Event.Detail)
		if f.Recorder != nil {
			f.Recorder.Record(e.Event)
		}
	case swarm.Complete:
		f.endTransfer(e.Manifest, nil)
	}
}

// runAttempt fetches and stages one chunk and reports the result to the planner.
func (f *Fetcher) runAttempt(ctx context.Context, e swarm.Fetch) {
	data, err := f.read(ctx, e)
	if err == nil {
		err = f.store.Put(e.Chunk.Digest, data)
	}
	if err != nil {
		reason := reasonOf(err)
		if ctx.Err() != nil {
			reason = swarm.Abandoned
		}
		if reason == swarm.Unreachable || reason == swarm.WrongDigest || e.Source.Instance == "" {
			f.recordFailure(e, err)
		}
		if reason == swarm.WrongDigest && e.Source.Kind == swarm.FromOrigin && f.recordMismatch(e, staging.DigestOf(data)) {
			f.stopTransfer(e.Manifest, ErrDoubted)
			return
		}
		f.send(swarm.Failed{Attempt: e.Attempt, Reason: reason, Err: err})
		return
	}
	f.recordStored(e)
	f.send(swarm.Fetched{Attempt: e.Attempt, Chunk: e.Chunk.Digest})
}

// read returns the data of a chunk without verifying it.
func (f *Fetcher) read(ctx context.Context, e swarm.Fetch) ([]byte, error) {
	switch e.Source.Kind {
	case swarm.FromOrigin:
		data, err := f.Origin.ReadRange(ctx, e.Path, e.Offset, e.Chunk.Size, f.progressReporter(e.Attempt))
		return f.awaitDownlink(ctx, data, mulberryspool.AtStep(err, "read chunk", "origin"))
	case swarm.FromWeightStore:
		data, err := f.WeightStore.ReadChunk(ctx, e.Chunk.Digest, f.progressReporter(e.Attempt))
		return f.awaitDownlink(ctx, data, mulberryspool.AtStep(err, "read chunk", "weight store"))
	}
	listed, ok := f.instance(e.Source.Instance)
	if !ok {
		return nil, errors.Newf("instance %s is not in the instance list", e.Source.Instance)
	}
	held, _ := f.store.HeldChunks(e.Manifest)
	request := chunks.Request{
		Address:    listed.Chunks,
		Chunk:      e.Chunk,
		Have:       mulberryspool.ChunksHaveParams{Instance: f.Identity.Instance, Manifest: e.Manifest, Have: held},
		Urgent:     e.Source.Kind == swarm.FromRegion || f.Urgent != nil && f.Urgent(),
		OnReceived: f.progressReporter(e.Attempt),
	}
	if e.Source.Kind == swarm.FromRegion && f.RegionLink != nil {
		request.Limiter = f.RegionLink(listed.Region)
	}
	arrived := f.LinkDelay.Begin(f.Clock.Now())
	answer, err := f.client.Fetch(ctx, request)
	arrived(f.Clock.Now(), err == nil)
	if answer.Have != nil {
		f.trySend(swarm.Have{Instance: e.Source.Instance, Manifest: e.Manifest, Held: bitset.Set(answer.Have.Have), Announced: held})
	}
	return answer.Data, err
}

// progressReporter returns a function that reports received bytes to the planner,
// at most a few times within its progress timeout.
func (f *Fetcher) progressReporter(attempt swarm.Attempt) func(int) {
	interval := f.Limits.WithDefaults().ProgressTimeout / reportsPerTimeout
	last := f.Clock.Now()
	return func(int) {
		if now := f.Clock.Now(); now.Sub(last) >= interval {
			last = now
			f.trySend(swarm.Progressed{Attempt: attempt})
		}
	}
}

// awaitDownlink waits until the downlink has capacity for data that has been read.
// The origin and the weight store return a chunk as a whole, so the limit can't be
// applied while it is read.
func (f *Fetcher) awaitDownlink(ctx context.Context, data []byte, err error) ([]byte, error) {
	if err != nil || f.Downlink == nil {
		return data, err
	}
	return data, f.Downlink.Wait(ctx, len(data))
}

func reasonOf(err error) swarm.Reason {
	switch {
	case errors.Is(err, chunks.ErrBusy):
		return swarm.Busy
	case errors.Is(err, chunks.ErrNotHeld), errors.Is(err, mulberryspool.ErrNotFound):
		return swarm.NotHeld
	case errors.Is(err, staging.ErrChunkMismatch):
		return swarm.WrongDigest
	case errors.Is(err, staging.ErrNotRetained):
		return swarm.Abandoned
	}
	return swarm.Unreachable
}

func (f *Fetcher) recordFailure(e swarm.Fetch, err error) {
	f.Metrics.Counter("chunk_fetch_failures").Inc(1)
	f.Logger.Debug().Err(err).Str("step", "fetch chunk").Str("peer", e.Source.String()).Msg("chunk fetch failed")
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.transfer != nil && f.transfer.manifest.Digest == e.Manifest {
		f.transfer.progress.lastError = err.Error()
	}
}

// recordMismatch records what the origin has sent in place of a chunk, and reports whether it
// sent the same before. A chunk that is spoilt on its way differs each time.
func (f *Fetcher) recordMismatch(e swarm.Fetch, sent mulberryspool.Digest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.transfer
	if t == nil || t.manifest.Digest != e.Manifest {
		return false
	}
	if t.mismatches == nil {
		t.mismatches = make(map[mulberryspool.Digest]mulberryspool.Digest)
	}
	repeated := t.mismatches[e.Chunk.Digest] == sent
	t.mismatches[e.Chunk.Digest] = sent
	return repeated
}

func (f *Fetcher) recordStored(e swarm.Fetch) {
	f.Metrics.Tagged(map[string]string{"source": sourceNames[e.Source.Kind]}).Counter("chunk_bytes").Inc(e.Chunk.Size)
	f.Metrics.Gauge("staged_bytes").Update(float64(f.store.Bytes()))
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.transfer != nil && f.transfer.manifest.Digest == e.Manifest {
		f.transfer.progress.add(f.Clock.Now(), e.Source.Kind, e.Chunk.Size)
	}
}

// sourceNames are the values of the metric tag "source".
var sourceNames = map[swarm.SourceKind]string{
	swarm.FromOrigin:      "origin",
	swarm.FromWeightStore: "weightStore",
	swarm.FromRegion:      "region",
	swarm.FromPeer:        "peer",
}
