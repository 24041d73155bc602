package callerconns

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

// startTracked starts a server whose connections are tracked, and counts its requests.
func startTracked(t *testing.T) (*Tracker, *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tracker := &Tracker{Listener: listener, Clock: clockwork.NewRealClock()}
	served := new(atomic.Int32)
	server := &http.Server{ConnState: tracker.Record, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		served.Add(1)
		_, _ = io.WriteString(w, "ok")
	})}
	go func() { _ = server.Serve(tracker) }()
	t.Cleanup(func() { _ = server.Close() })
	return tracker, served
}

// Guards against a connection that is closed as idle while the first bytes of its next
// request are being read, and whose request is served nevertheless: its caller gets no
// answer. The request arrives in two parts, and idle connections are closed in between.
func TestIdleConnectionIsNotClosedInsideRequest(t *testing.T) {
	tracker, served := startTracked(t)
	idle, inside := dialTracked(t, tracker), dialTracked(t, tracker)
	for _, conn := range []net.Conn{idle, inside} {
		exchange(t, conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	await(t, "both connections are idle", func() bool { return tracker.count(false) == 2 })
	if _, err := io.WriteString(inside, "GET / HTT"); err != nil {
		t.Fatal(err)
	}
	await(t, "the first part of the request was read", func() bool { return tracker.count(true) == 1 })
	tracker.CloseIdle()
	if _, err := idle.Read(make([]byte, 1)); err == nil {
		t.Error("the idle connection stayed open")
	}
	exchange(t, inside, "P/1.1\r\nHost: h\r\n\r\n")
	if got := served.Load(); got != 3 {
		t.Errorf("%d requests were served, want 3", got)
	}
}

// Guards against a connection that was accepted, but whose request was not read yet, and
// that is closed as idle: its caller gets no answer.
func TestNewConnectionIsNotClosedAsIdle(t *testing.T) {
	tracker, _ := startTracked(t)
	conn := dialTracked(t, tracker)
	await(t, "the connection is accepted", func() bool { return tracker.count(false) == 1 })
	tracker.CloseIdle()
	exchange(t, conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
}

// Guards against requests whose bytes arrive while a stopping entry waits for the last ones,
// and whose connections are closed without an answer. The request arrives in two parts: before
// the listener is closed, and afterwards.
func TestRequestReadDuringDrainIsAnswered(t *testing.T) {
	tracker, _ := startTracked(t)
	conn := dialTracked(t, tracker)
	if _, err := io.WriteString(conn, "GET / HTT"); err != nil {
		t.Fatal(err)
	}
	await(t, "the first part of the request was read", func() bool { return tracker.count(true) == 1 })
	if err := tracker.Close(); err != nil {
		t.Fatal(err)
	}
	drained := make(chan bool)
	go func() { drained <- tracker.Drain(time.Now().Add(10 * time.Second)) }()
	time.Sleep(5 * drainPollInterval)
	exchange(t, conn, "P/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	if !<-drained {
		t.Error("the connection is still open")
	}
}

// Guards against connections that are closed without an answer although a request has arrived
// in time, because the process had no processor until the time limit of its head had passed.
func TestRequestThatArrivedBeforeItsTimeLimitIsRead(t *testing.T) {
	const request = "GET / HTTP/1.1\r\n\r\n"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	tracker := &Tracker{Listener: listener, Clock: clockwork.NewRealClock()}
	caller := dialTracked(t, tracker)
	conn, err := tracker.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for _, state := range []http.ConnState{http.StateNew, http.StateIdle} {
		tracker.Record(conn, state)
		if _, err := io.WriteString(caller, request); err != nil {
			t.Fatal(err)
		}
		if err := conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
			t.Fatal(err)
		}
		buffer := make([]byte, 2*len(request))
		if n, err := conn.Read(buffer); string(buffer[:n]) != request {
			t.Fatalf("in state %v %q was read, %v", state, buffer[:n], err)
		}
		// The limit is extended once, and only for the head.
		time.Sleep(headOvertime)
		for range 2 {
			if _, err := conn.Read(buffer); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("in state %v a read after the limit ended with %v", state, err)
			}
			tracker.Record(conn, http.StateActive)
		}
	}
}

// Guards against connections that end between a request and its answer without a trace, and
// against ones that are reported although their request was answered.
func TestUnansweredConnectionIsReported(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	reports := make(chan Unanswered, 10)
	tracker := &Tracker{Listener: listener, Clock: clockwork.NewRealClock(), Unanswered: func(u Unanswered) { reports <- u }}
	server := &http.Server{ConnState: tracker.Record, ReadHeaderTimeout: 200 * time.Millisecond, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/abort":
			panic(http.ErrAbortHandler)
		case "/leave":
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "ok")
	})}
	go func() { _ = server.Serve(tracker) }()
	t.Cleanup(func() { _ = server.Close() })
	for _, c := range []struct {
		request string
		leaves  bool
		want    string
	}{
		{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", true, ""},
		{"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", false, ""},
		{"", false, ""},
		{"GET /abort HTTP/1.1\r\nHost: h\r\n\r\n", false, "closed here, head read"},
		// The time-out of the header is answered with 400.
		{"GET / HTT", false, ""},
		{"GET /leave HTTP/1.1\r\nHost: h\r\n\r\n", true, "caller left, head read, EOF"},
	} {
		conn := dialTracked(t, tracker)
		if _, err := io.WriteString(conn, c.request); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
		if c.leaves {
			conn.Close()
		}
		await(t, "connection has ended", func() bool { return len(tracker.list()) == 0 })
		// The report follows the removal.
		time.Sleep(20 * time.Millisecond)
		got := ""
		select {
		case u := <-reports:
			got = map[bool]string{true: "caller left", false: "closed here"}[u.CallerClosed]
			if u.HeadRead {
				got += ", head read"
			}
			if u.Err != nil {
				got += ", " + u.Err.Error()
			}
		default:
		}
		if got != c.want {
			t.Errorf("%q: reported as %q, want %q", c.request, got, c.want)
		}
	}
}

// count returns the number of connections with, or without, a request.
func (t *Tracker) count(busy bool) int {
	n := 0
	for _, c := range t.list() {
		if c.isBusy() == busy {
			n++
		}
	}
	return n
}

func dialTracked(t *testing.T, tracker *Tracker) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", tracker.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// exchange sends the rest of a request and reads the answer.
func exchange(t *testing.T, conn net.Conn, request string) {
	t.Helper()
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer response.Body.Close()
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != "ok" {
		t.Fatalf("answer is %q, %v", body, err)
	}
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out: %s", what)
		}
	}
}
