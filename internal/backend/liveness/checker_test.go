package liveness

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool/internal/backend/httpconn"
	"github.com/mulberryspool/mulberryspool/internal/peer/sockets"
	"github.com/mulberryspool/mulberryspool/platform"
)

func newChecker() *Checker {
	clock := clockwork.NewRealClock()
	pool := &httpconn.Pool{Clock: clock, HeaderCodec: platform.Headers{}, Dial: sockets.Dialer{}.DialContext}
	return &Checker{Clock: clock, Pool: pool, HeaderCodec: platform.Headers{}}
}

// Guards against a backend server that is taken for running although nothing answers, or
// another incarnation does; and against a sound one that is not.
func TestCheckNeedsAnswerOfIncarnation(t *testing.T) {
	refuse := func(instance string, status int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("X-Expected-Instance") == "i-1" {
				t.Error("the request could be run")
			}
			if instance != "" {
				w.Header().Set("X-Instance-Id", instance)
			}
			w.WriteHeader(status)
		}
	}
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		want    error
	}{
		"refuses":                 {refuse("i-1", http.StatusMisdirectedRequest), nil},
		"refuses without an ID":   {refuse("", http.StatusBadRequest), nil},
		"is full":                 {refuse("", http.StatusServiceUnavailable), nil},
		"is another instance":     {refuse("i-2", http.StatusMisdirectedRequest), ErrEnded},
		"closes the connection":   {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, ErrUnknown},
		"does not answer in time": {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, ErrUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			target := httpconn.Target{Instance: "i-1", Address: server.Listener.Addr().String()}
			if err := newChecker().Check(context.Background(), target); !errors.Is(err, c.want) {
				t.Errorf("check returns %v, want %v", err, c.want)
			}
		})
	}
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	if err := newChecker().Check(context.Background(), httpconn.Target{Address: closed.Listener.Addr().String()}); !errors.Is(err, ErrEnded) {
		t.Errorf("check of a closed address returns %v, want %v", err, ErrEnded)
	}
}

// Guards against a backend server that is taken for ended, or not, because it closes the first
// connections without an answer: beyond its limit, or while it ends.
func TestClosedConnectionsDecideNothing(t *testing.T) {
	for name, want := range map[string]error{"accepts later ones": nil, "ends": ErrEnded} {
		t.Run(name, func(t *testing.T) {
			var closed atomic.Int64
			server := httptest.NewUnstartedServer(nil)
			server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				switch {
				case closed.Add(1) > 2:
					w.WriteHeader(http.StatusMisdirectedRequest)
					return
				case want != nil:
					server.Listener.Close()
				}
				panic(http.ErrAbortHandler)
			})
			server.Start()
			defer server.Close()
			target := httpconn.Target{Instance: "i-1", Address: server.Listener.Addr().String()}
			if err := newChecker().Check(context.Background(), target); !errors.Is(err, want) {
				t.Errorf("check returns %v, want %v", err, want)
			}
		})
	}
}

// Guards against one connection for each answer that ends, and against a check that began
// before an answer ended and is taken for it.
func TestChecksAreShared(t *testing.T) {
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		time.Sleep(100 * time.Millisecond)
		w.WriteHeader(http.StatusMisdirectedRequest)
	}))
	defer server.Close()
	checker := newChecker()
	target := httpconn.Target{Instance: "i-1", Address: server.Listener.Addr().String()}
	var wait sync.WaitGroup
	check := func() {
		if err := checker.Check(context.Background(), target); err != nil {
			t.Error(err)
		}
	}
	for range 20 {
		wait.Go(check)
	}
	for requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	wait.Go(check)
	wait.Wait()
	if n := requests.Load(); n < 2 || n > 5 {
		t.Errorf("20 answers that ended together and one that ended later took %d requests, want one or few, and another", n)
	}
}

// Guards against a caller that waits for a check after its request has ended.
func TestCheckEndsWithContext(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	target := httpconn.Target{Address: listener.Addr().String()}
	if err := newChecker().Check(ctx, target); !errors.Is(err, context.Canceled) {
		t.Errorf("check returns %v, want %v", err, context.Canceled)
	}
}
