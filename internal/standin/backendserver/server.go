// Package backendserver stands in for the backend servers behind the hosted roles. A
// request says in its query how it is answered, and each run is recorded:
//
//	take    how long the run takes, as a Go duration
//	events  the number of events of a stream; without it, the answer is one body
//	head    the delay of the first event
//	bytes   the number of bytes that are written before the rest of the answer
package backendserver

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers of requests and answers.
const (
	HeaderID            = "X-Attempt-Id"
	HeaderInstance      = "X-Expected-Instance"
	HeaderDeadline      = "X-Deadline-Ms"
	HeaderSignature     = "X-Response-Signature"
	headerNotRun        = "X-Not-Executed"
	headerLastEvent     = "Last-Event-Id"
	headerExpectVersion = "X-Expected-Version"
	headerVersion       = "X-Weight-Versions"
)

// VersionField begins the line of an event that names its version, if its server has one.
const VersionField = "event: v"

type (
	// Server is the stand-in for one backend server.
	Server struct {
		// Instance is its name in the store.
		Instance string

		mu   sync.Mutex
		runs []Run
		// pausedUntil is when the server writes again.
		pausedUntil time.Time
		// refusing is set while new requests are turned away.
		refusing bool
		settings settings
	}

	// settings are those of new runs.
	settings struct {
		// slowdown multiplies the times of requests; 0 means 1.
		slowdown float64
		// startDelay is how long new runs write nothing.
		startDelay time.Duration
		// silentAfter is the time after which a run writes nothing for silentFor.
		silentAfter, silentFor time.Duration
		// resumeStatus is the status of the answers to resumed streams; 0 for events.
		resumeStatus int
		// unframed is set if answers have neither a length nor chunks.
		unframed bool
		// version is that of the weights, 0 without a model, and named the one that
		// answers name.
		version, named int64
	}

	// silence is a time in which a run writes nothing.
	silence struct {
		from, until time.Time
		// wentOnAt is when the run wrote first, or after its silence.
		wentOnAt time.Time
	}

	// zeros is a body without end.
	zeros struct{}

	// Run is an execution of a request.
	Run struct {
		ID, Instance string
		// LastEvent is the ID of the event after which a stream is to go on; empty for a
		// request from the beginning.
		LastEvent string
		// EndedAt is zero while the run is in progress.
		StartedAt, EndedAt time.Time
		// WentOnAt is when it wrote its first event or its answer, or the next event after
		// its last silence; zero before.
		WentOnAt time.Time
		// CallerLeftAt is when the connection ended before the run; zero if it did not.
		CallerLeftAt time.Time
		// Complete is set once the whole answer was written, unless it is none to a resumed
		// stream.
		Complete bool
	}
)

// SetSlowdown multiplies the times of requests that begin from now on.
func (s *Server) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings.slowdown = factor
}

// Pause makes the server write nothing for a while. Requests in progress continue afterwards.
func (s *Server) Pause(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pausedUntil = time.Now().Add(d)
}

// SetRefusing sets whether new requests are turned away as not run.
func (s *Server) SetRefusing(refusing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = refusing
}

// SetStartDelay sets how long runs that begin from now on write nothing.
func (s *Server) SetStartDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings.startDelay = d
}

// SetSilence makes each run that begins from now on write nothing for a while, after a part
// of its time.
func (s *Server) SetSilence(after, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings.silentAfter, s.settings.silentFor = after, d
}

// SetResumeStatus sets the status with which resumed streams are answered, without events;
// 0 for events.
func (s *Server) SetResumeStatus(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings.resumeStatus = status
}

// SetUnframed sets whether the answers of runs that begin from now on have neither a length nor
// chunks, and end with their connection.
func (s *Server) SetUnframed(unframed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings.unframed = unframed
}

// SetVersion sets the version of the weights, which requests have to expect, and the one that
// answers name. Both are 0 without a model.
func (s *Server) SetVersion(version, named int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings.version, s.settings.named = version, named
}

