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
	// page is the content of the newest object of a shard: gzipped lines of
	// the name of a key and its claim in JSON. Lines are decoded only when
	// their key is asked for.
	page struct {
		// sealed is set when the object is never written again.
		sealed bool
		lines  map[string][]byte
	}

	// segment is a sealed object of a shard. Later objects take precedence.
	segment struct {
		// value is the object as stored; it is decoded when a key may be in it.
		value []byte
		// names holds the XXH64 sums of the keys' names, sorted.
		names []uint64
		// newest is the last change of all claims in it.
		newest time.Time
	}
)

const (
	// maxLine bounds a line of a page in bytes.
	maxLine = 64 << 10
	// sealMark is the first line of a sealed page; no key has this name.
	sealMark = "sealed"
)

func newPage() *page {
	return &page{lines: make(map[string][]byte)}
}

func decodePage(value []byte) (*page, error) {
	reader, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, errors.Wrap(err, "open page of claims")
	}
	text, err := io.ReadAll(reader)
	if err != nil {
		return nil, errors.Wrap(err, "read page of claims")
	}
	p := newPage()
	scanner := bufio.NewScanner(bytes.NewReader(text))
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line := scanner.Bytes()
		if string(line) == sealMark {
			p.sealed = true
			continue
		}
		name, claim, ok := bytes.Cut(line, []byte{' '})
		if !ok {
			return nil, errors.Newf("page of claims has the line %q", line)
		}
		p.lines[string(name)] = bytes.Clone(claim)
	}
	return p, errors.Wrap(scanner.Err(), "read page of claims")
}

func (p *page) encode() ([]byte, error) {
	var text bytes.Buffer
	if p.sealed {
		text.WriteString(sealMark + "\n")
	}
	for _, name := range slices.Sorted(maps.Keys(p.lines)) {
		text.WriteString(name)
		text.WriteByte(' ')
		text.Write(p.lines[name])
		text.WriteByte('\n')
	}
	var packed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress page of claims")
	}
	if _, err := writer.Write(text.Bytes()); err != nil {
		return nil, errors.Wrap(err, "compress page of claims")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress page of claims")
	}
	return packed.Bytes(), nil
}

func (p *page) get(name string) (*Claim, error) {
	line, ok := p.lines[name]
	if !ok {
		return nil, nil
	}
	var claim Claim
	if err := json.Unmarshal(line, &claim); err != nil {
		return nil, errors.Wrapf(err, "decode claim %s", name)
	}
	return &claim, nil
}

func (p *page) set(claim Claim) error {
	line, err := json.Marshal(claim)
	if err != nil {
		return errors.Wrap(err, "encode claim")
	}
	if len(line) > maxLine/2 {
		return errors.Newf("claim of %d bytes is too large", len(line))
	}
	p.lines[nameOf(claim.Key)] = line
	return nil
}

// clone copies the page; lines are never changed in place.
func (p *page) clone() *page {
	return &page{sealed: p.sealed, lines: maps.Clone(p.lines)}
}

// newSegment keeps what a sealed page needs for look-ups.
func newSegment(p *page, value []byte) (*segment, error) {
	s := &segment{value: value}
	for name := range p.lines {
		s.names = append(s.names, xxhash.Sum64String(name))
		claim, err := p.get(name)
		if err != nil {
			return nil, err
		}
		if claim.Changed.After(s.newest) {
			s.newest = claim.Changed
		}
	}
	slices.Sort(s.names)
	return s, nil
}

// mayHold is true for each key in the segment and, rarely, for another one.
func (s *segment) mayHold(name string) bool {
	_, ok := slices.BinarySearch(s.names, xxhash.Sum64String(name))
	return ok
}

func (s *segment) get(name string) (*Claim, error) {
	p, err := decodePage(s.value)
	if err != nil {
		return nil, err
	}
	return p.get(name)
}
