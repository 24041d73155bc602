// Package backendserver stands in for the backend servers behind the hosted roles. A
// request says in its query how it is answered, and each run is recorded:
//
//	take    how long the run takes, as a Go duration
//	events  the number of events of a stream; without it, the answer is one body
//	head    the delay of the first event
//	bytes   the number of bytes that are written before the rest of the answer
package backendserver

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers of requests and answers.
const (
	HeaderID        = "X-Attempt-Id"
	HeaderInstance  = "X-Expected-Instance"
	HeaderDeadline  = "X-Deadline-Ms"
	HeaderSignature = "X-Response-Signature"
	headerNotRun    = "X-Not-Executed"
	headerLastEvent = "Last-Event-Id"
)

type (
	// Server is the stand-in for one backend server.
	Server struct {
		// Instance is its name in the store.
		Instance string

		mu   sync.Mutex
		runs []Run
		// slowdown multiplies the times of requests; 0 means 1.
		slowdown float64
		// pausedUntil is when the server writes again.
		pausedUntil time.Time
	}

	// zeros is a body without end.
	zeros struct{}

	// Run is an execution of a request.
	Run struct {
		ID, Instance string
		StartedAt    time.Time
		// Complete is set once the whole answer was written.
		Complete bool
	}
)

// SetSlowdown multiplies the times of requests that begin from now on.
func (s *Server) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

// Pause makes the server write nothing for a while. Requests in progress continue afterwards.
func (s *Server) Pause(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pausedUntil = time.Now().Add(d)
}

// awaitResume returns false if the caller leaves while the server is paused.
func (s *Server) awaitResume(r *http.Request) bool {
	s.mu.Lock()
	left := time.Until(s.pausedUntil)
	s.mu.Unlock()
	return left <= 0 || sleep(r, left)
}

// Runs returns the executions so far.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Answer returns the body of the answer to a request, or the data of one of its events.
func Answer(id string) string { return "answer to " + id }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderID)
	w.Header().Set(HeaderID, id)
	if want := r.Header.Get(HeaderInstance); want != "" && want != s.Instance {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run, slowdown := s.begin(id)
	query := r.URL.Query()
	take := scaled(query.Get("take"), slowdown)
	w.Header().Set(HeaderSignature, s.Instance)
	complete := false
	if n, err := strconv.Atoi(query.Get("bytes")); err == nil {
		_, _ = io.Copy(w, io.LimitReader(zeros{}, int64(n)))
		_ = http.NewResponseController(w).Flush()
	}
	if events, err := strconv.Atoi(query.Get("events")); err == nil {
		complete = s.stream(w, r, id, events, scaled(query.Get("head"), slowdown), take)
	} else if sleep(r, take) && s.awaitResume(r) {
		_, err := fmt.Fprint(w, Answer(id))
		complete = err == nil
	}
	if complete {
		s.complete(run)
	}
}

// Read implements io.Reader.
func (zeros) Read(buffer []byte) (int, error) {
	clear(buffer)
	return len(buffer), nil
}

// stream writes the events after the last one that the request has, and reports whether it
// wrote all.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, id string, events int, head, take time.Duration) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get(headerLastEvent))
	controller := http.NewResponseController(w)
	if !sleep(r, head) {
		return false
	}
	for n := last + 1; n <= events; n++ {
		if !s.awaitResume(r) {
			return false
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, Answer(id)); err != nil || controller.Flush() != nil {
			return false
		}
		if n < events && !sleep(r, take/time.Duration(events)) {
			return false
		}
	}
	return true
}

func (s *Server) begin(id string) (run int, slowdown float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, Run{ID: id, Instance: s.Instance, StartedAt: time.Now()})
	return len(s.runs) - 1, s.slowdown
}

func (s *Server) complete(run int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[run].Complete = true
}

// scaled returns a duration in a query, which is 0 if it is missing.
func scaled(text string, slowdown float64) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	if slowdown > 0 {
		d = time.Duration(float64(d) * slowdown)
	}
	return d
}

// sleep returns false if the caller leaves first.
func sleep(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
