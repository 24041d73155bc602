package claims

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// page is the content of one shard of the ledger: a gzipped line of JSON per
// claim, oldest change first, each behind the name of its key. Lines are
// decoded only when their key is asked for.
type page struct {
	lines map[string][]byte
	// order holds the names by last change; a name that was changed again
	// appears once more, and only its last place counts.
	order []string
	last  map[string]int
	// raw is the sum of the line lengths.
	raw int
}

// maxLine bounds a line of a page in bytes.
const maxLine = 64 << 10

func newPage() *page {
	return &page{lines: make(map[string][]byte), last: make(map[string]int)}
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
		name, claim, ok := bytes.Cut(line, []byte{' '})
		if !ok {
			return nil, errors.Newf("page of claims has the line %q", line)
		}
		p.put(string(name), bytes.Clone(claim))
	}
	return p, errors.Wrap(scanner.Err(), "read page of claims")
}

func (p *page) encode() ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress page of claims")
	}
	for i, name := range p.order {
		if p.last[name] != i {
			continue
		}
		for _, part := range [][]byte{[]byte(name), {' '}, p.lines[name], {'\n'}} {
			if _, err := writer.Write(part); err != nil {
				return nil, errors.Wrap(err, "compress page of claims")
			}
		}
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress page of claims")
	}
	return buffer.Bytes(), nil
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
	p.put(nameOf(claim.Key), line)
	return nil
}

func (p *page) put(name string, line []byte) {
	p.raw += len(line) - len(p.lines[name])
	p.lines[name] = line
	p.last[name] = len(p.order)
	p.order = append(p.order, name)
}

// expire drops the claims that were last changed before the time.
func (p *page) expire(before time.Time) error {
	dropped := 0
	for i, name := range p.order {
		if p.last[name] == i {
			claim, err := p.get(name)
			if err != nil {
				return err
			}
			if !claim.Changed.Before(before) {
				break
			}
			p.raw -= len(p.lines[name])
			delete(p.lines, name)
			delete(p.last, name)
		}
		dropped = i + 1
	}
	if dropped == 0 {
		return nil
	}
	p.order = p.order[dropped:]
	for name := range p.last {
		p.last[name] -= dropped
	}
	return nil
}

// clone copies the page; lines are never changed in place.
func (p *page) clone() *page {
	c := newPage()
	for i, name := range p.order {
		if p.last[name] == i {
			c.put(name, p.lines[name])
		}
	}
	return c
}
