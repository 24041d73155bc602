package forward

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/entry/promptguard"
	"github.com/mulberryspool/mulberryspool/internal/entry/quarantine"
)

// limitedBackend is a backend server that resets new connections while it is full, and keeps
// running.
type limitedBackend struct {
	*backend
	full   atomic.Bool
	resets atomic.Int32
}

func newLimitedBackend(t *testing.T, id string, s script) *limitedBackend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	b := &limitedBackend{backend: &backend{T: t, id: id, address: listener.Addr().String(), listener: listener}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if b.full.Load() {
				b.reset(conn)
				continue
			}
			go b.serve(conn, s)
		}
	}()
	return b
}

// reset resets a connection once the request arrives, so that the entry does not know that
// nothing was sent.
func (b *limitedBackend) reset(conn net.Conn) {
	go func() {
		defer conn.Close()
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			return
		}
		b.resets.Add(1)
		if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
			b.Error(err)
		}
	}()
}

// Guards against sound prompts that are kept from the backend servers, because servers at
// their connection limits have reset connections before any byte of a response.
func TestResetsAtConnectionLimitDoNotRejectPrompt(t *testing.T) {
	const (
		serverCount  = 6
		requestCount = 4
		prompt       = "sound:40,own%d:100"
	)
	var (
		limited []*limitedBackend
		targets []*backend
	)
	for i := range serverCount {
		b := newLimitedBackend(t, fmt.Sprintf("i-%d", i), func(w *bufio.Writer, r *http.Request, _ int) bool {
			return writeResponse(w, r, http.StatusOK, "ok")
		})
		b.full.Store(true)
		limited, targets = append(limited, b), append(targets, b.backend)
	}
	e := newEntry(t, targets...)
	for i := range requestCount {
		head, _, _ := e.call(t, http.MethodGet, "/read/x", "", "X-Attempt-Id", fmt.Sprintf("full%d", i), "X-Prompt-Prefix", fmt.Sprintf(prompt, i))
		t.Logf("request %d at the limits: status %d", i, head.StatusCode)
	}
	resets := int32(0)
	for _, b := range limited {
		resets += b.resets.Load()
		b.full.Store(false)
	}
	if resets < 3 {
		t.Fatalf("%d connections were reset, want 3 or more", resets)
	}
	parts := promptguard.Parts("", []string{"sound", "own"})
	if d := e.handler.PromptGuard.Check("after", parts); d.Verdict == quarantine.Reject {
		t.Errorf("part %s is rejected after %d resets at connection limits", d.Part, resets)
	}
	e.handler.PromptGuard.Withdraw("after", parts)
	// The servers' health may keep requests from them for a moment.
	time.Sleep(500 * time.Millisecond)
	for i := range requestCount {
		head, body, _ := e.call(t, http.MethodGet, "/read/x", "", "X-Attempt-Id", fmt.Sprintf("after%d", i), "X-Prompt-Prefix", fmt.Sprintf(prompt, requestCount+i))
		if head.StatusCode != http.StatusOK {
			t.Errorf("request %d after the limits has status %d: %s", i, head.StatusCode, body)
		}
	}
}
