package forward

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool/internal/entry/promptguard"
	"github.com/mulberryspool/mulberryspool/internal/entry/quarantine"
)

const (
	// crashPart is the part of a prompt that crashes backend servers.
	crashPart = "dead"
	// crashDelay is the time from the head of a response to its first event, or to
	// the crash.
	crashDelay = 20 * time.Millisecond
	// streamTime is how long a stream of a sound request takes, with streamEvents.
	streamTime   = 400 * time.Millisecond
	streamEvents = 8
	// maxPartCrashes is how many servers may crash by one part of a prompt.
	maxPartCrashes = 5
)

// crashingBackend is a backend server that ends when it begins to answer a prompt
// with crashPart, and starts again at the same address after a while.
type crashingBackend struct {
	*testing.T
	id      string
	address string
	downFor time.Duration
	// resets is set if the backend ends before the head of the response, and its connections
	// are reset.
	resets bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	crashes  int
	received int
}

func newCrashingBackend(t *testing.T, id string, downFor time.Duration, resets bool) *crashingBackend {
	t.Helper()
	b := &crashingBackend{T: t, id: id, address: "127.0.0.1:0", downFor: downFor, resets: resets}
	b.start()
	t.Cleanup(func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.listener.Close()
	})
	return b
}

func (b *crashingBackend) start() {
	listener, err := net.Listen("tcp", b.address)
	if err != nil {
		b.Error(err)
		return
	}
	b.mu.Lock()
	b.listener, b.address, b.conns = listener, listener.Addr().String(), make(map[net.Conn]bool)
	b.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns[conn] = true
			b.mu.Unlock()
			go b.serve(conn)
		}
	}()
}

// crash cuts all connections and accepts no new ones for a while.
func (b *crashingBackend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashes++
	b.listener.Close()
	for conn := range b.conns {
		if b.resets {
			// Fails only if the connection is closed already.
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		conn.Close()
	}
	time.AfterFunc(b.downFor, b.start)
}

func (b *crashingBackend) serve(conn net.Conn) {
	defer conn.Close()
	reader, writer := bufio.NewReader(conn), bufio.NewWriter(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		deadly := strings.Contains(r.Header.Get("X-Prompt-Prefix"), crashPart)
		if deadly {
			b.mu.Lock()
			b.received++
			b.mu.Unlock()
		}
		if !deadly || !b.resets {
			writeEvents(writer, r, 1, 0, false)
			_ = writer.Flush()
		}
		time.Sleep(crashDelay)
		if deadly {
			b.crash()
			return
		}
		for i := 1; i <= streamEvents; i++ {
			writeEvent(writer, i)
			time.Sleep(streamTime / streamEvents)
		}
		_, _ = writer.WriteString("0\r\n\r\n")
		if writer.Flush() != nil {
			return
		}
	}
}

// reportDelay is the time until the other entries know of a finding.
const reportDelay = 10 * time.Millisecond

// newSharingEntries returns entries that report their findings to each other.
func newSharingEntries(t *testing.T, count int, targets []*backend) []*entry {
	t.Helper()
	var entries []*entry
	for i := range count {
		e := newEntry(t, targets...)
		e.handler.PromptGuard.Quarantine.Entry = fmt.Sprintf("e-%d", i)
		entries = append(entries, e)
	}
	for _, e := range entries {
		guard := e.handler.PromptGuard
		guard.Changed = func() {
			time.AfterFunc(reportDelay, func() {
				findings := guard.Findings()
				for _, peer := range entries {
					if peer != e {
						peer.handler.PromptGuard.Merge(guard.Quarantine.Entry, findings)
					}
				}
			})
		}
	}
	return entries
}

// Guards against requests with one part in their prompts that crash one backend
// server after the other, and against sound requests that are kept from the servers
// because they share their caller and other parts with them.
func TestPromptPartCrashesOneServerAfterAnother(t *testing.T) {
	for _, count := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d entries", count), func(t *testing.T) { testPromptPartCrashes(t, count, false) })
	}
}

