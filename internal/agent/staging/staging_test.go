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

// Guards against keeping data that is not that of the chunk, or that nobody wants.
func TestPutTakesVerifiedWantedChunksOnly(t *testing.T) {
	s := &Store{}
	manifest := manifestOf("v1", "alpha", "beta")
	stage(t, s, manifest)
	if err := s.Put(manifest.Chunks[0].Digest, []byte("alphA")); !errors.Is(err, ErrDigest) {
		t.Errorf("wrong data: error %v, want ErrDigest", err)
	}
	if err := s.Put(DigestOf([]byte("gamma")), []byte("gamma")); !errors.Is(err, ErrUnwanted) {
		t.Errorf("unwanted chunk: error %v, want ErrUnwanted", err)
	}
	if _, ok := s.Get(manifest.Chunks[0].Digest); ok || s.Bytes() != 0 {
		t.Errorf("the store holds %d bytes after refused chunks, want none", s.Bytes())
	}
	if _, err := s.Open(manifest.Digest); !errors.Is(err, ErrIncomplete) {
		t.Errorf("open with missing chunks: error %v, want ErrIncomplete", err)
	}
}

// Guards against chunks that are dropped while another version or a reader
// needs them, that are kept for good, or that come out in the wrong order.
func TestReleaseKeepsSharedAndReadChunks(t *testing.T) {
	s := &Store{}
	first, second := manifestOf("v1", "alpha", "beta", "alpha"), manifestOf("v2", "beta", "gamma")
	stage(t, s, first, "alpha", "beta")
	stage(t, s, second, "gamma")
	if want := int64(len("alphabetagamma")); s.Bytes() != want {
		t.Fatalf("the store holds %d bytes, want each chunk once: %d", s.Bytes(), want)
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
		t.Errorf("the store holds %d bytes after the release, want %d", s.Bytes(), want)
	}
	s.Release(second.Digest)
	if s.Bytes() != 0 || s.reserved != 0 {
		t.Errorf("%d bytes and %d reserved are left, want none", s.Bytes(), s.reserved)
	}
}

// Guards against staging beyond the memory set aside, and against a refusal
// that leaves something reserved.
func TestRetainRefusesWhatDoesNotFit(t *testing.T) {
	s := &Store{LimitBytes: 10}
	stage(t, s, manifestOf("v1", "alpha"), "alpha")
	if err := s.Retain(manifestOf("v2", "beta", "gamma")); !errors.Is(err, ErrLimit) {
		t.Fatalf("error %v, want ErrLimit", err)
	}
	if err := s.Retain(manifestOf("v3", "alpha", "gamma")); err != nil {
		t.Fatalf("a version that fits beside the first one is refused: %v", err)
	}
}
