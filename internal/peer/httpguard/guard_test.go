package httpguard

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/bodybudget"
	"github.com/mulberryspool/mulberryspool/internal/entry/callerconns"
)

const testTimeout = 20 * time.Second

// guarded is a server behind a guard.
type guarded struct {
	clock    *clockwork.FakeClock
	guard    *Guard
	listener *Listener
	handler  http.HandlerFunc
	metrics  tally.TestScope

	mu sync.Mutex
	// requests holds the requests that were served, with their bodies.
	requests []string
}

func start(t *testing.T, descriptors int, budget int64) *guarded {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &guarded{clock: clockwork.NewFakeClock(), metrics: tally.NewTestScope("", nil)}
	memory := &bodybudget.Budget{Limit: budget}
	g.guard = &Guard{Clock: g.clock, Budget: memory, Logger: zerolog.Nop(), Metrics: g.metrics, Descriptors: descriptors}
	memory.MakeRoom = g.guard.MakeRoom
	g.listener = g.guard.Listen(inner, "test", 1)
	server := &http.Server{Handler: http.HandlerFunc(g.serve)}
	Attach(server, g.listener)
	go func() { _ = server.Serve(g.listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return g
}

func (g *guarded) serve(w http.ResponseWriter, r *http.Request) {
	if g.handler != nil {
		g.handler(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	switch {
	case errors.Is(err, ErrNoProgress):
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestTimeout)
		return
	case errors.Is(err, ErrNoMemory):
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case err != nil:
		panic(http.ErrAbortHandler)
	}
	g.mu.Lock()
	g.requests = append(g.requests, fmt.Sprintf("%s %s %d %q %v", r.Method, r.URL.Path, len(r.Header), body, r.Trailer))
	g.mu.Unlock()
	_, _ = io.WriteString(w, r.URL.Path)
}

func (g *guarded) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", g.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

// closed returns how many connections were closed for a reason.
func (g *guarded) closed(reason string) int64 {
	n := int64(0)
	for _, c := range g.metrics.Snapshot().Counters() {
		if c.Name() == "guarded_connections_closed" && c.Tags()["reason"] == reason && c.Tags()["listener"] == "test" {
			n += c.Value()
		}
	}
	return n
}

// pass lets the time pass, with a sweep before and after the overtime. What the server does on
// the last bytes ends first.
func (g *guarded) pass(d time.Duration) {
	time.Sleep(20 * time.Millisecond)
	g.clock.Advance(d)
	g.guard.sweep()
	g.clock.Advance(overtime)
	g.guard.sweep()
}

// await waits until the only connection has received so many bytes.
func (g *guarded) await(t *testing.T, received int64) {
	t.Helper()
	until(t, func() bool {
		conns := g.guard.list()
		if len(conns) != 1 {
			return false
		}
		conns[0].mu.Lock()
		defer conns[0].mu.Unlock()
		return conns[0].received == received
	})
}

func until(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out")
		}
	}
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// status reads a response and returns its status; 0 if the connection has ended.
func status(t *testing.T, r *bufio.Reader) int {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Error(err)
	}
	return response.StatusCode
}

// fields returns different fields of together at most so many bytes, and their number.
func fields(size int) (string, int) {
	var b strings.Builder
	n := 0
	for ; b.Len()+10 < size; n++ {
		fmt.Fprintf(&b, "F%x:\r\n", n)
	}
	return b.String(), n
}

// Guards against requests that arrive other than they were sent, or not at all, because their
// ends are not where the guard expects them. Many requests of all kinds on one connection, in
// parts of random sizes.
func TestRequestsArriveAsSent(t *testing.T) {
	kinds := []string{
		"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /%d HTTP/1.1\nHost: h\n\n",
		"POST /%d HTTP/1.1\r\nHost: h\r\ncontent-length:  5 \r\n\r\nb\n\r\nb",
		"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
		"POST /%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n\r\n\r\n\r\nA;x=y\r\n0123456789\r\n0\r\n\r\n",
		"POST /%d HTTP/1.1\r\nHost: h\r\nTrailer: T\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\nT: v\r\n\r\n",
		"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("long", 5000),
	}
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		var sent bytes.Buffer
		var want []string
		for n := range 60 {
			k := random.IntN(len(kinds))
			fmt.Fprintf(&sent, kinds[k], n)
			want = append(want, fmt.Sprintf("/%d", n))
		}
		g := start(t, 0, 0)
		conn, responses := g.dial(t)
		go func() {
			for sent.Len() > 0 {
				if _, err := conn.Write(sent.Next(1 + random.IntN([]int{3, 100, 50_000}[seed%3]))); err != nil {
					return
				}
			}
		}()
		for n := range want {
			if got := status(t, responses); got != http.StatusOK {
				t.Fatalf("seed %d: request %d got status %d", seed, n, got)
			}
		}
		for n, r := range g.requests {
			if !strings.Contains(r, " "+want[n]+" ") {
				t.Errorf("seed %d: request %d arrived as %s", seed, n, r)
			}
			if strings.Contains(r, "0123456789") && !strings.Contains(r, `"\r\n\r\n0123456789"`) {
				t.Errorf("seed %d: body arrived as %s", seed, r)
			}
		}
	}
}

