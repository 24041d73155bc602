package httpguard

import (
	"bytes"
	"math"
	"strconv"
	"strings"
)

const hexDigits = "0123456789abcdef"

// Parts of a request. After its head come the bytes of a body with a length, or chunks.
const (
	partHead part = iota
	partLength
	partChunkSize
	partChunkData
	partChunkEnd
	partTrailer
	// partUnknown follows bytes that are no request. The HTTP server refuses them.
	partUnknown
)

type (
	part int

	// framing finds where the heads and bodies of a connection's requests end. It changes no
	// bytes: one that it misjudges is still parsed by the HTTP server only.
	framing struct {
		part part
		// lines is the number of complete lines of the head, lineBytes that of the bytes of the
		// current line of a head or trailer, except for a carriage return.
		lines, lineBytes int
		// left is the number of bytes left of the body or chunk, or the size read so far of a
		// chunk.
		left int64
		// sizeRead is set after the digits of a chunk's size.
		sizeRead bool
	}
)

// scanHead returns how many of the bytes belong to the head, and whether it ends with them.
func (f *framing) scanHead(data []byte) (n int, ended bool) {
	for i, b := range data {
		switch b {
		case '\n':
			if f.lineBytes == 0 {
				return i + 1, true
			}
			f.lines++
			f.lineBytes = 0
		case '\r':
		default:
			f.lineBytes++
		}
	}
	return len(data), false
}

// beginBody determines what follows a head, and returns the length of the body; -1 if it isn't
// known.
func (f *framing) beginBody(head []byte) int64 {
	*f = framing{}
	for line := range bytes.Lines(head) {
		name, value, found := bytes.Cut(line, []byte(":"))
		switch {
		case !found:
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			f.part, f.left = partChunkSize, 0
			return -1
		case bytes.EqualFold(name, []byte("Content-Length")):
			if length, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil && length > 0 {
				f.part, f.left = partLength, length
			}
		}
	}
	return f.left
}

// scanBody returns how many of the bytes belong to the body, and whether it ends with them.
func (f *framing) scanBody(data []byte) (n int, ended bool) {
	for n < len(data) {
		switch f.part {
		case partLength, partChunkData:
			m := int(min(f.left, int64(len(data)-n)))
			n, f.left = n+m, f.left-int64(m)
			if f.left > 0 {
				return n, false
			}
			if f.part == partLength {
				*f = framing{}
				return n, true
			}
			f.part = partChunkEnd
		case partUnknown:
			return len(data), false
		default:
			n++
			if f.scanChunkByte(data[n-1]) {
				*f = framing{}
				return n, true
			}
		}
	}
	return n, false
}

// scanChunkByte handles a byte outside the data of chunks, and reports whether the body ends.
func (f *framing) scanChunkByte(b byte) (ended bool) {
	switch {
	case f.part == partChunkSize && b == '\n':
		f.part, f.sizeRead = partChunkData, false
		if f.left == 0 {
			f.part, f.lineBytes = partTrailer, 0
		}
	case f.part == partChunkSize && !f.sizeRead:
		// Upper-case letters differ from lower-case ones, and digits do not, in this bit.
		digit := strings.IndexByte(hexDigits, b|0x20)
		if digit < 0 {
			// An extension of the chunk, or the end of the line.
			f.sizeRead = true
			return false
		}
		if f.left > math.MaxInt64>>8 {
			f.part = partUnknown
			return false
		}
		f.left = f.left<<4 + int64(digit)
	case f.part == partChunkEnd && b == '\n':
		f.part, f.left = partChunkSize, 0
	case f.part == partTrailer && b == '\n':
		if f.lineBytes == 0 {
			return true
		}
		f.lineBytes = 0
	case f.part == partTrailer && b != '\r':
		f.lineBytes++
	}
	return false
}
