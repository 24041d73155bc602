package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/entry/bodybudget"
)

// Guards against bodies that are read although they can't be served, and against callers that
// keep memory, or a stopping entry, by sending no more of a body. The rest of each body is
// never sent.
func TestBodiesThatCannotBeServedAreRefusedUnread(t *testing.T) {
	const grace = 600 * time.Millisecond
	for name, c := range map[string]struct {
		header, sent string
		stops        bool
		status       int
		code         string
	}{
		"larger than the limit":         {header: "Content-Length: 2000000", status: http.StatusRequestEntityTooLarge, code: "bodyTooLarge"},
		"no memory":                     {header: "Content-Length: 100000", status: http.StatusServiceUnavailable, code: codeNoMemory},
		"no memory, length not known":   {header: "Transfer-Encoding: chunked", sent: "10000\r\n" + strings.Repeat("x", 0x10000), status: http.StatusServiceUnavailable, code: codeNoMemory},
		"not sent by the deadline":      {header: "Content-Length: 20", sent: "part", status: http.StatusRequestTimeout, code: "bodyTooSlow"},
		"not sent by the end of a stop": {header: "Content-Length: 20", sent: "part", stops: true, status: http.StatusServiceUnavailable, code: codeStopping},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEntry(t)
			e.handler.Bodies = &bodybudget.Budget{Limit: 64 << 10}
			e.handler.GracefulStop = grace
			deadline := 200 * time.Millisecond
			if c.stops {
				e.handler.BeginStop()
				deadline = time.Minute
			}
			conn, err := net.Dial("tcp", e.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
				t.Fatal(err)
			}
			_, err = fmt.Fprintf(conn, "POST /write/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key\r\nX-Attempt-Id: r1\r\nX-Deadline-Ms: %d\r\n%s\r\n\r\n%s", deadline.Milliseconds(), c.header, c.sent)
			if err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			if response.StatusCode != c.status || !strings.Contains(string(body), c.code) {
				t.Errorf("response is %d %q, %v, want %d %s", response.StatusCode, body, err, c.status, c.code)
			}
			// Waits for the handler to return.
			e.Close()
			if used := e.handler.Bodies.Used(); used != 0 {
				t.Errorf("%d bytes are still reserved", used)
			}
		})
	}
}
