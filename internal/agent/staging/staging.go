// Package staging stores the verified chunks of versions in memory.
//
//	Retain(manifest) --> Put(chunk)... --> Open(manifest) --> Release(digest)
//
// Retain reserves space for all chunks of a manifest, so a transfer that has
// begun can't run out of space.
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

// Errors returned by a Store, possibly wrapped.
var (
	// ErrLimit is returned by Retain if a manifest does not fit within the
	// limit beside the retained manifests.
	ErrLimit = errors.New("staging limit reached")
	// ErrChunkMismatch is returned by Put if the data does not match the chunk's
	// digest or size.
	ErrChunkMismatch = errors.New("chunk has a wrong digest")
	// ErrNotRetained is returned by Put if no retained manifest contains the chunk.
	ErrNotRetained = errors.New("chunk belongs to no retained manifest")
	// ErrIncomplete is returned by Open if chunks of the manifest are missing
	// or the manifest is not retained.
	ErrIncomplete = errors.New("manifest is not fully staged")
	// ErrReleased is returned by reads after the reader was closed or its
	// content was freed.
	ErrReleased = errors.New("staged content was released")
)

type (
	// Store holds chunks in memory. It is safe for concurrent use. The exported
	// fields must be set before the first call.
	Store struct {
		// LimitBytes bounds the total size of the chunks of all retained
		// manifests, whether they have arrived or not. Each distinct chunk
		// counts once. 0 means DefaultLimitBytes.
		LimitBytes int64

		mu            sync.RWMutex
		chunks        map[mulberryspool.Digest]*storedChunk
		manifests     map[mulberryspool.Digest]*retainedManifest
		reservedBytes int64
		stagedBytes   int64
	}

	storedChunk struct {
		size int64
		// data is nil until the verified chunk is put.
		data []byte
		// refs counts the occurrences of the chunk in retained manifests.
		refs int
	}

	retainedManifest struct {
		manifest mulberryspool.Manifest
		readers  int
		// released is set by Release; the chunks are freed when readers is 0.
		released bool
	}
)

// DigestOf returns the SHA-256 digest of data in hexadecimal.
func DigestOf(data []byte) mulberryspool.Digest {
	sum := sha256.Sum256(data)
	return mulberryspool.Digest(hex.EncodeToString(sum[:]))
}

// Retain adds a manifest to the store and reserves space for its chunks. If the
// manifest is already in the store, it only revokes a pending Release.
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
	if s.reservedBytes+needed > limit {
		return errors.Wrapf(ErrLimit, "version %s needs %s more, %s of %s are reserved",
			manifest.Version, humanize.IBytes(uint64(needed)), humanize.IBytes(uint64(s.reservedBytes)), humanize.IBytes(uint64(limit)))
	}
	if s.chunks == nil {
		s.chunks = make(map[mulberryspool.Digest]*storedChunk)
		s.manifests = make(map[mulberryspool.Digest]*retainedManifest)
	}
	s.reservedBytes += needed
	s.manifests[manifest.Digest] = &retainedManifest{manifest: manifest}
	for _, c := range manifest.Chunks {
		e := s.chunks[c.Digest]
		if e == nil {
			e = &storedChunk{size: c.Size}
			s.chunks[c.Digest] = e
		}
		e.refs++
	}
	return nil
}

// Put verifies and stores a chunk. The store takes ownership of data.
func (s *Store) Put(digest mulberryspool.Digest, data []byte) error {
	if DigestOf(data) != digest {
		return errors.Wrapf(ErrChunkMismatch, "chunk %s, %d bytes", digest, len(data))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.chunks[digest]
	if e == nil {
		return errors.Wrapf(ErrNotRetained, "chunk %s", digest)
	}
	if int64(len(data)) != e.size {
		return errors.Wrapf(ErrChunkMismatch, "chunk %s has %d bytes, the manifest says %d", digest, len(data), e.size)
	}
	if e.data == nil {
		e.data = data
		s.stagedBytes += e.size
	}
	return nil
}

// Get returns a verified chunk. The caller must not modify it.
func (s *Store) Get(digest mulberryspool.Digest) ([]byte, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e := s.chunks[digest]
	if e == nil || e.data == nil {
		return nil, false
	}
	return e.data, true
}

// HeldChunks returns the set of indexes of the chunks that are stored for a
// retained manifest, and false if the manifest is not retained.
func (s *Store) HeldChunks(digest mulberryspool.Digest) (bitset.Set, bool) {
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

// Incomplete returns the digests of the manifests in the store that have missing
// chunks, in no particular order.
func (s *Store) Incomplete() []mulberryspool.Digest {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var incomplete []mulberryspool.Digest
	for digest, r := range s.manifests {
		if !s.complete(r.manifest) {
			incomplete = append(incomplete, digest)
		}
	}
	return incomplete
}

// Release ends the retention of a manifest. Chunks that no other manifest
// contains are freed once all readers of the manifest are closed.
func (s *Store) Release(digest mulberryspool.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.manifests[digest]; ok {
		r.released = true
		s.freeIfUnused(r)
	}
}

// Bytes returns the total size of the stored chunks.
func (s *Store) Bytes() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.stagedBytes
}

// complete reports whether all chunks are stored. The caller holds s.mu.
func (s *Store) complete(manifest mulberryspool.Manifest) bool {
	for _, c := range manifest.Chunks {
		if s.chunks[c.Digest].data == nil {
			return false
		}
	}
	return true
}

// freeIfUnused frees the chunks of a released manifest without open readers.
// The caller holds s.mu for writing.
func (s *Store) freeIfUnused(r *retainedManifest) {
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
		s.reservedBytes -= e.size
		if e.data != nil {
			s.stagedBytes -= e.size
		}
	}
}