// awaitResume returns false if the caller leaves while the server is paused or the run is
// silent.
func (s *Server) awaitResume(r *http.Request, own *silence) bool {
	for waited := false; ; waited = true {
		now := time.Now()
		s.mu.Lock()
		left := s.pausedUntil.Sub(now)
		s.mu.Unlock()
		if !now.Before(own.from) {
			left = max(left, own.until.Sub(now))
		}
		if left <= 0 {
			if waited || own.wentOnAt.IsZero() {
				own.wentOnAt = now
			}
			return true
		}
		if !sleep(r, left) {
			return false
		}
	}
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
	if status := s.refusal(r); status != 0 {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(status)
		return
	}
	run, state := s.begin(r)
	complete := false
	var own silence
	defer func() { s.end(run, complete, own.wentOnAt) }()
	// The end of the connection is noticed only once the body was read.
	_, _ = io.Copy(io.Discard, r.Body)
	defer context.AfterFunc(r.Context(), func() { s.callerLeft(run) })()
	if !sleep(r, state.startDelay) {
		return
	}
	own.from = time.Now().Add(state.silentAfter)
	own.until = own.from.Add(state.silentFor)
	query := r.URL.Query()
	take := state.scaled(query.Get("take"))
	w.Header().Set(HeaderSignature, s.Instance)
	if state.unframed {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	if state.named != 0 {
		w.Header().Set(headerVersion, strconv.FormatInt(state.named, 10))
	}
	if state.resumeStatus != 0 && r.Header.Get(headerLastEvent) != "" {
		w.WriteHeader(state.resumeStatus)
		_, _ = fmt.Fprint(w, Answer(id))
		return
	}
	if n, err := strconv.Atoi(query.Get("bytes")); err == nil {
		_, _ = io.Copy(w, io.LimitReader(zeros{}, int64(n)))
		_ = http.NewResponseController(w).Flush()
	}
	if events, err := strconv.Atoi(query.Get("events")); err == nil {
		complete = s.stream(w, r, events, state.scaled(query.Get("head")), take, state.named, &own)
	} else if sleep(r, take) && s.awaitResume(r, &own) {
		_, err := fmt.Fprint(w, Answer(id))
		complete = err == nil
	}
}

// refusal returns the status with which a request is turned away, 0 if it runs.
func (s *Server) refusal(r *http.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	instance, version := r.Header.Get(HeaderInstance), r.Header.Get(headerExpectVersion)
	switch {
	case instance != "" && instance != s.Instance, version != "" && version != strconv.FormatInt(s.settings.version, 10):
		return http.StatusMisdirectedRequest
	case s.refusing:
		return http.StatusServiceUnavailable
	}
	return 0
}

// Read implements io.Reader.
func (zeros) Read(buffer []byte) (int, error) {
	clear(buffer)
	return len(buffer), nil
}

// stream writes the events after the last one that the request has, and reports whether it
// wrote all.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, events int, head, take time.Duration, version int64, own *silence) bool {
	prefix := ""
	if version != 0 {
		prefix = VersionField + strconv.FormatInt(version, 10) + "\n"
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get(headerLastEvent))
	controller := http.NewResponseController(w)
	if !sleep(r, head) {
		return false
	}
	for n := last + 1; n <= events; n++ {
		if !s.awaitResume(r, own) {
			return false
		}
		if _, err := fmt.Fprintf(w, "%sid: %d\ndata: %s\n\n", prefix, n, Answer(r.Header.Get(HeaderID))); err != nil || controller.Flush() != nil {
			return false
		}
		if n < events && !sleep(r, take/time.Duration(events)) {
			return false
		}
	}
	return true
}

// begin records a run and returns its index, with the settings that apply to it.
func (s *Server) begin(r *http.Request) (run int, state settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, Run{ID: r.Header.Get(HeaderID), Instance: s.Instance, LastEvent: r.Header.Get(headerLastEvent), StartedAt: time.Now()})
	return len(s.runs) - 1, s.settings
}

func (s *Server) callerLeft(run int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[run].CallerLeftAt = time.Now()
}

func (s *Server) end(run int, complete bool, wentOnAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[run].EndedAt, s.runs[run].WentOnAt, s.runs[run].Complete = time.Now(), wentOnAt, complete
}

// scaled returns a duration in a query, which is 0 if it is missing.
func (s settings) scaled(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	if s.slowdown > 0 {
		d = time.Duration(float64(d) * s.slowdown)
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
