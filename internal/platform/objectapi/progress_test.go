package objectapi

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a large response over a slow link that is given up while it arrives,
// and is sent again from its beginning.
func TestLargeResponseIsNotGivenUpWhileItArrives(t *testing.T) {
	const (
		timeout = 400 * time.Millisecond
		pieces  = 8
	)
	var attempts atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		attempts.Add(1)
		for i := range pieces {
			if i > 0 && r.URL.Path == "/stalled" {
				<-r.Context().Done()
				return
			}
			_, _ = w.Write([]byte("x"))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(timeout / 4)
		}
	}))
	defer server.Close()
	for path, want := range map[string]int{"/slow": pieces, "/stalled": 0} {
		c := newClient(t, server.URL, "one", 2)
		c.AttemptTimeout, c.CallTimeout = timeout, 3*timeout
		attempts.Store(0)
		received := 0
		err := c.Do(context.Background(), Request{
			Operation: "list", Method: http.MethodGet, URL: func(time.Duration) string { return server.URL + path },
			Decode: func(_ http.Header, body io.Reader) error {
				data, err := io.ReadAll(body)
				if err == nil {
					received = len(data)
				}
				return err
			},
		})
		if received != want || (err == nil) != (want > 0) {
			t.Errorf("%s: received %d bytes with error %v, want %d", path, received, err, want)
		}
		if n := attempts.Load(); want > 0 && n != 1 {
			t.Errorf("%s: %d attempts, want 1", path, n)
		}
	}
}