// Guards against servers that crash by one part of a prompt and are taken for sound ones at
// their connection limits, because their connections are reset before the head of a response.
func TestPromptPartResetsOneServerAfterAnother(t *testing.T) {
	for _, count := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d entries", count), func(t *testing.T) { testPromptPartCrashes(t, count, true) })
	}
}

func testPromptPartCrashes(t *testing.T, entryCount int, resets bool) {
	t.Helper()
	var (
		backends []*crashingBackend
		targets  []*backend
	)
	for i := range 6 {
		b := newCrashingBackend(t, fmt.Sprintf("i-%d", i), 200*time.Millisecond, resets)
		backends = append(backends, b)
		targets = append(targets, &backend{T: t, id: b.id, address: b.address})
	}
	entries := newSharingEntries(t, entryCount, targets)
	sound := func(i int) bool {
		head, body, complete := entries[i%entryCount].call(t, http.MethodPost, "/stream/x", "q", "X-Prompt-Prefix", fmt.Sprintf("shared:40,own%d:100", i))
		return head.StatusCode == http.StatusOK && complete && body == eventStreamBody(1, streamEvents)
	}
	if !sound(0) {
		t.Fatal("request failed before the first crash")
	}
	var (
		wait   sync.WaitGroup
		served atomic.Int32
	)
	const deadlyCount, soundCount = 20, 60
	for i := range deadlyCount {
		wait.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			head, _, complete := entries[i%entryCount].call(t, http.MethodPost, "/stream/x", "q", "X-Prompt-Prefix", fmt.Sprintf("shared:40,%s:9,last%d:100", crashPart, i))
			if complete && head.StatusCode == http.StatusOK {
				t.Error("a request that crashes its server has a complete answer")
			}
		})
	}
	for i := range soundCount {
		wait.Go(func() {
			time.Sleep(time.Duration(i) * 33 * time.Millisecond)
			if sound(1 + i) {
				served.Add(1)
			}
		})
	}
	wait.Wait()
	crashes := 0
	for _, b := range backends {
		b.mu.Lock()
		crashes += b.crashes
		b.mu.Unlock()
	}
	t.Logf("%d crashes, %d of %d sound requests were served", crashes, served.Load(), soundCount)
	if crashes > maxPartCrashes {
		t.Errorf("%d backend servers crashed, want at most %d", crashes, maxPartCrashes)
	}
	if served.Load() < soundCount*9/10 {
		t.Errorf("%d of %d sound requests were served", served.Load(), soundCount)
	}
}

// Guards against a crash that is blamed on other requests, because the caller of the one
// which caused it left just before.
func TestRequestOfLeftCallerCountsWithCrash(t *testing.T) {
	received, done := make(chan struct{}), make(chan struct{})
	defer close(done)
	b := newBackend(t, "i-1", func(*bufio.Writer, *http.Request, int) bool {
		close(received)
		<-done
		return false
	})
	e := newEntry(t, b)
	guard := e.handler.PromptGuard
	guard.Clock = clockwork.NewFakeClock()
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL+"/stream/x", strings.NewReader("q"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h.example"
	for name, value := range map[string]string{"X-Attempt-Id": "r1", "X-Deadline-Ms": "3000", "Authorization": "Bearer key", "X-Prompt-Prefix": crashPart + ":9,own:100"} {
		r.Header.Set(name, value)
	}
	go func() {
		<-received
		cancel()
	}()
	if response, err := http.DefaultTransport.RoundTrip(r); err == nil {
		response.Body.Close()
		t.Fatal("cancelled request has a response")
	}
	guard.Merge("peer", []quarantine.Finding{{Part: "other", Crashes: []quarantine.CrashFinding{{Server: quarantine.ServerOf(b.server("p"))}}}})
	part := promptguard.Parts("", []string{crashPart, "own"})[0]
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if slices.ContainsFunc(guard.Findings(), func(f quarantine.Finding) bool { return f.Part == part }) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("findings are %+v, want a crash of %s", guard.Findings(), part)
		}
	}
}
