// Package staging keeps the verified chunks of versions in memory.
//
//	Retain(manifest) --> Put(chunk)... --> Open(manifest) --> Release(digest)
//
// Retain reserves the bytes of all chunks of a manifest, so a transfer that
// has begun never runs out of space.
package staging

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/dustin/go-humanize"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/bitset"
)

// DefaultLimitBytes bounds the staged bytes when LimitBytes is 0.
const DefaultLimitBytes = 64 << 30

// Errors of a Store. Test for them with errors.Is.
var (
	// ErrLimit says that a manifest does not fit beside the retained ones.
	ErrLimit = errors.New("staging limit reached")
	// ErrDigest says that data does not have the digest of its chunk.
	ErrDigest = errors.New("chunk has a wrong digest")
	// ErrUnwanted says that no retained manifest has the chunk.
	ErrUnwanted = errors.New("chunk belongs to no retained manifest")
	// ErrIncomplete says that chunks of a manifest are missing.
	ErrIncomplete = errors.New("manifest is not fully staged")
	// ErrReleased ends a reader that was closed.
	ErrReleased = errors.New("staged content was released")
)

type (
	// Store keeps chunks in memory. It is safe for concurrent use. Set the
	// exported fields before the first call.
	Store struct {
		// LimitBytes bounds the chunks of all retained manifests, each
		// distinct chunk counted once, fetched or not. 0 means DefaultLimitBytes.
		LimitBytes int64

		mu        sync.RWMutex
		chunks    map[mulberryspool.Digest]*entry
		manifests map[mulberryspool.Digest]*retained
		reserved  int64
		bytes     int64
	}

	entry struct {
		size int64
		// data is nil until the chunk was verified.
		data []byte
		refs int
	}

	retained struct {
		manifest mulberryspool.Manifest
		readers  int
		released bool
	}
)

// DigestOf returns the SHA-256 sum of data.
func DigestOf(data []byte) mulberryspool.Digest {
	sum := sha256.Sum256(data)
	return mulberryspool.Digest(hex.EncodeToString(sum[:]))
}

// Retain registers a manifest and reserves space for its chunks. Retaining it
// again changes nothing.
func (s *Store) Retain(manifest mulberryspool.Manifest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.manifests[manifest.Digest]; ok {
		r.released = false
		return nil
	}
	var needed int64
	seen := make(map[mulberryspool.Digest]struct{}, len(manifest.Chunks))
	for _, c := range manifest.Chunks {
		if _, ok := seen[c.Digest]; !ok && s.chunks[c.Digest] == nil {
			needed += c.Size
		}
		seen[c.Digest] = struct{}{}
	}
	limit := s.LimitBytes
	if limit == 0 {
		limit = DefaultLimitBytes
	}
	if s.reserved+needed > limit {
		return errors.Wrapf(ErrLimit, "version %s needs %s more, %s of %s are reserved",
			manifest.Version, humanize.IBytes(uint64(needed)), humanize.IBytes(uint64(s.reserved)), humanize.IBytes(uint64(limit)))
	}
	if s.chunks == nil {
		s.chunks = make(map[mulberryspool.Digest]*entry)
		s.manifests = make(map[mulberryspool.Digest]*retained)
	}
	s.reserved += needed
	s.manifests[manifest.Digest] = &retained{manifest: manifest}
	for _, c := range manifest.Chunks {
		e := s.chunks[c.Digest]
		if e == nil {
			e = &entry{size: c.Size}
			s.chunks[c.Digest] = e
		}
		e.refs++
	}
	return nil
}

// Put verifies a chunk and keeps it. The store owns data afterwards.
func (s *Store) Put(digest mulberryspool.Digest, data []byte) error {
	if DigestOf(data) != digest {
		return errors.Wrapf(ErrDigest, "chunk %s, %d bytes", digest, len(data))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.chunks[digest]
	if e == nil {
		return errors.Wrapf(ErrUnwanted, "chunk %s", digest)
	}
	if int64(len(data)) != e.size {
		return errors.Wrapf(ErrDigest, "chunk %s has %d bytes, the manifest says %d", digest, len(data), e.size)
	}
	if e.data == nil {
		e.data = data
		s.bytes += e.size
	}
	return nil
}

// Get returns a verified chunk, which must not be changed.
func (s *Store) Get(digest mulberryspool.Digest) ([]byte, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e := s.chunks[digest]
	if e == nil || e.data == nil {
		return nil, false
	}
	return e.data, true
}

// Held returns which chunks of a retained manifest are held, in its order.
func (s *Store) Held(digest mulberryspool.Digest) (bitset.Set, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, ok := s.manifests[digest]
	if !ok || r.released {
		return nil, false
	}
	held := bitset.New(len(r.manifest.Chunks))
	for i, c := range r.manifest.Chunks {
		if s.chunks[c.Digest].data != nil {
			held.Add(i)
		}
	}
	return held, true
}

// Unfinished returns the retained manifests that miss chunks.
func (s *Store) Unfinished() []mulberryspool.Digest {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var unfinished []mulberryspool.Digest
	for digest, r := range s.manifests {
		if !s.complete(r.manifest) {
			unfinished = append(unfinished, digest)
		}
	}
	return unfinished
}

// Release drops the chunks that only this manifest has, once its readers are closed.
func (s *Store) Release(digest mulberryspool.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.manifests[digest]; ok {
		r.released = true
		s.drop(r)
	}
}

// Bytes returns the bytes of the chunks held.
func (s *Store) Bytes() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.bytes
}

func (s *Store) complete(manifest mulberryspool.Manifest) bool {
	for _, c := range manifest.Chunks {
		if s.chunks[c.Digest].data == nil {
			return false
		}
	}
	return true
}

func (s *Store) drop(r *retained) {
	if !r.released || r.readers > 0 {
		return
	}
	delete(s.manifests, r.manifest.Digest)
	for _, c := range r.manifest.Chunks {
		e := s.chunks[c.Digest]
		e.refs--
		if e.refs > 0 {
			continue
		}
		delete(s.chunks, c.Digest)
		s.reserved -= e.size
		if e.data != nil {
			s.bytes -= e.size
		}
	}
}