// Guards against a request within the limits that is refused for its many short fields, and
// against one beyond them that is served.
func TestHeadsWithManyFields(t *testing.T) {
	const limit = 16 << 10
	g := start(t, 0, 30<<20)
	g.listener.SetLimits(mulberryspool.CallerLimits{MaxHeadBytes: limit})
	most, n := fields(limit - 20)
	conn, responses := g.dial(t)
	for range 3 {
		send(t, conn, "GET /many HTTP/1.1\r\nHost:h\r\n"+most+"\r\n")
		if got := status(t, responses); got != http.StatusOK {
			t.Fatalf("request with %d fields got status %d", n, got)
		}
	}
	if !strings.Contains(g.requests[0], fmt.Sprintf(" %d ", n)) {
		t.Errorf("request with %d fields arrived as %s", n, g.requests[0])
	}
	tooMany, _ := fields(2 * limit)
	send(t, conn, "GET /many HTTP/1.1\r\nHost:h\r\n"+tooMany+"\r\n")
	if got := status(t, responses); got != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("head of twice the limit got status %d", got)
	}
	until(t, func() bool { return len(g.guard.list()) == 0 })
	if used := g.guard.Budget.Used(); used != 0 {
		t.Errorf("%d bytes are reserved without connections", used)
	}
}

// Guards against limits that a configuration names and that apply to new connections only.
func TestLimitsApplyToOpenConnections(t *testing.T) {
	g := start(t, 0, 0)
	head, responses := g.dial(t)
	send(t, head, "GET /1 HTTP/1.1\r\nHost:h\r\n\r\n")
	if got := status(t, responses); got != http.StatusOK {
		t.Fatal(got)
	}
	text, _ := fields(8 << 10)
	g.listener.SetLimits(mulberryspool.CallerLimits{MaxHeadBytes: 4 << 10, IdleTimeout: 15 * time.Second, HeadTimeout: 3 * time.Second})
	send(t, head, "GET /2 HTTP/1.1\r\nHost:h\r\n"+text+"\r\n")
	if got := status(t, responses); got != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("head beyond the new limit got status %d", got)
	}
	until(t, func() bool { return len(g.guard.list()) == 0 })

	idle, responses := g.dial(t)
	for range 3 {
		send(t, idle, "GET /3 HTTP/1.1\r\nHost:h\r\n\r\n")
		if got := status(t, responses); got != http.StatusOK {
			t.Fatal(got)
		}
		// Callers reuse connections for so long.
		g.pass(12 * time.Second)
	}
	g.pass(15 * time.Second)
	if got := status(t, responses); got != 0 {
		t.Errorf("status %d on an idle connection", got)
	}
}

// Guards against connections of callers that stop midway, or send a byte now and then, and
// that stay open.
func TestCallersWithoutProgress(t *testing.T) {
	for name, c := range map[string]struct {
		sent   string
		want   int
		reason string
	}{
		"head":         {"GET / HTTP/1.1\r\nHost", http.StatusRequestTimeout, "headTooSlow"},
		"body":         {"POST / HTTP/1.1\r\nHost:h\r\nContent-Length: 100\r\n\r\nb", http.StatusRequestTimeout, "bodyStalled"},
		"chunk":        {"POST / HTTP/1.1\r\nHost:h\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nb", http.StatusRequestTimeout, "bodyStalled"},
		"no request":   {"", 0, "idle"},
		"second head":  {"GET / HTTP/1.1\r\nHost:h\r\n\r\nGET / HT", http.StatusRequestTimeout, "headTooSlow"},
		"slow drip":    {"POST / HTTP/1.1\r\nHost:h\r\nContent-Length: 100\r\n\r\n", http.StatusRequestTimeout, "bodyStalled"},
		"after a rest": {"POST / HTTP/1.1\r\nHost:h\r\nContent-Length: 3\r\n\r\nabcGET /", http.StatusRequestTimeout, "headTooSlow"},
	} {
		g := start(t, 0, 1<<20)
		conn, responses := g.dial(t)
		send(t, conn, c.sent)
		g.await(t, int64(len(c.sent)))
		if strings.Contains(c.sent, "\r\n\r\nGET") || strings.Contains(c.sent, "abcGET") {
			if got := status(t, responses); got != http.StatusOK {
				t.Errorf("%s: first request got status %d", name, got)
			}
		}
		if name == "slow drip" {
			for i := range 4 {
				g.clock.Advance(time.Second)
				send(t, conn, "b")
				g.await(t, int64(len(c.sent)+i+1))
			}
			g.pass(progressTimeout)
		} else {
			g.pass(defaultIdleTimeout + time.Second)
		}
		if got := status(t, responses); got != c.want {
			t.Errorf("%s: status %d, want %d", name, got, c.want)
		}
		if n := g.closed(c.reason); n != 1 {
			t.Errorf("%s: %d connections were closed for the reason %s, want 1", name, n, c.reason)
		}
		until(t, func() bool { return len(g.guard.list()) == 0 })
		if used := g.guard.Budget.Used(); used != 0 {
			t.Errorf("%s: %d bytes are reserved without connections", name, used)
		}
	}
}

