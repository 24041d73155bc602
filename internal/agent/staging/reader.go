package staging

import (
	"io"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

// reader streams the content of one manifest, chunk by chunk.
type reader struct {
	store    *Store
	retained *retainedManifest
	// nextChunk is the index of the next chunk to read.
	nextChunk int
	unread    []byte
	closed    bool
}

// Open returns a reader of the content of a fully staged manifest. The chunks
// stay in memory until the reader is closed. The reader is not safe for
// concurrent use.
func (s *Store) Open(digest mulberryspool.Digest) (io.ReadCloser, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.manifests[digest]
	if !ok || r.released || !s.complete(r.manifest) {
		return nil, errors.Wrapf(ErrIncomplete, "manifest %s", digest)
	}
	r.readers++
	return &reader{store: s, retained: r}, nil
}

// Read implements io.Reader.
func (r *reader) Read(buffer []byte) (int, error) {
	if r.closed {
		return 0, ErrReleased
	}
	for len(r.unread) == 0 {
		if r.nextChunk == len(r.retained.manifest.Chunks) {
			return 0, io.EOF
		}
		data, ok := r.store.Get(r.retained.manifest.Chunks[r.nextChunk].Digest)
		if !ok {
			return 0, ErrReleased
		}
		r.unread = data
		r.nextChunk++
	}
	n := copy(buffer, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

// Close lets the chunks be freed if the manifest was released. Closing again
// has no effect.
func (r *reader) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	r.unread = nil
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	r.retained.readers--
	r.store.freeIfUnused(r.retained)
	return nil
}
