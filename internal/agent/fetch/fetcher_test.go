package fetch

import (
	"bytes"
	"context"
	"io"
	"testing"
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
