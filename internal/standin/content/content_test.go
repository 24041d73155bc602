package content

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

// Guards against content that differs with the offset and size of the reads,
// and against manifests whose sizes or digests don't match the content.
func TestContent(t *testing.T) {
	c := Join(Generate(1, 100_000), Generate(2, 1), Generate(1, 50_000))
	whole, err := io.ReadAll(io.NewSectionReader(c, 0, c.Size()))
	if err != nil || int64(len(whole)) != c.Size() || len(whole) != 150_001 {
		t.Fatalf("read %d bytes, %v", len(whole), err)
	}
	for _, r := range []struct{ offset, size int }{{0, 1}, {blockSize - 1, 2}, {99_999, 3}, {100_000, 1}, {100_001, 50_000}, {7, 140_000}} {
		part := make([]byte, r.size)
		if _, err := c.ReadAt(part, int64(r.offset)); err != nil || !bytes.Equal(part, whole[r.offset:r.offset+r.size]) {
			t.Errorf("range %d+%d differs: %v", r.offset, r.size, err)
		}
	}
	if n, err := c.ReadAt(make([]byte, 2), c.Size()-1); n != 1 || !errors.Is(err, io.EOF) {
		t.Errorf("read past the end returned %d, %v", n, err)
	}
	if !bytes.Equal(whole[:50_000], whole[100_001:]) || bytes.Equal(whole[:50_000], whole[50_000:100_000]) {
		t.Error("content does not depend on the seed alone")
	}
	manifest, err := Manifest("v1", "path", c, 64<<10)
	if err != nil {
		t.Fatal(err)
	}
	if want := digest(whole); manifest.Digest != want || manifest.Size != c.Size() || len(manifest.Chunks) != 3 {
		t.Errorf("manifest is %+v, want digest %s", manifest, want)
	}
	for i, chunk := range manifest.Chunks {
		part := whole[i*64<<10 : min(len(whole), (i+1)*64<<10)]
		if chunk.Size != int64(len(part)) || chunk.Digest != digest(part) {
			t.Errorf("chunk %d is %+v", i, chunk)
		}
	}
	if _, err := Manifest("v1", "path", c, 0); err == nil {
		t.Error("a chunk size of 0 was accepted")
	}
}

func digest(data []byte) mulberryspool.Digest {
	sum := sha256.Sum256(data)
	return mulberryspool.Digest(hex.EncodeToString(sum[:]))
}
