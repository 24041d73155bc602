package fetch

import (
	"context"
	"io"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/bitset"
	"github.com/mulberryspool/mulberryspool/internal/agent/swarm"
)

var _ mulberryspool.Stager = (*Fetcher)(nil)

// Stage implements mulberryspool.Stager. A later call for another manifest ends an
// earlier one with ErrSuperseded; chunks that both manifests share are kept.
// Manifests that were staged completely are kept until Release.
func (f *Fetcher) Stage(ctx context.Context, manifest mulberryspool.Manifest) error {
	f.prepare()
	if err := validate(manifest); err != nil {
		return mulberryspool.AtStep(err, "stage version "+manifest.Version, "")
	}
	t, err := f.startTransfer(manifest)
	if err != nil {
		return mulberryspool.AtStep(err, "stage version "+manifest.Version, "")
	}
	select {
	case <-t.done:
		return mulberryspool.AtStep(t.err, "stage version "+manifest.Version, "")
	case <-f.stopped:
		return mulberryspool.AtStep(context.Canceled, "stage version "+manifest.Version, "")
	case <-ctx.Done():
		f.stopTransfer(t.manifest.Digest, context.Canceled)
		return mulberryspool.AtStep(ctx.Err(), "stage version "+manifest.Version, "")
	}
}

// Suspend stops starting fetches for a manifest, or starts them again. It has no effect
// unless its transfer is running.
func (f *Fetcher) Suspend(digest mulberryspool.Digest, suspended bool) {
	f.prepare()
	// Adopt holds stageMu while it reads chunks, which may take long.
	if f.transferToSuspend(digest, suspended) == nil {
		return
	}
	f.stageMu.Lock()
	defer f.stageMu.Unlock()
	t := f.transferToSuspend(digest, suspended)
	if t == nil {
		return
	}
	f.mu.Lock()
	t.suspended = suspended
	f.mu.Unlock()
	f.send(swarm.Suspend{Suspended: suspended})
}

// transferToSuspend returns the running transfer of the manifest, or nil if there is none or
// it is in the given state already.
func (f *Fetcher) transferToSuspend(digest mulberryspool.Digest, suspended bool) *transfer {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.transfer
	if t == nil || t.manifest.Digest != digest || t.ended() || t.suspended == suspended {
		return nil
	}
	return t
}

// Adopt retains a manifest and fills it with the chunks that read returns, such as
// those of an engine that kept running while its agent restarted. It returns the
// number of chunks held. Stage later fetches the chunks that could not be read or
// have the wrong digest.
func (f *Fetcher) Adopt(manifest mulberryspool.Manifest, read func(i int) ([]byte, error)) (int, error) {
	f.prepare()
	if err := validate(manifest); err != nil {
		return 0, mulberryspool.AtStep(err, "adopt version "+manifest.Version, "")
	}
	f.stageMu.Lock()
	defer f.stageMu.Unlock()
	if err := f.store.Retain(manifest); err != nil {
		return 0, mulberryspool.AtStep(err, "adopt version "+manifest.Version, "")
	}
	held := 0
	for i, c := range manifest.Chunks {
		data, err := read(i)
		if err == nil {
			err = f.store.Put(c.Digest, data)
		}
		if err != nil {
			f.Logger.Debug().Err(err).Str("version", manifest.Version).Int("chunk", i).Msg("chunk could not be adopted; it will be fetched")
			continue
		}
		held++
	}
	return held, nil
}

// Chunk returns a verified chunk if it is held. The caller must not modify it.
func (f *Fetcher) Chunk(digest mulberryspool.Digest) ([]byte, bool) {
	f.prepare()
	return f.store.Get(digest)
}

// validate rejects a manifest that can't be staged.
func validate(manifest mulberryspool.Manifest) error {
	if manifest.Digest == "" {
		return errors.New("manifest has no digest")
	}
	var size int64
	for i, c := range manifest.Chunks {
		if c.Size <= 0 || len(c.Digest) != digestHexLength {
			return errors.Newf("chunk %d of the manifest has size %d and digest %q", i, c.Size, c.Digest)
		}
		size += c.Size
	}
	if size != manifest.Size {
		return errors.Newf("chunks of the manifest have %d bytes, the manifest says %d", size, manifest.Size)
	}
	return nil
}

