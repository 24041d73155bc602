package claims

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

type (
	// segment is the content of one object of a shard. It is stored as gzipped
	// lines of a key's name, a space and the claim in JSON. A claim is decoded
	// only when its key is looked up.
	segment struct {
		// sealed is set once the object is never written again.
		sealed bool
		lines  map[string][]byte
	}

	// sealedSegment is the look-up index of a sealed object. If several
	// segments contain a key, the one with the highest number is valid.
	sealedSegment struct {
		// value is the encoded object; it is decoded only if it may contain
		// the requested key.
		value []byte
		// nameHashes holds the sorted XXH64 hashes of the keys' names.
		nameHashes []uint64
		// lastChange is the time of the latest change among the claims.
		lastChange time.Time
	}
)

const (
	// maxLineBytes limits the length of an encoded line.
	maxLineBytes = 64 << 10
	// sealedLine is the first line of a sealed segment; no key has this name.
	sealedLine = "sealed"
)

func newSegment() *segment {
	return &segment{lines: make(map[string][]byte)}
}

func decodeSegment(value []byte) (*segment, error) {
	reader, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, errors.Wrap(err, "open gzip stream of claims segment")
	}
	text, err := io.ReadAll(reader)
	if err != nil {
		return nil, errors.Wrap(err, "decompress claims segment")
	}
	decoded := newSegment()
	scanner := bufio.NewScanner(bytes.NewReader(text))
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line := scanner.Bytes()
		if string(line) == sealedLine {
			decoded.sealed = true
			continue
		}
		name, claim, ok := bytes.Cut(line, []byte{' '})
		if !ok {
			return nil, errors.Newf("claims segment has malformed line %q", line)
		}
		decoded.lines[string(name)] = bytes.Clone(claim)
	}
	return decoded, errors.Wrap(scanner.Err(), "read lines of claims segment")
}

func (s *segment) encode() ([]byte, error) {
	var text bytes.Buffer
	if s.sealed {
		text.WriteString(sealedLine + "\n")
	}
	for _, name := range slices.Sorted(maps.Keys(s.lines)) {
		text.WriteString(name)
		text.WriteByte(' ')
		text.Write(s.lines[name])
		text.WriteByte('\n')
	}
	var packed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress claims segment")
	}
	if _, err := writer.Write(text.Bytes()); err != nil {
		return nil, errors.Wrap(err, "compress claims segment")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress claims segment")
	}
	return packed.Bytes(), nil
}

func (s *segment) get(name string) (*Claim, error) {
	line, ok := s.lines[name]
	if !ok {
		return nil, nil
	}
	var claim Claim
	if err := json.Unmarshal(line, &claim); err != nil {
		return nil, errors.Wrapf(err, "decode claim %s", name)
	}
	return &claim, nil
}

func (s *segment) set(claim Claim) error {
	line, err := json.Marshal(claim)
	if err != nil {
		return errors.Wrap(err, "encode claim")
	}
	if len(line) > maxLineBytes/2 {
		return errors.Newf("encoded claim of %d bytes is too large", len(line))
	}
	s.lines[keyName(claim.Key)] = line
	return nil
}

// clone returns a copy that shares the lines, which are never modified in place.
func (s *segment) clone() *segment {
	return &segment{sealed: s.sealed, lines: maps.Clone(s.lines)}
}

// newSealedSegment builds the look-up index of a sealed segment; value is its
// encoded form.
func newSealedSegment(decoded *segment, value []byte) (*sealedSegment, error) {
	s := &sealedSegment{value: value}
	for name := range decoded.lines {
		s.nameHashes = append(s.nameHashes, xxhash.Sum64String(name))
		claim, err := decoded.get(name)
		if err != nil {
			return nil, err
		}
		if claim.ChangedAt.After(s.lastChange) {
			s.lastChange = claim.ChangedAt
		}
	}
	slices.Sort(s.nameHashes)
	return s, nil
}

// mayContain returns true for every key in the segment and, on a hash
// collision, for a key that is not in it.
func (s *sealedSegment) mayContain(name string) bool {
	_, ok := slices.BinarySearch(s.nameHashes, xxhash.Sum64String(name))
	return ok
}

func (s *sealedSegment) get(name string) (*Claim, error) {
	decoded, err := decodeSegment(s.value)
	if err != nil {
		return nil, err
	}
	return decoded.get(name)
}
