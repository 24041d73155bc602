package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool/internal/standin/backendserver"
	"github.com/mulberryspool/mulberryspool/internal/testkit/hostedsystem"
)

type (
	// upload is a request whose caller writes all of the body before it reads the answer.
	upload struct {
		prefix, key string
		bytes       int
		// take is how long the caller takes to write the body.
		take time.Duration
		// expect asks for 100 Continue, without waiting for it, and closing for the end of
		// the connection.
		chunked, expect, closing bool
		deadline                 time.Duration
		// before is the number of short requests on the same connection before it.
		before int
	}

	// uploadResult is how an upload ended. The status is 0 if there was no answer.
	uploadResult struct {
		upload upload
		status int
		err    error
	}
)

func (u upload) head() string {
	head := "POST " + u.prefix + "x?take=10ms HTTP/1.1\r\nHost: " + hostedsystem.Host + "\r\n" + backendserver.HeaderID + ": u\r\n"
	if u.key != "" {
		head += "Authorization: Bearer " + u.key + "\r\n"
	}
	if u.deadline > 0 {
		head += backendserver.HeaderDeadline + ": " + strconv.FormatInt(u.deadline.Milliseconds(), 10) + "\r\n"
	}
	if u.chunked {
		head += "Transfer-Encoding: chunked\r\n"
	} else {
		head += "Content-Length: " + strconv.Itoa(u.bytes) + "\r\n"
	}
	if u.expect {
		head += "Expect: 100-continue\r\n"
	}
	if u.closing {
		head += "Connection: close\r\n"
	}
	return head + "\r\n"
}

// do sends the request to the entry at the address when it may begin.
func (u upload) do(address string, begin <-chan struct{}) uploadResult {
	r := uploadResult{upload: u}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		r.err = err
		return r
	}
	defer conn.Close()
	answers := bufio.NewReader(conn)
	r.status, r.err = u.exchange(conn, answers, begin)
	return r
}

func (u upload) exchange(conn net.Conn, answers *bufio.Reader, begin <-chan struct{}) (status int, err error) {
	if err := conn.SetDeadline(time.Now().Add(u.take + 10*time.Second)); err != nil {
		return 0, err
	}
	short := upload{prefix: hostedsystem.LookupPrefix, key: u.key}.head()
	for range u.before {
		if _, err := io.WriteString(conn, short); err != nil {
			return 0, err
		}
		if status, _, err := hostedsystem.ReadAnswer(answers); status != http.StatusOK {
			return 0, errors.Newf("first request got status %d: %v", status, err)
		}
	}
	<-begin
	if _, err := io.WriteString(conn, u.head()); err != nil {
		return 0, err
	}
	if err := u.writeBody(conn); err != nil {
		return 0, err
	}
	status, closes, err := hostedsystem.ReadAnswer(answers)
	if err != nil || closes {
		return status, err
	}
	if _, err := io.WriteString(conn, short); err != nil {
		return status, err
	}
	_, _, err = hostedsystem.ReadAnswer(answers)
	return status, err
}

// writeBody writes the body in parts.
func (u upload) writeBody(w io.Writer) error {
	const parts = 40
	part, format, end := strings.Repeat("x", u.bytes/parts), "%s", ""
	if u.chunked {
		format, end = fmt.Sprintf("%x\r\n%%s\r\n", len(part)), "0\r\n\r\n"
	}
	for range parts {
		time.Sleep(u.take / parts)
		if _, err := fmt.Fprintf(w, format, part); err != nil {
			return err
		}
	}
	_, err := io.WriteString(w, end)
	return err
}

// Guards against callers that write all of a body before they read, and find their connection
// reset because a new configuration lets the entry refuse their request unread. Real processes,
// callers on new and kept connections.
func TestUploadsBesideConfigurationsGetAnswers(t *testing.T) {
	const (
		callers  = 4
		timeout  = 6 * time.Second
		bodySize = 800 << 10
	)
	for name, c := range map[string]struct {
		change func(*hostedsystem.System)
		want   int
	}{
		"route dropped":  {func(s *hostedsystem.System) { s.Without = []string{hostedsystem.OrderPrefix} }, http.StatusNotFound},
		"key taken away": {func(s *hostedsystem.System) { s.Keys = []string{"other"} }, http.StatusUnauthorized},
		"limit lowered":  {func(s *hostedsystem.System) { s.MaxBody = bodySize / 2 }, http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			s := &hostedsystem.System{Builder: &builder, RepeatSlack: 200, GracefulStop: 4 * time.Second, Timeout: timeout, Entries: 1, Backends: 2, Keys: []string{"key", "other"}}
			s.Start(t)
			results, begin := make(chan uploadResult), make(chan struct{})
			uploads := []upload{{}, {before: 2}, {closing: true}, {chunked: true}, {expect: true}}
			for _, u := range uploads {
				u.prefix, u.key, u.bytes, u.take, u.deadline = hostedsystem.OrderPrefix, "key", bodySize, 1500*time.Millisecond, timeout
				for range callers {
					go func() { results <- u.do(strings.TrimPrefix(s.Members[0].URL, "http://"), begin) }()
				}
			}
			time.Sleep(300 * time.Millisecond)
			c.change(s)
			s.PutConfiguration(2)
			time.Sleep(500 * time.Millisecond)
			close(begin)
			for range callers * len(uploads) {
				r := <-results
				if r.err != nil || r.status != c.want {
					t.Errorf("%+v got status %d, want %d: %v", r.upload, r.status, c.want, r.err)
				}
			}
		})
	}
}

// Guards against refused bodies that hold a planned stop beyond its end. The callers never
// end their bodies.
func TestRefusedBodiesDoNotHoldPlannedStop(t *testing.T) {
	const grace = 3 * time.Second
	s := &hostedsystem.System{Builder: &builder, GracefulStop: grace, Timeout: time.Minute, Entries: 1, Backends: 1}
	s.Start(t)
	e := s.Members[0]
	for range 10 {
		conn, err := net.Dial("tcp", strings.TrimPrefix(e.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, upload{prefix: "/none/", bytes: 1000, deadline: time.Minute}.head()+"part"); err != nil {
			t.Fatal(err)
		}
		if status, _, err := hostedsystem.ReadAnswer(bufio.NewReader(conn)); status != http.StatusNotFound {
			t.Fatalf("status is %d, %v, want 404", status, err)
		}
	}
	stoppedAt := time.Now()
	if err := e.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if code := e.Process.Wait(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	if took := time.Since(stoppedAt); took > grace {
		t.Errorf("the stop took %v of %v", took, grace)
	}
	if strings.Contains(e.Process.Stdout(), "graceful stop timed out") {
		t.Error("connections were closed at the end of the stop")
	}
}
