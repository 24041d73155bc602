package forward

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/backend/httpconn"
	"github.com/mulberryspool/mulberryspool/internal/backend/liveness"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
	"github.com/mulberryspool/mulberryspool/internal/entry/promptguard"
	"github.com/mulberryspool/mulberryspool/internal/entry/quarantine"
	"github.com/mulberryspool/mulberryspool/internal/entry/retrybudget"
	"github.com/mulberryspool/mulberryspool/internal/entry/scheduler"
	"github.com/mulberryspool/mulberryspool/internal/peer/sockets"
	"github.com/mulberryspool/mulberryspool/platform"
)

const (
	signatureHeader = "X-Response-Signature: s\r\n"
	// maxKeptBytes is the part of a response's body that call returns.
	maxKeptBytes = 8 << 20
)

type (
	// backend is a backend server that responds as its script says.
	backend struct {
		*testing.T
		id       string
		address  string
		requests atomic.Int32
		listener net.Listener

		mu   sync.Mutex
		seen []*http.Request
		// seenBodies holds the bodies of the requests in seen.
		seenBodies []string
		conns      int
		lastConn   net.Conn
	}

	// script writes the response to the n-th request. The connection is closed
	// if it returns false.
	script func(w *bufio.Writer, r *http.Request, n int) bool

	// responseHead is a response without its body.
	responseHead struct {
		StatusCode int
		Header     http.Header
		Close      bool
	}

	// entry is an HTTP server with the handler under test.
	entry struct {
		*httptest.Server
		handler   *Handler
		scheduler *scheduler.Scheduler
	}
)

func newBackend(t *testing.T, id string, s script) *backend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	b := &backend{T: t, id: id, address: listener.Addr().String(), listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns++
			b.lastConn = conn
			b.mu.Unlock()
			go b.serve(conn, s)
		}
	}()
	return b
}

func (b *backend) serve(conn net.Conn, s script) {
	defer conn.Close()
	reader, writer := bufio.NewReader(conn), bufio.NewWriter(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.seen = append(b.seen, r)
		b.seenBodies = append(b.seenBodies, string(body))
		b.mu.Unlock()
		if !s(writer, r, int(b.requests.Add(1))) || writer.Flush() != nil {
			return
		}
	}
}

// resetOnClose makes the last connection be reset when it is closed.
func (b *backend) resetOnClose() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.lastConn.(*net.TCPConn).SetLinger(0); err != nil {
		b.Error(err)
	}
}

func (b *backend) request(i int) *http.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i >= len(b.seen) {
		b.Fatalf("%s saw %d requests, want more than %d", b.id, len(b.seen), i)
	}
	return b.seen[i]
}

func (b *backend) server(pool string) mulberryspool.BackendServer {
	return mulberryspool.BackendServer{
		Instance: mulberryspool.InstanceID(b.id), Born: 1, Pool: pool, Address: b.address, FailureDomain: "a", Slots: 4,
		Models: []mulberryspool.LoadedModel{{Model: "m", Version: 1}},
	}
}

func route(name string, kind mulberryspool.RequestKind, attempts int) mulberryspool.IngressRoute {
	return mulberryspool.IngressRoute{
		Name: name, Host: "h.example", PathPrefix: "/" + name + "/", Kind: kind, Attempts: attempts, Resumable: kind == mulberryspool.Streaming,
		Timeout: 3 * time.Second, Objective: 300 * time.Millisecond, GapObjective: 100 * time.Millisecond,
		Pools: []mulberryspool.WeightedPool{{Pool: "p", Weight: 1}},
	}
}

func ingress() mulberryspool.Ingress {
	open := route("open", mulberryspool.Idempotent, 2)
	open.Public = true
	return mulberryspool.Ingress{
		Version: 1, MaxBodyBytes: 1 << 20,
		Routes: []mulberryspool.IngressRoute{
			route("read", mulberryspool.Idempotent, 2), route("write", mulberryspool.NonIdempotent, 1),
			route("stream", mulberryspool.Streaming, 2), open,
		},
		Pools:      map[string]mulberryspool.IngressPool{"p": {Name: "p"}},
		Workspaces: []mulberryspool.Workspace{{Name: "w", Keys: []string{"key"}}},
	}
}

func newEntry(t *testing.T, backends ...*backend) *entry {
	t.Helper()
	clock := clockwork.NewRealClock()
	s := &scheduler.Scheduler{
		Clock: clock, Random: rand.New(rand.NewPCG(1, 1)),
		Placement:   placement.Config{FailureDomain: "a", VersionGrace: time.Minute},
		RetryBudget: retrybudget.Budget{Window: 10 * time.Second, Ratio: 0.2, Slack: 100},
	}
	s.SetIngress(ingress())
	servers := make(map[mulberryspool.InstanceID]mulberryspool.BackendServer)
	for _, b := range backends {
		servers[mulberryspool.InstanceID(b.id)] = b.server("p")
	}
	s.SetServers(servers)
	pool := &httpconn.Pool{Clock: clock, HeaderCodec: platform.Headers{}, Dial: sockets.Dialer{}.DialContext}
	h := &Handler{
		Clock: clock, HeaderCodec: platform.Headers{}, Scheduler: s, ConnPool: pool,
		Liveness:    &liveness.Checker{Clock: clock, Pool: pool, HeaderCodec: platform.Headers{}},
		PromptGuard: &promptguard.Guard{Clock: clock, Logger: zerolog.Nop(), Metrics: tally.NoopScope, Quarantine: &quarantine.Quarantine{Entry: "e"}}, Logger: zerolog.Nop(), Metrics: tally.NoopScope,
		Sampled: func(mulberryspool.RequestID) bool { return true }, GracefulStop: time.Minute,
	}
	server := httptest.NewServer(h)
	t.Cleanup(func() { server.Close(); pool.Close() })
	return &entry{Server: server, handler: h, scheduler: s}
}

// call sends a request and returns the response, the part of the body that was
// received, and whether the body was complete.
func (e *entry) call(t *testing.T, method, path, body string, headers ...string) (responseHead, string, bool) {
	t.Helper()
	r, err := http.NewRequest(method, e.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("X-Attempt-Id", "r1")
	r.Header.Set("X-Deadline-Ms", "3000")
	r.Header.Set("Authorization", "Bearer key")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxKeptBytes))
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	return responseHead{StatusCode: response.StatusCode, Header: response.Header, Close: response.Close}, string(data), err == nil
}

func writeResponse(w io.Writer, r *http.Request, status int, body string) bool {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d x\r\nX-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("X-Attempt-Id"), signatureHeader, len(body), body)
	return true
}

// writeEvents writes a chunked stream with the events of a range of IDs. The
// response headers are written only for a new or resumed stream.
func writeEvents(w *bufio.Writer, r *http.Request, from, to int, end bool) {
	if from <= 1 || r.Header.Get("Last-Event-Id") != "" {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%sX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
			r.Header.Get("X-Attempt-Id"), signatureHeader)
	}
	for i := from; i <= to; i++ {
		writeEvent(w, i)
	}
	if end {
		_, _ = w.WriteString("0\r\n\r\n")
	}
}

// writeEvent writes the event with the ID as a chunk.
func writeEvent(w *bufio.Writer, id int) {
	event := fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id)
	_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
	_ = w.Flush()
}

// eventStreamBody returns the body that a caller reads for a range of event IDs.
func eventStreamBody(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", i, i)
	}
	return b.String()
}
