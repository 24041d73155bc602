package staging

import (
	"io"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

// reader streams the chunks of one manifest in the order of the content.
type reader struct {
	store    *Store
	retained *retained
	next     int
	rest     []byte
	closed   bool
}

// Open returns a reader of a fully staged manifest. Its chunks are kept until
// the reader is closed. The reader is used by one goroutine.
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
	for len(r.rest) == 0 {
		if r.next == len(r.retained.manifest.Chunks) {
			return 0, io.EOF
		}
		data, ok := r.store.Get(r.retained.manifest.Chunks[r.next].Digest)
		if !ok {
			return 0, ErrReleased
		}
		r.rest = data
		r.next++
	}
	n := copy(buffer, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// Close ends the reader.
func (r *reader) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	r.rest = nil
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	r.retained.readers--
	r.store.drop(r.retained)
	return nil
}
