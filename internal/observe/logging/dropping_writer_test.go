package logging

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// blockedWriter blocks all writes until release is closed.
type blockedWriter struct {
	release chan struct{}

	mu    sync.Mutex
	lines int
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines += strings.Count(string(p), "\n")
	return len(p), nil
}

// Guards against log lines that block a request or accumulate in memory while
// nobody reads the pipe that they are written to.
func TestFullPipeDropsLinesAndCountsThem(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	writer := NewDroppingWriter(w)
	logger, err := New(writer, mulberryspool.Identity{Instance: "i"}, "info")
	if err != nil {
		t.Fatal(err)
	}
	const lines = 5 * bufferedLines
	written := make(chan struct{})
	go func() {
		defer close(written)
		for i := range lines {
			logger.Info().Int("i", i).Msg("line")
		}
	}()
	select {
	case <-written:
	case <-time.After(20 * time.Second):
		t.Fatal("a line blocked its writer")
	}
	close(w.release)
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lines > bufferedLines+1 {
		t.Errorf("%d lines were kept, want at most %d", w.lines, bufferedLines+1)
	}
	if writer.Dropped() == 0 {
		t.Error("no dropped line was counted")
	}
}

// Guards against processes that select different requests, and against a wrong
// share.
func TestSamplerKeepsAShareOfRequests(t *testing.T) {
	sampled, again := Sampler(0.1), Sampler(0.1)
	kept := 0
	for i := range 10_000 {
		id := mulberryspool.RequestID(fmt.Sprintf("%016x", i))
		if sampled(id) != again(id) {
			t.Fatalf("request %s is kept by one process only", id)
		}
		if sampled(id) {
			kept++
		}
	}
	if kept < 800 || kept > 1200 {
		t.Errorf("%d of 10000 requests were kept, want about a tenth", kept)
	}
}

func BenchmarkLine(b *testing.B) {
	writer := NewDroppingWriter(&discardWriter{})
	logger, err := New(writer, mulberryspool.Identity{Instance: "i", FailureDomain: "a"}, "info")
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		logger.Info().EmbedObject(Fields{Route: "r", Pool: "p", RequestID: "9c41d07be2a35f68", Peer: "i-1"}).
			Int("status", 503).Str("outcome", "allServersFull").Dur("took", time.Millisecond).Msg("request ended")
	}
}

type discardWriter struct{}

func (*discardWriter) Write(p []byte) (int, error) { return len(p), nil }
