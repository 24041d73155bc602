package objectapi

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool/internal/standin/serve"
)

func sendRequest(handler http.Handler, method, target string, body []byte, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, target, bytes.NewReader(body))
	r.Header.Set(serve.CallerHeader, "one")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	return w
}

// Guards against invalid calls that are accepted or modify an object.
func TestInvalidCallsAreRejected(t *testing.T) {
	s := &Server{Clock: clockwork.NewFakeClock()}
	handler := s.Handler()
	s.Put("k", "a", []byte("x"))
	for _, test := range []struct {
		method, target string
		size           int
		header         []string
		status         int
	}{
		{http.MethodPut, "/objects/k/a", 1, nil, http.StatusPreconditionRequired},
		{http.MethodPut, "/objects/k/a", 1, []string{"If-Match", `"1"`, "If-None-Match", "*"}, http.StatusPreconditionRequired},
		{http.MethodPut, "/objects/k/a", 1, []string{"If-Match", "1"}, http.StatusBadRequest},
		{http.MethodPut, "/objects/k/a", 1, []string{"If-Match", `"2"`}, http.StatusPreconditionFailed},
		{http.MethodPut, "/objects/k/a", 1, []string{"If-None-Match", "*"}, http.StatusPreconditionFailed},
		{http.MethodPut, "/objects/k/a", MaxValueBytes + 1, []string{"If-Match", `"1"`}, http.StatusRequestEntityTooLarge},
		{http.MethodDelete, "/objects/k/a", 0, nil, http.StatusPreconditionRequired},
		{http.MethodDelete, "/objects/k/a", 0, []string{"If-Match", `"2"`}, http.StatusPreconditionFailed},
		{http.MethodGet, "/objects/k/b", 0, nil, http.StatusNotFound},
		{http.MethodGet, "/objects/k/a?after=x&timeout=1s", 0, nil, http.StatusBadRequest},
		{http.MethodGet, "/objects/k/a?after=1&timeout=1", 0, nil, http.StatusBadRequest},
		{http.MethodGet, "/objects/k/a?after=1&timeout=6m", 0, nil, http.StatusBadRequest},
		{http.MethodPost, "/objects/k/a", 1, nil, http.StatusMethodNotAllowed},
		{http.MethodPost, "/admin/faults", 1, nil, http.StatusBadRequest},
	} {
		w := sendRequest(handler, test.method, test.target, make([]byte, test.size), test.header...)
		if w.Code != test.status {
			t.Errorf("%s %s %v: status %d, want %d", test.method, test.target, test.header, w.Code, test.status)
		}
	}
	objects := s.Objects("k")
	if len(objects) != 1 || objects[0].Version != 1 || string(objects[0].Value) != "x" {
		t.Errorf("objects are %+v", objects)
	}
}

// Guards against rate limits that are not enforced, calls that are not counted,
// and waiting watches that don't reduce the rate of reads.
func TestRateLimits(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := &Server{Clock: clock, ReadsPerSecond: 10, WritesPerSecond: 5, ReadBurst: 10, WriteBurst: 5}
	handler := s.Handler()
	accepted := func(target string, calls int) int {
		n := 0
		for range calls {
			w := sendRequest(handler, http.MethodGet, target, nil)
			if w.Code != http.StatusTooManyRequests {
				n++
			} else if w.Header().Get("Retry-After") != "1" {
				t.Errorf("Retry-After is %q, want 1", w.Header().Get("Retry-After"))
			}
		}
		return n
	}
	if n := accepted("/objects/k/a", 30); n != 10 {
		t.Errorf("%d reads were accepted at once, want 10", n)
	}
	clock.Advance(500 * time.Millisecond)
	if n := accepted("/objects/k?prefix=", 30); n != 5 {
		t.Errorf("%d reads were accepted after half a second, want 5", n)
	}
	for range 4 {
		if !s.limits.beginWatch(clock.Now()) {
			t.Fatal("a watch was refused")
		}
	}
	clock.Advance(500 * time.Millisecond)
	if n := accepted("/objects/k/a", 30); n != 3 {
		t.Errorf("%d reads were accepted in half a second with 4 waiting watches, want 3", n)
	}
	for range 6 {
		s.limits.beginWatch(clock.Now())
	}
	if s.limits.beginWatch(clock.Now()) {
		t.Error("more watches wait than reads are allowed in a second")
	}
	for i := range 8 {
		w := sendRequest(handler, http.MethodPut, "/objects/k/a", nil, "If-Match", `"1"`)
		if throttled := w.Code == http.StatusTooManyRequests; throttled != (i >= 5) {
			t.Errorf("write %d: status %d", i, w.Code)
		}
	}
	counts := s.Counts()
	if counts.Calls[OperationGet]["one"] != 60 || counts.Total(OperationList) != 30 || counts.Throttled[OperationUpdate]["one"] != 3 {
		t.Errorf("counts are %+v", counts)
	}
	// The three groups of 30 reads are half a second apart, so that any second
	// contains at most two of them.
	if counts.PeakReads != 60 || counts.PeakWrites != 8 {
		t.Errorf("peaks are %d reads and %d writes, want 60 and 8", counts.PeakReads, counts.PeakWrites)
	}
}
