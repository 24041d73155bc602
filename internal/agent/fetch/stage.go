package fetch

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/bitset"
	"github.com/mulberryspool/mulberryspool/internal/agent/swarm"
)

var _ mulberryspool.Stager = (*Fetcher)(nil)

// Stage implements mulberryspool.Stager. A later call for another manifest
// ends an earlier one with ErrSuperseded; chunks that both share are kept.
// Earlier manifests that were staged completely are kept until Release.
func (f *Fetcher) Stage(ctx context.Context, manifest mulberryspool.Manifest) error {
	f.prepare()
	if err := check(manifest); err != nil {
		return mulberryspool.AtStep(err, "stage version "+manifest.Version, "")
	}
	t, err := f.begin(manifest)
	if err != nil {
		return mulberryspool.AtStep(err, "stage version "+manifest.Version, "")
	}
	select {
	case <-t.done:
		return mulberryspool.AtStep(t.err, "stage version "+manifest.Version, "")
	case <-f.ended:
		return mulberryspool.AtStep(context.Canceled, "stage version "+manifest.Version, "")
	case <-ctx.Done():
		f.abandon(t)
		return mulberryspool.AtStep(ctx.Err(), "stage version "+manifest.Version, "")
	}
}

// Adopt retains a manifest with those chunks that the reader has, such as an
// engine that outlived its agent. It returns the number of chunks held; a
// chunk that can't be read or is not the right one is fetched by Stage.
func (f *Fetcher) Adopt(manifest mulberryspool.Manifest, read func(i int) ([]byte, error)) (int, error) {
	f.prepare()
	if err := check(manifest); err != nil {
		return 0, mulberryspool.AtStep(err, "adopt version "+manifest.Version, "")
	}
	f.staging.Lock()
	defer f.staging.Unlock()
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
			f.Logger.Debug().Err(err).Str("version", manifest.Version).Int("chunk", i).Msg("chunk is not there")
			continue
		}
		held++
	}
	return held, nil
}

// Chunk returns a verified chunk that is here, which must not be changed.
func (f *Fetcher) Chunk(digest mulberryspool.Digest) ([]byte, bool) {
	f.prepare()
	return f.store.Get(digest)
}

// check rejects a manifest that can't be staged.
func check(manifest mulberryspool.Manifest) error {
	if manifest.Digest == "" {
		return errors.New("manifest has no digest")
	}
	var size int64
	for i, c := range manifest.Chunks {
		if c.Size <= 0 || len(c.Digest) != digestLength {
			return errors.Newf("chunk %d of the manifest has size %d and digest %q", i, c.Size, c.Digest)
		}
		size += c.Size
	}
	if size != manifest.Size {
		return errors.Newf("chunks of the manifest have %d bytes, the manifest says %d", size, manifest.Size)
	}
	return nil
}

// begin makes the manifest the one that is transferred. The store keeps the
// old manifest until the new one is retained, so that shared chunks stay.
func (f *Fetcher) begin(manifest mulberryspool.Manifest) (*transfer, error) {
	f.staging.Lock()
	defer f.staging.Unlock()
	t, held, err := f.replace(manifest)
	switch {
	case err != nil:
		f.send(swarm.Stop{})
		return nil, err
	case held == nil:
		return t, nil
	}
	f.send(swarm.Start{Manifest: manifest, Held: held})
	select {
	case f.begun <- struct{}{}:
	default:
	}
	return t, nil
}

// replace returns the transfer of the manifest and, if it is a new one, what
// is held of it.
func (f *Fetcher) replace(manifest mulberryspool.Manifest) (*transfer, bitset.Set, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.transfer != nil && f.transfer.manifest.Digest == manifest.Digest && !f.transfer.ended() {
		return f.transfer, nil, nil
	}
	err := f.store.Retain(manifest)
	if err != nil {
		// Unfinished manifests give way if the new one fits without them.
		f.dropUnfinished(manifest.Digest)
		err = f.store.Retain(manifest)
	}
	f.transfer.end(ErrSuperseded)
	f.dropUnfinished(manifest.Digest)
	if err != nil {
		f.transfer = nil
		return nil, nil, err
	}
	held, _ := f.store.Held(manifest.Digest)
	f.transfer = &transfer{manifest: manifest, done: make(chan struct{})}
	f.transfer.progress.begin(f.Clock.Now())
	return f.transfer, held, nil
}

func (f *Fetcher) dropUnfinished(except mulberryspool.Digest) {
	for _, digest := range f.store.Unfinished() {
		if digest != except {
			f.store.Release(digest)
		}
	}
}

// abandon ends a transfer whose caller has gone; its chunks stay until the
// next Stage or Release.
func (f *Fetcher) abandon(t *transfer) {
	f.staging.Lock()
	defer f.staging.Unlock()
	if f.end(t.manifest.Digest, context.Canceled) {
		f.send(swarm.Stop{})
	}
}

// end ends the running transfer if it is that of the manifest.
func (f *Fetcher) end(digest mulberryspool.Digest, err error) bool {
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

// end is called with the fetcher's mutex held. It does nothing for a transfer
// that has ended.
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

// Release implements mulberryspool.Stager. It ends a transfer of the manifest.
func (f *Fetcher) Release(digest mulberryspool.Digest) {
	f.prepare()
	f.staging.Lock()
	defer f.staging.Unlock()
	if f.stops(digest) {
		f.send(swarm.Stop{})
	}
	f.store.Release(digest)
}

// stops ends the transfer of the manifest, complete or not.
func (f *Fetcher) stops(digest mulberryspool.Digest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.transfer == nil || f.transfer.manifest.Digest != digest {
		return false
	}
	f.transfer.end(context.Canceled)
	f.transfer = nil
	return true
}

// Have implements mulberryspool.Stager. An agent that does not want the
// manifest answers with an empty set, one that has no chunk yet with zeros.
func (f *Fetcher) Have(params mulberryspool.ChunksHaveParams) mulberryspool.ChunksHaveResult {
	f.prepare()
	held, ok := f.store.Held(params.Manifest)
	if ok {
		f.offer(swarm.Have{Instance: params.Instance, Manifest: params.Manifest, Held: bitset.Set(params.Have), Announced: held})
	}
	return mulberryspool.ChunksHaveResult{Have: held}
}
