// Package weightstore stands in for the platform's rate-limited store of chunks.
//
//	GET /chunks/{digest} --> the stand-in of the origin, with one path for each digest
//	PUT /chunks/{digest} --> paced reader --> check the digest --> memory
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
	"github.com/mulberryspool/mulberryspool/internal/standin/pace"
	"github.com/mulberryspool/mulberryspool/internal/standin/serve"
)

// Operations, as used by fault rules.
const (
	OperationRead  = origin.OperationRead
	OperationWrite = "write"
)

const (
	// DefaultMaxBytes bounds the chunks that were written.
	DefaultMaxBytes = 512 << 20
	// MaxChunkBytes bounds one chunk.
	MaxChunkBytes = 64 << 20
)

type (
	// Server is the stand-in. Set the exported fields before the first call.
	Server struct {
		Clock mulberryspool.Clock
		// BytesPerSecond is shared by all readers and writers; 0 is unlimited.
		BytesPerSecond int64
		// MaxBytes is DefaultMaxBytes when it is 0.
		MaxBytes int64

		once   sync.Once
		chunks origin.Server
		mu     sync.Mutex
		stored map[string]int64
		total  int64
		writes origin.Count
	}

	// Counts are the counts of reads, by digest, and of writes.
	Counts struct {
		Chunks map[mulberryspool.Digest]origin.Count `json:"chunks"`
		Reads  origin.Count                          `json:"reads"`
		Writes origin.Count                          `json:"writes"`
	}

	// pacedReader reads no faster than the limit.
	pacedReader struct {
		io.Reader
		request *http.Request
		limit   *pace.Limiter
	}
)

// Handler returns the HTTP interface, with the admin interface below /admin/.
func (s *Server) Handler() http.Handler {
	s.init()
	contents := s.chunks.Handler()
	router := mux.NewRouter().SkipClean(true)
	router.HandleFunc("/chunks/{digest}", func(w http.ResponseWriter, r *http.Request) {
		r = r.Clone(r.Context())
		r.URL.Path, r.URL.RawPath = origin.PathPrefix+mux.Vars(r)["digest"], ""
		contents.ServeHTTP(w, r)
	}).Methods(http.MethodGet, http.MethodHead)
	router.HandleFunc("/chunks/{digest}", s.Faults().Wrap(OperationWrite, s.write)).Methods(http.MethodPut)
	router.HandleFunc("/admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, s.Counts())
	}).Methods(http.MethodGet)
	router.PathPrefix("/admin/").Handler(contents)
	return router
}

// Faults returns the faults that are switched on.
func (s *Server) Faults() *fault.Injector {
	return &s.chunks.Faults
}

// SetRate changes the rate in bytes a second; 0 is unlimited.
func (s *Server) SetRate(bytesPerSecond int64) {
	s.init()
	s.chunks.SetRate(bytesPerSecond)
}

// Put stores content under a digest, which it does not check.
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
		s.stored = make(map[string]int64)
	})
}

func (s *Server) write(w http.ResponseWriter, r *http.Request, _ fault.Effect) {
	digest := mux.Vars(r)["digest"]
	data, err := io.ReadAll(io.LimitReader(&pacedReader{Reader: r.Body, request: r, limit: s.chunks.Limit()}, MaxChunkBytes+1))
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

// reserve returns false if the store is full.
func (s *Server) reserve(digest string, size int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.stored[digest]; !found {
		if s.total+size > s.MaxBytes {
			return false
		}
		s.stored[digest] = size
		s.total += size
	}
	s.writes = s.writes.Plus(1, size)
	return true
}

// Read implements io.Reader.
func (p *pacedReader) Read(buffer []byte) (int, error) {
	n, err := p.Reader.Read(buffer[:min(len(buffer), pace.MaxBlock)])
	if waitErr := p.limit.Wait(p.request.Context(), n); waitErr != nil {
		return n, waitErr
	}
	return n, err
}
