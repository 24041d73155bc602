package staging

import (
	"io"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

func manifestOf(version string, parts ...string) mulberryspool.Manifest {
	manifest := mulberryspool.Manifest{Version: version}
	content := ""
	for _, p := range parts {
		manifest.Chunks = append(manifest.Chunks, mulberryspool.Chunk{Digest: DigestOf([]byte(p)), Size: int64(len(p))})
		content += p
	}
	manifest.Digest, manifest.Size = DigestOf([]byte(content)), int64(len(content))
	return manifest
}

func stage(t *testing.T, s *Store, manifest mulberryspool.Manifest, parts ...string) {
	t.Helper()
	if err := s.Retain(manifest); err != nil {
		t.Fatal(err)
	}
	for _, p := range parts {
		if err := s.Put(DigestOf([]byte(p)), []byte(p)); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against storing data that does not match its chunk's digest, or a
// chunk that is in no retained manifest.
func TestPutAcceptsOnlyVerifiedRetainedChunks(t *testing.T) {
	s := &Store{}
	manifest := manifestOf("v1", "alpha", "beta")
	stage(t, s, manifest)
	if err := s.Put(manifest.Chunks[0].Digest, []byte("alphA")); !errors.Is(err, ErrChunkMismatch) {
		t.Errorf("Put of corrupted data: error %v, want ErrChunkMismatch", err)
	}
	if err := s.Put(DigestOf([]byte("gamma")), []byte("gamma")); !errors.Is(err, ErrNotRetained) {
		t.Errorf("Put of a chunk in no manifest: error %v, want ErrNotRetained", err)
	}
	if _, ok := s.Get(manifest.Chunks[0].Digest); ok || s.Bytes() != 0 {
		t.Errorf("%d bytes stored after rejected chunks, want 0 and no chunk", s.Bytes())
	}
	if _, err := s.Open(manifest.Digest); !errors.Is(err, ErrIncomplete) {
		t.Errorf("Open with missing chunks: error %v, want ErrIncomplete", err)
	}
}

// Guards against chunks that are freed while another manifest or a reader
// needs them, that are never freed, or that are read in the wrong order.
func TestReleaseKeepsSharedAndReadChunks(t *testing.T) {
	s := &Store{}
	first, second := manifestOf("v1", "alpha", "beta", "alpha"), manifestOf("v2", "beta", "gamma")
	stage(t, s, first, "alpha", "beta")
	stage(t, s, second, "gamma")
	if want := int64(len("alphabetagamma")); s.Bytes() != want {
		t.Fatalf("%d bytes stored, want each chunk once: %d", s.Bytes(), want)
	}
	reader, err := s.Open(first.Digest)
	if err != nil {
		t.Fatal(err)
	}
	s.Release(first.Digest)
	if got, err := io.ReadAll(reader); err != nil || string(got) != "alphabetaalpha" {
		t.Fatalf("read %q, error %v, want the whole content in order", got, err)
	}
	reader.Close()
	if want := int64(len("betagamma")); s.Bytes() != want {
		t.Errorf("%d bytes stored after the release, want %d", s.Bytes(), want)
	}
	s.Release(second.Digest)
	if s.Bytes() != 0 || s.reservedBytes != 0 {
		t.Errorf("%d bytes stored and %d bytes reserved after all releases, want 0", s.Bytes(), s.reservedBytes)
	}
}

// Guards against staging beyond the configured limit, and against a rejected
// manifest that leaves space reserved.
func TestRetainRejectsManifestAboveLimit(t *testing.T) {
	s := &Store{LimitBytes: 10}
	stage(t, s, manifestOf("v1", "alpha"), "alpha")
	if err := s.Retain(manifestOf("v2", "beta", "gamma")); !errors.Is(err, ErrLimit) {
		t.Fatalf("error %v, want ErrLimit", err)
	}
	if err := s.Retain(manifestOf("v3", "alpha", "gamma")); err != nil {
		t.Fatalf("a manifest that fits within the limit was rejected: %v", err)
	}
}
