// Package modelserver stands in for a model server of the platform: it stages pieces of a
// model's weights, loads them by order, and records whether what it loaded was whole.
//
//	agent --> held while paused or delayed --> PUT piece, GET piece, POST order, GET report
//	test ---> Crash, LosePower, Pause, Resume, SetDelay, Spoil, Loads
package modelserver

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/standin/serve"
)

const (
	// spoilGrace is how long a piece may have been spoilt without counting.
	spoilGrace = 3 * time.Second
	// maxBodyBytes limits the body of a call.
	maxBodyBytes = 8 << 20
	// layerCount is the number of layers of the model.
	layerCount = 16
)

type (
	// Server is the stand-in. Set the exported fields before the first call.
	Server struct {
		// Model is the name of the only model.
		Model string
		// Pieces is the number of pieces of a version, and Piece returns one.
		Pieces int
		Piece  func(version int64, index int) []byte
		// WarmTime is how long a load takes.
		WarmTime time.Duration

		mu sync.Mutex
		// delay returns how long a call is held after it was read; nil for not at all.
		delay func(method, path string) time.Duration
		// resumed is closed when the server resumes; nil while it runs.
		resumed chan struct{}
		// born is the start of this incarnation in Unix milliseconds.
		born     int64
		staged   map[int][]byte
		spoiltAt map[int]time.Time
		// version is the loaded version; 0 for none.
		version int64
		loading bool
		orders  int64
		loads   []Load
	}

	// Load is an order that was accepted.
	Load struct {
		Version int64
		At      time.Time
		// Wrong holds the pieces that were missing, spoilt or of another version.
		Wrong []int
	}

	order struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Version   int64  `json:"version"`
		Expect    *int64 `json:"expect"`
	}
)

// Start begins an incarnation that holds a version, or nothing if it is 0.
func (s *Server) Start(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staged, s.spoiltAt = make(map[int][]byte), make(map[int]time.Time)
	for i := range s.Pieces {
		if version > 0 {
			s.staged[i] = s.Piece(version, i)
		}
	}
	s.restart(version)
}

// Crash begins another incarnation, which has loaded nothing. Staged pieces stay.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restart(0)
}

// LosePower begins another incarnation, which holds nothing.
func (s *Server) LosePower() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.staged)
	clear(s.spoiltAt)
	s.restart(0)
}

func (s *Server) restart(version int64) {
	s.born = max(time.Now().UnixMilli(), s.born+1)
	s.version, s.loading, s.orders = version, false, 0
}

// Pause holds all calls, after they were read, until Resume.
func (s *Server) Pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed == nil {
		s.resumed = make(chan struct{})
	}
}

// Resume runs the calls that are held, also those whose callers have left.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed != nil {
		close(s.resumed)
		s.resumed = nil
	}
}

// SetDelay sets how long each call is held after it was read, even if its caller leaves
// meanwhile; nil for not at all.
func (s *Server) SetDelay(delay func(method, path string) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// Spoil changes a byte of a staged piece.
func (s *Server) Spoil(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if data := bytes.Clone(s.staged[index]); len(data) > 0 {
		data[0]++
		s.staged[index] = data
		if s.spoiltAt[index].IsZero() {
			s.spoiltAt[index] = time.Now()
		}
	}
}

// Loads returns the orders that were accepted.
func (s *Server) Loads() []Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Load(nil), s.loads...)
}

// Holds reports whether the staged pieces are those of a version.
func (s *Server) Holds(version int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.Pieces {
		if !bytes.Equal(s.staged[i], s.Piece(version, i)) {
			return false
		}
	}
	return true
}

// Report returns what the server says of itself.
func (s *Server) Report() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	to := 0
	if s.version > 0 {
		to = layerCount
	}
	return map[string]any{
		"models": []any{map[string]any{"name": s.Model, "version": s.version}}, "layers": map[string]any{"from": 0, "to": to, "version": s.version},
		"busy": s.loading, "sequence": s.orders, "queued": 0, "running": 0, "born": s.born,
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.hold(r) {
		panic(http.ErrAbortHandler)
	}
	index, _ := strconv.Atoi(r.URL.Query().Get("sample-count"))
	switch r.Method + " " + r.URL.Path {
	case "GET /v1/report":
		serve.WriteJSON(w, http.StatusOK, s.Report())
	case "PUT /v1/stage-put/" + s.Model:
		s.stage(index, body)
	case "GET /v1/stage-get/" + s.Model:
		data, ok := s.stagedPiece(index)
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(data)
	case "POST /v1/order":
		w.WriteHeader(s.accept(body))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// hold returns when the call may run, and false if the server has crashed meanwhile.
func (s *Server) hold(r *http.Request) bool {
	s.mu.Lock()
	resumed, born, delay := s.resumed, s.born, s.delay
	s.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
	if delay != nil {
		time.Sleep(delay(r.Method, r.URL.Path))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.born == born
}

func (s *Server) stage(index int, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staged[index] = data
	delete(s.spoiltAt, index)
}

func (s *Server) stagedPiece(index int) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.staged[index]
	return data, ok
}

// accept begins a load and returns the status of the answer.
func (s *Server) accept(body []byte) int {
	var o order
	if err := json.Unmarshal(body, &o); err != nil || o.Operation != "start" || o.Model != s.Model {
		return http.StatusBadRequest
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Expect != nil && *o.Expect != s.orders || s.loading {
		return http.StatusConflict
	}
	if s.version == o.Version {
		return http.StatusOK
	}
	now := time.Now()
	load := Load{Version: o.Version, At: now}
	for i := range s.Pieces {
		spoilt, at := s.spoiltAt[i]
		if !bytes.Equal(s.staged[i], s.Piece(o.Version, i)) && (!at || now.Sub(spoilt) > spoilGrace) {
			load.Wrong = append(load.Wrong, i)
		}
	}
	s.loads = append(s.loads, load)
	s.orders++
	s.loading, s.version = true, 0
	born := s.born
	time.AfterFunc(s.WarmTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.born == born {
			s.loading, s.version = false, o.Version
		}
	})
	return http.StatusAccepted
}
