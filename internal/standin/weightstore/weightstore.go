// Package weightstore stands in for the platform's weight store, which holds
// chunks of weights by digest and limits the rate.
//
//	GET /chunks/{digest} --> an embedded stand-in for the origin, one path per digest
//	PUT /chunks/{digest} --> rate-limited reader --> check the digest --> memory
//
// The HTTP interface is described in docs/protocols.md.
package weightstore

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"sync"

	"github.com/gorilla/mux"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/content"
	"github.com/mulberryspool/mulberryspool/internal/standin/fault"
	"github.com/mulberryspool/mulberryspool/internal/standin/origin"
	"github.com/mulberryspool/mulberryspool/internal/standin/ratelimit"
	"github.com/mulberryspool/mulberryspool/internal/standin/serve"
)

// Operations that fault rules can name.
const (
	OperationRead  = origin.OperationRead
	OperationWrite = "write"
)

const (
	// DefaultMaxBytes bounds the total size of the chunks written with PUT.
	DefaultMaxBytes = 512 << 20
	// MaxChunkBytes bounds the size of one chunk written with PUT.
	MaxChunkBytes = 64 << 20
)

type (
	// Server is the stand-in for the weight store. Its exported fields must be
	// set before the first call.
	Server struct {
		Clock mulberryspool.Clock
		// BytesPerSecond is shared by all readers and writers; 0 is unlimited.
		BytesPerSecond int64
		// MaxBytes defaults to DefaultMaxBytes.
		MaxBytes int64

		once sync.Once
		// chunks holds the content of all chunks and serves the reads.
		chunks origin.Server
		mu     sync.Mutex
		// storedSizes holds the sizes of the chunks written with PUT, by digest;
		// storedBytes is their sum.
		storedSizes map[string]int64
		storedBytes int64
		writes      origin.Count
	}

	// Counts are the reads by digest and in total, and the writes in total.
	Counts struct {
		Chunks map[mulberryspool.Digest]origin.Count `json:"chunks"`
		Reads  origin.Count                          `json:"reads"`
		Writes origin.Count                          `json:"writes"`
	}

	// rateLimitedReader reads at the rate that the limiter allows.
	rateLimitedReader struct {
		io.Reader
		request *http.Request
		limiter *ratelimit.Limiter
	}
)

// Handler returns the HTTP interface, with the admin interface below /admin/.
func (s *Server) Handler() http.Handler {
	s.init()
	chunkHandler := s.chunks.Handler()
	router := mux.NewRouter().SkipClean(true)
	router.HandleFunc("/chunks/{digest}", func(w http.ResponseWriter, r *http.Request) {
		r = r.Clone(r.Context())
		r.URL.Path, r.URL.RawPath = origin.PathPrefix+mux.Vars(r)["digest"], ""
		chunkHandler.ServeHTTP(w, r)
	}).Methods(http.MethodGet, http.MethodHead)
	router.HandleFunc("/chunks/{digest}", s.Faults().Wrap(OperationWrite, s.write)).Methods(http.MethodPut)
	router.HandleFunc("/admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, s.Counts())
	}).Methods(http.MethodGet)
	router.PathPrefix("/admin/").Handler(chunkHandler)
	return router
}

// Faults returns the fault injector of reads and writes.
func (s *Server) Faults() *fault.Injector {
	return &s.chunks.Faults
}

// SetRate changes the rate in bytes per second; 0 is unlimited.
func (s *Server) SetRate(bytesPerSecond int64) {
	s.init()
	s.chunks.SetRate(bytesPerSecond)
}

// Put stores content under a digest, which it does not verify. The content
// doesn't count towards MaxBytes.
func (s *Server) Put(digest mulberryspool.Digest, c content.Content) {
	s.init()
	s.chunks.Put(string(digest), c, []mulberryspool.Chunk{{Digest: digest, Size: c.Size()}})
}

// Counts returns the counts since the start.
func (s *Server) Counts() Counts {
	s.init()
	reads := s.chunks.Counts()
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{Chunks: reads.Chunks, Reads: reads.Total, Writes: s.writes}
}

func (s *Server) init() {
	s.once.Do(func() {
		if s.MaxBytes <= 0 {
			s.MaxBytes = DefaultMaxBytes
		}
		s.chunks.Clock, s.chunks.BytesPerSecond = s.Clock, s.BytesPerSecond
		s.chunks.Faults.Operations = map[string][]fault.Kind{OperationWrite: nil}
		s.storedSizes = make(map[string]int64)
	})
}

func (s *Server) write(w http.ResponseWriter, r *http.Request, _ fault.Effect) {
	digest := mux.Vars(r)["digest"]
	data, err := io.ReadAll(io.LimitReader(&rateLimitedReader{Reader: r.Body, request: r, limiter: s.chunks.Limiter()}, MaxChunkBytes+1))
	if err != nil {
		serve.WriteError(w, http.StatusBadRequest, "invalidBody", "the chunk was not received completely")
		return
	}
	if len(data) > MaxChunkBytes {
		serve.WriteError(w, http.StatusRequestEntityTooLarge, "tooLarge", "the chunk is too large")
		return
	}
	if sum := sha256.Sum256(data); hex.EncodeToString(sum[:]) != digest {
		serve.WriteError(w, http.StatusUnprocessableEntity, "wrongDigest", "the chunk has another digest")
		return
	}
	if !s.reserve(digest, int64(len(data))) {
		serve.WriteError(w, http.StatusInsufficientStorage, "full", "the store is full")
		return
	}
	s.Put(mulberryspool.Digest(digest), bytes.NewReader(data))
	w.WriteHeader(http.StatusNoContent)
}

// reserve counts a write and the space that a new chunk takes. It returns false
// if the chunk doesn't fit into MaxBytes.
func (s *Server) reserve(digest string, size int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.storedSizes[digest]; !found {
		if s.storedBytes+size > s.MaxBytes {
			return false
		}
		s.storedSizes[digest] = size
		s.storedBytes += size
	}
	s.writes = s.writes.Plus(1, size)
	return true
}

// Read implements io.Reader.
func (p *rateLimitedReader) Read(buffer []byte) (int, error) {
	n, err := p.Reader.Read(buffer[:min(len(buffer), ratelimit.MaxBlock)])
	if waitErr := p.limiter.Wait(p.request.Context(), n); waitErr != nil {
		return n, waitErr
	}
	return n, err
}
