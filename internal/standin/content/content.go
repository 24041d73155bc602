// Package content generates large file content on the fly, without holding it
// in memory.
package content

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

// blockSize is the unit in which content is generated, in bytes. It equals
// ratelimit.MaxBlock, so that a reader of aligned, full blocks generates each
// block only once.
const blockSize = 16 << 10

type (
	// Content can be read at any offset. bytes.Reader and io.SectionReader
	// implement it, too.
	Content interface {
		io.ReaderAt
		// Size is in bytes.
		Size() int64
	}

	// generated is the result of Generate.
	generated struct {
		seed uint64
		size int64
	}

	// joined is the result of Join.
	joined struct {
		parts []Content
		size  int64
	}
)

// Generate returns pseudorandom content that depends only on the seed. Contents
// of the same seed and different sizes have a common prefix.
func Generate(seed uint64, size int64) Content {
	return generated{seed: seed, size: size}
}

// Join concatenates the parts. Tests use it to make contents that have parts
// in common.
func Join(parts ...Content) Content {
	var size int64
	for _, p := range parts {
		size += p.Size()
	}
	return joined{parts: parts, size: size}
}

// Manifest reads a content and computes its manifest, with chunks of chunkSize
// bytes. The last chunk may be smaller.
func Manifest(version, path string, content Content, chunkSize int64) (mulberryspool.Manifest, error) {
	if chunkSize <= 0 {
		return mulberryspool.Manifest{}, errors.Newf("chunk size is %d bytes, want a positive number", chunkSize)
	}
	manifest := mulberryspool.Manifest{Version: version, OriginPath: path, Size: content.Size()}
	whole := sha256.New()
	for offset := int64(0); offset < content.Size(); offset += chunkSize {
		size := min(chunkSize, content.Size()-offset)
		part := sha256.New()
		if _, err := io.Copy(io.MultiWriter(whole, part), io.NewSectionReader(content, offset, size)); err != nil {
			return mulberryspool.Manifest{}, errors.Wrapf(err, "read content of %s at %d", path, offset)
		}
		manifest.Chunks = append(manifest.Chunks, mulberryspool.Chunk{
			Digest: mulberryspool.Digest(hex.EncodeToString(part.Sum(nil))),
			Size:   size,
		})
	}
	manifest.Digest = mulberryspool.Digest(hex.EncodeToString(whole.Sum(nil)))
	return manifest, nil
}

// Size implements Content.
func (g generated) Size() int64 { return g.size }

// ReadAt implements io.ReaderAt.
func (g generated) ReadAt(buffer []byte, offset int64) (int, error) {
	if offset < 0 {
		return 0, errors.Newf("offset %d is negative", offset)
	}
	var (
		total int
		block [blockSize]byte
	)
	for total < len(buffer) && offset < g.size {
		g.fill(block[:], offset/blockSize)
		start := offset % blockSize
		end := min(blockSize, start+g.size-offset)
		n := copy(buffer[total:], block[start:end])
		total += n
		offset += int64(n)
	}
	if total < len(buffer) {
		return total, io.EOF
	}
	return total, nil
}

// fill generates the block at an index.
func (g generated) fill(block []byte, index int64) {
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], g.seed)
	binary.LittleEndian.PutUint64(seed[8:], uint64(index))
	_, _ = rand.NewChaCha8(seed).Read(block)
}

// Size implements Content.
func (j joined) Size() int64 { return j.size }

// ReadAt implements io.ReaderAt.
func (j joined) ReadAt(buffer []byte, offset int64) (int, error) {
	if offset < 0 {
		return 0, errors.Newf("offset %d is negative", offset)
	}
	total := 0
	for _, p := range j.parts {
		if offset >= p.Size() {
			offset -= p.Size()
			continue
		}
		want := min(int64(len(buffer)-total), p.Size()-offset)
		n, err := p.ReadAt(buffer[total:total+int(want)], offset)
		total += n
		if int64(n) < want {
			return total, err
		}
		offset = 0
		if total == len(buffer) {
			return total, nil
		}
	}
	if total < len(buffer) {
		return total, io.EOF
	}
	return total, nil
}
