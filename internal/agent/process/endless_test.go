package process

import (
	"strings"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/backend/plain"
	"github.com/mulberryspool/mulberryspool/internal/testkit/endless"
)

// Guards against an answer without end that an agent takes in faster than the entry
// reads it: it filled the connection's queue, and closing the connection then cut
// off all other answers on it.
func TestEndlessAnswerWaitsForEntry(t *testing.T) {
	// maxTaken is what the agent and the kernel hold while the entry does not read.
	const maxTaken = 32 << 20
	s := endless.New(endless.Response{
		Head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Unit: "4000\r\n" + strings.Repeat("m", 16<<10) + "\r\n",
	}, "")
	backend := &plain.Client{BaseURL: "http://" + s.Listen(t), Capacity: 4}
	a := startAgent(t, agentOptions{instance: "surat-1", run: "1", engine: newEngine(), store: newStore(), configure: func(p *Process) {
		p.Backend, p.Stager = backend, nil
	}})
	setPool(a.tables, 1, mulberryspool.Pool{Name: poolName, Kind: mulberryspool.PoolPlain})
	await(t, "the agent serves", func() bool { return a.Status().Serving })
	entry := dialEntry(t, a.Identity.Control)
	if result := entry.start(t, "r1"); !result.Accepted {
		t.Fatalf("start was refused: %+v", result)
	}
	// The entry stops reading at the next chunk.
	entry.mu.Lock()
	previous := int64(-1)
	for s.Written() != previous && s.Written() <= maxTaken {
		previous = s.Written()
		time.Sleep(300 * time.Millisecond)
	}
	if s.Written() > maxTaken {
		t.Errorf("agent took %d bytes that the entry did not read, want at most %d", s.Written(), maxTaken)
	}
	entry.mu.Unlock()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for {
			select {
			case <-entry.chunks:
			case <-ended:
				return
			}
		}
	}()
	if err := entry.conn.Call(t.Context(), mulberryspool.MethodCancel, mulberryspool.CancelParams{RequestID: "r1"}, nil); err != nil {
		t.Fatal(err)
	}
	if end := <-entry.ends; end.RequestID != "r1" || end.Outcome != mulberryspool.OutcomeUnknown {
		t.Errorf("endless answer ended as %+v, want an unknown outcome", end)
	}
	s.AwaitClosed(t)
}