// Guards against callers that send a byte now and then, so that their connections are never
// found without progress twice in a row.
func TestDrippingCallers(t *testing.T) {
	for name, text := range map[string]string{
		"head": "GET / HTTP/1.1\r\nHost:h\r\nX: ",
		"body": "POST / HTTP/1.1\r\nHost:h\r\nContent-Length: 10000\r\n\r\n",
	} {
		g := start(t, 0, 0)
		conn, responses := g.dial(t)
		send(t, conn, text)
		g.await(t, int64(len(text)))
		for n := len(text); len(g.guard.list()) > 0; n++ {
			if n > len(text)+200 {
				t.Fatalf("%s: the connection is open after %d bytes", name, n)
			}
			g.await(t, int64(n))
			g.clock.Advance(sweepInterval)
			g.guard.sweep()
			if _, err := io.WriteString(conn, "x"); err != nil {
				break
			}
			// The connection may be closed now.
			time.Sleep(2 * time.Millisecond)
			if failed := func() bool {
				conns := g.guard.list()
				if len(conns) == 0 {
					return true
				}
				conns[0].mu.Lock()
				defer conns[0].mu.Unlock()
				return conns[0].failed != nil
			}(); failed {
				break
			}
		}
		if got := status(t, responses); got != http.StatusRequestTimeout {
			t.Errorf("%s: status %d", name, got)
		}
	}
}

// Guards against callers that don't read their responses, or hardly, and hold their connections.
func TestUnreadResponsesEndConnection(t *testing.T) {
	g := start(t, 0, 0)
	ended := make(chan error, 1)
	g.handler = func(w http.ResponseWriter, _ *http.Request) {
		var err error
		for part := make([]byte, 1<<20); err == nil; {
			_, err = w.Write(part)
		}
		ended <- err
	}
	conn, _ := g.dial(t)
	send(t, conn, "GET / HTTP/1.1\r\nHost:h\r\n\r\n")
	until(t, func() bool {
		conns := g.guard.list()
		if len(conns) != 1 {
			return false
		}
		conns[0].mu.Lock()
		defer conns[0].mu.Unlock()
		return conns[0].written > 0
	})
	// Until the buffers of the operating system are full.
	time.Sleep(300 * time.Millisecond)
	g.guard.sweep()
	if _, err := io.ReadFull(conn, make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	g.pass(progressTimeout + time.Second)
	if err := <-ended; !errors.Is(err, errUnread) {
		t.Errorf("write ended with %v", err)
	}
}

// Guards against a pipelined request that ends the one before it, whatever it is.
func TestNextRequestDoesNotEndRunningOne(t *testing.T) {
	g := start(t, 0, 0)
	g.listener.SetLimits(mulberryspool.CallerLimits{MaxHeadBytes: 2 << 10})
	proceed := make(chan struct{})
	g.handler = func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-proceed:
		case <-r.Context().Done():
			t.Error("request was cancelled")
		}
		_, _ = io.WriteString(w, "ok")
	}
	conn, responses := g.dial(t)
	text, _ := fields(8 << 10)
	send(t, conn, "GET /1 HTTP/1.1\r\nHost:h\r\n\r\nGET /2 HTTP/1.1\r\nHost:h\r\n"+text)
	g.pass(defaultHeadTimeout)
	close(proceed)
	if got := status(t, responses); got != http.StatusOK {
		t.Errorf("first request got status %d", got)
	}
	if got := status(t, responses); got != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("second request got status %d", got)
	}
}

