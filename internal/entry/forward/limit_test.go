package forward

import (
	"bufio"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against backend servers that get more requests than the limit that they
// name, and against requests that fail although others have capacity.
func TestServerGetsMoreRequestsThanItsLimit(t *testing.T) {
	const (
		limit    = 10
		rate     = 60
		length   = 3 * time.Second
		settling = 500 * time.Millisecond
		window   = time.Second
		// maxInWindow is one and a half times what the limit allows, and 5 more.
		maxInWindow = limit*3/2 + 5
	)
	var (
		mu       sync.Mutex
		arrivals []time.Time
		lifted   atomic.Bool
	)
	limited := newBackend(t, "i-1", func(w *bufio.Writer, r *http.Request, _ int) bool {
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		header := fmt.Sprintf("Server-Limit: %d\r\n", limit)
		if lifted.Load() {
			header = ""
		}
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%s%sContent-Length: 2\r\n\r\nok", r.Header.Get("X-Attempt-Id"), signatureHeader, header)
		return true
	})
	open := newBackend(t, "i-2", func(w *bufio.Writer, r *http.Request, _ int) bool {
		time.Sleep(5 * time.Millisecond)
		return writeResponse(w, r, http.StatusOK, "ok")
	})
	e := newEntry(t, limited, open)
	var served atomic.Int32
	play := func() int {
		var wait sync.WaitGroup
		count := int(length.Seconds() * rate)
		for i := range count {
			wait.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / rate)
				if head, _, _ := e.call(t, http.MethodGet, "/read/x", ""); head.StatusCode == http.StatusOK {
					served.Add(1)
				}
			})
		}
		wait.Wait()
		return count
	}
	started := time.Now()
	count := play()
	for i, from := range arrivals {
		if from.Sub(started) < settling {
			continue
		}
		in := 0
		for _, at := range arrivals[i:] {
			if at.Sub(from) < window {
				in++
			}
		}
		if in > maxInWindow {
			t.Errorf("server with a limit of %d per second got %d requests in %s, want at most %d", limit, in, window, maxInWindow)
			break
		}
	}
	if served.Load() < int32(count) {
		t.Errorf("%d of %d requests were served", served.Load(), count)
	}
	used := len(arrivals)
	if minimum := int(length.Seconds()*limit) * 7 / 10; used < minimum {
		t.Errorf("server with a limit got %d requests, want at least %d", used, minimum)
	}
	lifted.Store(true)
	play()
	if after := len(arrivals) - used; after < used*3/2 {
		t.Errorf("server got %d requests after it named no limit any more, %d before", after, used)
	}
}
