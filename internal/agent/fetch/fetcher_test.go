package fetch

import (
	"bytes"
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Guards against a transfer that does not end, that reads a chunk from the origin
// twice while all agents are alive, or that returns content other than that of the
// origin.
func TestFleetStagesOneOriginCopy(t *testing.T) {
	f := newFleet(t)
	f.configure = waitLong
	content := newContent(1, 1<<20)
	f.origin.set("v1", content)
	manifest := manifestOf("v1", "v1", content, 16<<10)
	agents := f.start(9)
	f.stage(context.Background(), agents, manifest)
	if got := f.origin.bytes.Load(); got != manifest.Size {
		t.Errorf("origin served %d bytes, want one copy of %d", got, manifest.Size)
	}
	for _, a := range agents {
		reader, err := a.Open(manifest)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(reader)
		reader.Close()
		if err != nil || !bytes.Equal(got, content) {
			t.Fatalf("agent %s returns %d bytes and error %v, want the content", a.Identity.Instance, len(got), err)
		}
	}
}

// Guards against a caller of Suspend that waits while another version is adopted, for which
// each chunk is read from a model server that may not answer.
func TestSuspendDoesNotWaitForAdoption(t *testing.T) {
	f := newFleet(t)
	a := f.start(1)[0]
	manifest := manifestOf("v1", "v1", newContent(1, 100), 10)
	reading, unblock := make(chan struct{}), make(chan struct{})
	adopted := make(chan error, 1)
	go func() {
		var once sync.Once
		_, err := a.Adopt(manifest, func(int) ([]byte, error) {
			once.Do(func() { close(reading) })
			<-unblock
			return nil, errors.New("no answer")
		})
		adopted <- err
	}()
	<-reading
	returned := make(chan struct{})
	go func() {
		a.Suspend(manifest.Digest, true)
		close(returned)
	}()
	select {
	case <-returned:
	case <-time.After(10 * time.Second):
		t.Error("Suspend has not returned after 10 s")
	}
	close(unblock)
	if err := <-adopted; err != nil {
		t.Fatal(err)
	}
}

// Guards against a transfer that continues although it is suspended, or that stays suspended.
func TestSuspendedTransferGoesOnLater(t *testing.T) {
	f := newFleet(t)
	content := newContent(2, 400)
	manifest := manifestOf("v1", "v1", content, 10)
	f.origin.set("v1", content)
	// 40 chunks take 4 s.
	f.origin.link.BytesPerSecond = 100
	f.configure = func(f *Fetcher) { f.Limits.OriginBytesPerSecond = 100 }
	a := f.start(1)[0]
	done := make(chan error, 1)
	go func() { done <- a.Stage(context.Background(), manifest) }()
	for a.Progress().Chunks == 0 {
		time.Sleep(time.Millisecond)
	}
	a.Suspend(manifest.Digest, true)
	// The fetches that run go on.
	held := -1
	for deadline := time.Now().Add(20 * time.Second); held != a.Progress().Chunks; time.Sleep(time.Second) {
		if held = a.Progress().Chunks; time.Now().After(deadline) {
			t.Fatal("the transfer goes on although it is suspended")
		}
	}
	if held == len(manifest.Chunks) {
		t.Fatal("the transfer was complete before it could be suspended")
	}
	a.Suspend(manifest.Digest, false)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}
