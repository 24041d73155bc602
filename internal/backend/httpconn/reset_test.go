package httpconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// Guards against a part of an answer without a length that counts as the whole because the write of
// a long request got the error of the reset, and against whole ones that do not count.
func TestAnswerOfResetConnectionIsNotComplete(t *testing.T) {
	const bodyBytes = 4 << 20
	for name, c := range map[string]struct {
		end      func(conn *net.TCPConn)
		complete bool
	}{
		"reset": {func(conn *net.TCPConn) {
			time.Sleep(5 * time.Millisecond)
			_ = conn.SetLinger(0)
		}, false},
		"closed in one direction": {func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}, true},
		"closed after the request": {func(conn *net.TCPConn) { _, _ = io.CopyN(io.Discard, conn, bodyBytes) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					stream := conn.(*net.TCPConn)
					request := bufio.NewReaderSize(io.LimitReader(stream, int64(len(requestHead))), len(requestHead))
					if _, err := http.ReadRequest(request); err == nil {
						_, _ = io.WriteString(stream, answerHead+"\r\npart")
						c.end(stream)
					}
					conn.Close()
				}
			}()
			p := newPool(t, clockwork.NewRealClock())
			for range 50 {
				conn, err := p.Open(t.Context(), Target{Address: listener.Addr().String()})
				if err != nil {
					t.Fatal(err)
				}
				if err := conn.Send([]byte(requestHead), []byte(strings.Repeat("b", bodyBytes)), time.Now().Add(testTimeout)); err != nil {
					t.Fatal(err)
				}
				answer, err := conn.Receive("GET", "r1")
				if err != nil {
					if c.complete {
						t.Fatal(err)
					}
					conn.Release(false)
					continue
				}
				body, err := io.ReadAll(answer.Body)
				if complete := err == nil; complete != c.complete {
					t.Errorf("body is %q with error %v, want a complete one: %t", body, err, c.complete)
				}
				_ = answer.Body.Close()
				conn.Release(false)
			}
		})
	}
}