// startTransfer makes the manifest the current transfer, unless it is already. The
// store keeps the old manifest until the new one is retained, so that shared
// chunks are not dropped.
func (f *Fetcher) startTransfer(manifest mulberryspool.Manifest) (*transfer, error) {
	f.stageMu.Lock()
	defer f.stageMu.Unlock()
	t, held, err := f.replaceTransfer(manifest)
	switch {
	case err != nil:
		f.send(swarm.Stop{})
		return nil, err
	case held == nil:
		return t, nil
	}
	start := swarm.Start{Manifest: manifest, Held: held}
	if f.OriginBytesPerSecond != nil {
		start.OriginBytesPerSecond = f.OriginBytesPerSecond()
	}
	f.send(start)
	select {
	case f.transferStarted <- struct{}{}:
	default:
	}
	return t, nil
}

// replaceTransfer returns the transfer of the manifest and, if it is a new one,
// the set of chunks already held.
func (f *Fetcher) replaceTransfer(manifest mulberryspool.Manifest) (*transfer, bitset.Set, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.transfer != nil && f.transfer.manifest.Digest == manifest.Digest && !f.transfer.ended() {
		return f.transfer, nil, nil
	}
	err := f.store.Retain(manifest)
	if err != nil {
		// Retry without the incomplete manifests, which are dropped in favour of the new
		// one.
		f.dropIncomplete(manifest.Digest)
		err = f.store.Retain(manifest)
	}
	f.transfer.end(ErrSuperseded)
	keep := []mulberryspool.Digest{manifest.Digest}
	if f.KeepSuperseded && f.transfer != nil && !errors.Is(f.transfer.err, ErrDoubted) {
		keep = append(keep, f.transfer.manifest.Digest)
	}
	f.dropIncomplete(keep...)
	if err != nil {
		f.transfer = nil
		return nil, nil, err
	}
	held, _ := f.store.HeldChunks(manifest.Digest)
	f.transfer = &transfer{manifest: manifest, done: make(chan struct{})}
	f.transfer.progress.start(f.Clock.Now())
	return f.transfer, held, nil
}

func (f *Fetcher) dropIncomplete(except ...mulberryspool.Digest) {
	for _, digest := range f.store.Incomplete() {
		if !slices.Contains(except, digest) {
			f.store.Release(digest)
		}
	}
}

// stopTransfer ends the transfer of a manifest before it is complete. Its chunks are
// kept until the next Stage or Release.
func (f *Fetcher) stopTransfer(manifest mulberryspool.Digest, err error) {
	f.stageMu.Lock()
	defer f.stageMu.Unlock()
	if f.endTransfer(manifest, err) {
		f.send(swarm.Stop{})
	}
}

// endTransfer ends the transfer of the manifest if it is the current one and still
// running. It reports whether it ended one.
func (f *Fetcher) endTransfer(digest mulberryspool.Digest, err error) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.transfer == nil || f.transfer.manifest.Digest != digest || f.transfer.ended() {
		return false
	}
	f.transfer.end(err)
	return true
}

func (t *transfer) ended() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// end sets the result of the transfer, unless it has ended already. The fetcher's
// mutex must be held.
func (t *transfer) end(err error) {
	if t != nil && !t.ended() {
		t.err = err
		close(t.done)
	}
}

// Open implements mulberryspool.Stager.
func (f *Fetcher) Open(manifest mulberryspool.Manifest) (io.ReadCloser, error) {
	f.prepare()
	content, err := f.store.Open(manifest.Digest)
	return content, mulberryspool.AtStep(err, "open version "+manifest.Version, "")
}

// Release implements mulberryspool.Stager. It also ends a transfer of the
// manifest.
func (f *Fetcher) Release(digest mulberryspool.Digest) {
	f.prepare()
	f.stageMu.Lock()
	defer f.stageMu.Unlock()
	if f.cancelTransfer(digest) {
		f.send(swarm.Stop{})
	}
	f.store.Release(digest)
}

// cancelTransfer removes the transfer of the manifest, complete or not. It reports
// whether there was one.
func (f *Fetcher) cancelTransfer(digest mulberryspool.Digest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.transfer == nil || f.transfer.manifest.Digest != digest {
		return false
	}
	f.transfer.end(context.Canceled)
	f.transfer = nil
	return true
}

// ExchangeHave implements mulberryspool.Stager. The set in the answer has
// length 0 if the agent does not want the manifest, and only zero bits if it holds
// no chunk of it yet.
func (f *Fetcher) ExchangeHave(params mulberryspool.ChunksHaveParams) mulberryspool.ChunksHaveResult {
	f.prepare()
	held, ok := f.store.HeldChunks(params.Manifest)
	if ok {
		f.trySend(swarm.Have{Instance: params.Instance, Manifest: params.Manifest, Held: bitset.Set(params.Have), Announced: held})
	}
	return mulberryspool.ChunksHaveResult{Have: held}
}
