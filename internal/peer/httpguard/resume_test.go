package httpguard

import (
	"io"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
)

// Guards against a request that gets no answer because its connection is closed as idle although
// the request has arrived, while the process had no processor, and against connections that stay
// open without one.
func TestRequestThatHasArrivedIsServedOnIdleConnection(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	g := start(t, 0, 0)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	for name, cause := range map[string]error{"idle timeout": errIdle, "descriptor is needed": errDescriptors} {
		for _, sent := range []string{request, ""} {
			client, err := net.Dial("tcp", inner.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			accepted, err := inner.Accept()
			if err != nil {
				t.Fatal(err)
			}
			c := &conn{Conn: accepted, listener: g.listener, guard: g.guard, used: true}
			if _, err := io.WriteString(client, sent); err != nil {
				t.Fatal(err)
			}
			until(t, func() bool { return c.arrived() == (sent != "") })
			if !c.fail(cause) {
				t.Fatalf("%s: connection is not being closed", name)
			}
			buffer := make([]byte, 2*len(request))
			n, err := c.Read(buffer)
			if sent == "" {
				if !errors.Is(err, cause) {
					t.Errorf("%s: read of a connection without a request ended with %v", name, err)
				}
				continue
			}
			if got := string(buffer[:n]); got != request || err != nil {
				t.Errorf("%s: read %q, %v, want the request that has arrived", name, got, err)
			}
			if c.fail(cause); c.idleFailed {
				t.Errorf("%s: connection with a request in progress is closed as idle", name)
			}
		}
	}
}
