package forward

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

// listenFull returns the address of a listener that answers no SYN, as its queue is full.
func listenFull(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}).String()
	for range 4 {
		conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { conn.Close() })
	}
	t.Fatal("the listener still accepts connections")
	return ""
}

// Guards against a server that counts as unreachable because its path is too slow for the rest of
// a version's grace.
func TestSlowPathDoesNotCountAsUnreachable(t *testing.T) {
	const tries = 40
	address := listenFull(t)
	counts := map[string]int64{}
	for range tries {
		b := &backend{T: t, id: "i-1", address: address}
		e, log := newVersionedEntry(t, b)
		metrics := tally.NewTestScope("", nil)
		e.handler.Metrics = metrics
		e.scheduler.SetNamedVersion("m", 2, time.Now().Add(-versionAge))
		e.call(t, http.MethodPost, "/once/1", "x")
		if strings.Contains(log.String(), "unreached") {
			t.Log(strings.SplitN(log.String(), "\n", 2)[0])
		}
		for reason, n := range attemptOutcomes(metrics) {
			counts[reason] += n
		}
	}
	if counts[outcomeOutdated] != tries {
		t.Errorf("outcomes of %d attempts whose connection did not open in time: %v, want all %s", tries, counts, outcomeOutdated)
	}
}