// Guards against connections that use up the descriptors, and against closing those whose
// requests are being served.
func TestStalledConnectionsMakeRoom(t *testing.T) {
	const most = 10
	g := start(t, reservedDescriptors+most, 0)
	proceed := make(chan struct{})
	g.handler = func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-proceed
		}
		_, _ = io.WriteString(w, "ok")
	}
	served, responses := g.dial(t)
	send(t, served, "GET /wait HTTP/1.1\r\nHost:h\r\n\r\n")
	until(t, func() bool {
		return slices.ContainsFunc(g.guard.list(), func(c *conn) bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.inRequest
		})
	})
	for range 3 * most {
		conn, _ := g.dial(t)
		send(t, conn, "GET / HT")
		time.Sleep(5 * time.Millisecond)
		g.clock.Advance(minStall)
	}
	until(t, func() bool { return len(g.guard.list()) <= most })
	ordinary, answers := g.dial(t)
	send(t, ordinary, "GET / HTTP/1.1\r\nHost:h\r\n\r\n")
	if got := status(t, answers); got != http.StatusOK {
		t.Errorf("ordinary request got status %d", got)
	}
	close(proceed)
	if got := status(t, responses); got != http.StatusOK {
		t.Errorf("request in progress got status %d", got)
	}
}

// Guards against heads of many short fields that use up the memory together, and against the
// one that holds the most being kept.
func TestStalledHeadsMakeRoomForOthers(t *testing.T) {
	const budget = 1 << 20
	g := start(t, 0, budget)
	text, _ := fields(40 << 10)
	for range 30 {
		conn, _ := g.dial(t)
		send(t, conn, "GET / HTTP/1.1\r\nHost:h\r\n"+text)
		time.Sleep(5 * time.Millisecond)
		g.clock.Advance(minStall)
		if used := g.guard.Budget.Used(); used > budget {
			t.Fatalf("%d bytes of %d are reserved", used, budget)
		}
	}
	g.clock.Advance(minStall)
	ordinary, answers := g.dial(t)
	send(t, ordinary, "GET / HTTP/1.1\r\nHost:h\r\n\r\n")
	if got := status(t, answers); got != http.StatusOK {
		t.Errorf("ordinary request got status %d", got)
	}
}

// Guards against connections that the server's ConnState learns nothing of because they are
// refused, so that a planned stop waits for them.
func TestRefusedConnectionsAreReported(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	guard := &Guard{Clock: clockwork.NewFakeClock(), Budget: &bodybudget.Budget{}, Logger: zerolog.Nop(), Metrics: tally.NoopScope, Descriptors: reservedDescriptors + 1}
	listener := guard.Listen(inner, "test", 1)
	closed := make(chan net.Conn, 10)
	server := &http.Server{Handler: http.NotFoundHandler(), ConnState: func(c net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			closed <- c
		}
	}}
	Attach(server, listener)
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	for range 3 {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	for range 2 {
		select {
		case <-closed:
		case <-time.After(testTimeout):
			t.Fatal("a refused connection was not reported")
		}
	}
}

// Guards against a connection that is closed as idle in a planned stop although the first bytes
// of its next request were read before the end of its last response.
func TestNextRequestIsNotClosedAsIdle(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clock := clockwork.NewRealClock()
	tracker := &callerconns.Tracker{Listener: inner, Clock: clock}
	guard := &Guard{Clock: clock, Budget: &bodybudget.Budget{}, Logger: zerolog.Nop(), Metrics: tally.NoopScope}
	g := &guarded{guard: guard, listener: guard.Listen(tracker, "test", 1)}
	server := &http.Server{Handler: http.HandlerFunc(g.serve), ConnState: tracker.Record}
	Attach(server, g.listener)
	go func() { _ = server.Serve(g.listener) }()
	defer func() { _ = server.Close() }()
	idle, idleResponses := g.dial(t)
	conn, responses := g.dial(t)
	send(t, idle, "POST /1 HTTP/1.1\r\nHost:h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	send(t, conn, "POST /2 HTTP/1.1\r\nHost:h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /3 HT")
	for _, r := range []*bufio.Reader{idleResponses, responses} {
		if got := status(t, r); got != http.StatusOK {
			t.Fatal(got)
		}
	}
	time.Sleep(50 * time.Millisecond)
	tracker.CloseIdle()
	if got := status(t, idleResponses); got != 0 {
		t.Errorf("status %d on the idle connection", got)
	}
	send(t, conn, "TP/1.1\r\nHost:h\r\n\r\n")
	if got := status(t, responses); got != http.StatusOK {
		t.Errorf("second request got status %d", got)
	}
}
