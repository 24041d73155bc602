// Package origin stands in for the origin that holds the weights: an HTTP file
// server with range requests, a rate limit and counts of what was read.
//
//	GET with Range --> fault --> rate-limited, counted reader --> content by path
//	test --> /admin/, or the Go methods: contents, rate, counts, faults
//
// The HTTP interface is described in docs/protocols.md.
package origin

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/content"
	"github.com/mulberryspool/mulberryspool/internal/standin/fault"
	"github.com/mulberryspool/mulberryspool/internal/standin/ratelimit"
	"github.com/mulberryspool/mulberryspool/internal/standin/serve"
)

// Operations that fault rules can name.
const (
	OperationRead = "read"
	OperationSize = "size"
)

// PathPrefix precedes the path of a content in the URL.
const PathPrefix = "/content/"

type (
	// Server is the stand-in for the origin. Its exported fields must be set
	// before the first call.
	Server struct {
		Clock mulberryspool.Clock
		// BytesPerSecond is shared by all readers; 0 is unlimited.
		BytesPerSecond int64
		// Faults injects faults into the calls.
		Faults fault.Injector

		once    sync.Once
		limiter *ratelimit.Limiter
		mu      sync.Mutex
		files   map[string]file
		counts  Counts
	}

	// Counts are the requests and bytes by path and by chunk, and in total.
	Counts struct {
		Paths  map[string]Count               `json:"paths"`
		Chunks map[mulberryspool.Digest]Count `json:"chunks"`
		Total  Count                          `json:"total"`
	}

	// Count is the count of one path or chunk, or the total.
	Count struct {
		// Requests is the number of requests that read any of the bytes.
		Requests int `json:"requests"`
		// Bytes is the number of bytes that were read to be sent.
		Bytes int64 `json:"bytes"`
	}

	// Generated describes content that is generated from a seed, see
	// content.Generate.
	Generated struct {
		Seed uint64 `json:"seed"`
		// Size is in bytes.
		Size int64 `json:"size"`
	}

	// Upload is the body of PUT /admin/content/{path}. The content is either
	// the concatenation of generated parts, or literal bytes.
	Upload struct {
		Parts []Generated `json:"parts,omitempty"`
		Bytes []byte      `json:"bytes,omitempty"`
		// Chunks lists the chunks of the content, for Counts.Chunks only.
		Chunks []mulberryspool.Chunk `json:"chunks,omitempty"`
	}

	// Rate is the body of PUT /admin/rate.
	Rate struct {
		BytesPerSecond int64 `json:"bytesPerSecond"`
	}

	file struct {
		content content.Content
		chunks  []mulberryspool.Chunk
		// chunkOffsets holds the offset of each chunk in the content.
		chunkOffsets []int64
		// generation is incremented when the content is replaced. It is the ETag.
		generation int
	}
)

// Handler returns the HTTP interface, with the admin interface below /admin/.
func (s *Server) Handler() http.Handler {
	s.init()
	router := mux.NewRouter().SkipClean(true)
	s.Faults.Register(router)
	router.HandleFunc("/admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, s.Counts())
	}).Methods(http.MethodGet)
	router.HandleFunc("/admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		s.ResetCounts()
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodDelete)
	router.HandleFunc("/admin/rate", s.setRate).Methods(http.MethodPut)
	router.HandleFunc("/admin/content/{path:.+}", s.upload).Methods(http.MethodPut)
	router.PathPrefix(PathPrefix).Handler(s.Faults.Wrap(OperationRead, s.read)).Methods(http.MethodGet)
	router.PathPrefix(PathPrefix).Handler(s.Faults.Wrap(OperationSize, s.read)).Methods(http.MethodHead)
	return router
}

// Put stores or replaces the content of a path. The chunks are used for
// Counts.Chunks only.
func (s *Server) Put(path string, c content.Content, chunks []mulberryspool.Chunk) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	f := file{content: c, chunks: chunks, generation: s.files[path].generation + 1}
	var offset int64
	for _, chunk := range chunks {
		f.chunkOffsets = append(f.chunkOffsets, offset)
		offset += chunk.Size
	}
	s.files[path] = f
}

// SetRate changes the rate in bytes per second; 0 is unlimited.
func (s *Server) SetRate(bytesPerSecond int64) {
	s.init()
	s.limiter.SetRate(bytesPerSecond)
}

// Limiter returns the rate limiter, for others that share the rate of the readers.
func (s *Server) Limiter() *ratelimit.Limiter {
	s.init()
	return s.limiter
}

// Counts returns the counts since the start or the last reset.
func (s *Server) Counts() Counts {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{
		Paths:  maps.Clone(s.counts.Paths),
		Chunks: maps.Clone(s.counts.Chunks),
		Total:  s.counts.Total,
	}
}

// ResetCounts sets all counts to 0.
func (s *Server) ResetCounts() {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts = newCounts()
}

func (s *Server) init() {
	s.once.Do(func() {
		s.Faults.Clock = s.Clock
		if s.Faults.Operations == nil {
			s.Faults.Operations = make(map[string][]fault.Kind)
		}
		s.Faults.Operations[OperationRead] = []fault.Kind{fault.Stall, fault.Truncate, fault.Corrupt}
		s.Faults.Operations[OperationSize] = nil
		s.limiter = ratelimit.NewLimiter(s.Clock, s.BytesPerSecond)
		s.files = make(map[string]file)
		s.counts = newCounts()
	})
}

func newCounts() Counts {
	return Counts{Paths: make(map[string]Count), Chunks: make(map[mulberryspool.Digest]Count)}
}

func (s *Server) setRate(w http.ResponseWriter, r *http.Request) {
	var body Rate
	if !serve.ReadJSON(w, r, &body) {
		return
	}
	s.SetRate(body.BytesPerSecond)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) upload(w http.ResponseWriter, r *http.Request) {
	var body Upload
	if !serve.ReadJSON(w, r, &body) {
		return
	}
	if (len(body.Parts) == 0) == (len(body.Bytes) == 0) {
		serve.WriteError(w, http.StatusBadRequest, "invalidContent", "content needs either parts or bytes")
		return
	}
	var c content.Content = bytes.NewReader(body.Bytes)
	if len(body.Parts) > 0 {
		parts := make([]content.Content, 0, len(body.Parts))
		for _, p := range body.Parts {
			if p.Size <= 0 {
				serve.WriteError(w, http.StatusBadRequest, "invalidContent", "the size of a part must be positive")
				return
			}
			parts = append(parts, content.Generate(p.Seed, p.Size))
		}
		c = content.Join(parts...)
	}
	s.Put(mux.Vars(r)["path"], c, body.Chunks)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) read(w http.ResponseWriter, r *http.Request, effect fault.Effect) {
	path := strings.TrimPrefix(r.URL.Path, PathPrefix)
	s.mu.Lock()
	f, found := s.files[path]
	s.mu.Unlock()
	if !found {
		serve.WriteError(w, http.StatusNotFound, "notFound", "there is no content at this path")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("ETag", `"`+strconv.Itoa(f.generation)+`"`)
	http.ServeContent(w, r, "", time.Time{}, &reader{
		ReadSeeker:  io.NewSectionReader(f.content, 0, f.content.Size()),
		server:      s,
		request:     r,
		path:        path,
		file:        f,
		effect:      effect,
		faultOffset: rangeMiddle(r.Header.Get("Range"), f.content.Size()),
	})
}
