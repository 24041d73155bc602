package httpcall

import (
	"bytes"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

type (
	// body is the body of an answer. Read returns io.EOF only if the answer is
	// complete, and an error that wraps io.ErrUnexpectedEOF if it was cut off.
	body struct {
		io.ReadCloser
		// delimited is set if the HTTP message itself marks where it ends.
		delimited bool
		// done is nil if the answer is not a stream that ends with [DONE].
		done *doneScanner
		err  error
	}

	// doneScanner detects the event "data: [DONE]" in a stream of server-sent events.
	doneScanner struct {
		// line holds the first maxLine bytes of the current line.
		line []byte
		// doneLineSeen is set if the previous line was one of doneLines; complete is
		// set after the blank line that ends the event.
		doneLineSeen bool
		complete     bool
	}
)

// maxLine is longer than each of doneLines, so a line that is cut to this length
// never equals one of them.
const maxLine = 32

// doneLines are the two spellings of the last event's line.
var doneLines = [][]byte{[]byte("data: [DONE]"), []byte("data:[DONE]")}

func newBody(response *http.Response, stream bool) io.ReadCloser {
	b := &body{ReadCloser: response.Body, delimited: isDelimited(response)}
	if stream {
		b.done = &doneScanner{}
	}
	return b
}

// Read implements io.Reader.
func (b *body) Read(buffer []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(buffer)
	if b.done != nil {
		b.done.scan(buffer[:n])
		if b.done.complete {
			// Bytes after the last event are ignored.
			b.err = io.EOF
			return n, nil
		}
	}
	if err != nil {
		b.err = b.endError(err)
	}
	return n, b.err
}

// endError returns io.EOF if the body ended at a complete answer.
func (b *body) endError(err error) error {
	if !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, err)
	}
	if b.done != nil || !b.delimited {
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

// scan processes the next bytes of the stream.
func (d *doneScanner) scan(data []byte) {
	for len(data) > 0 && !d.complete {
		part, rest, ended := bytes.Cut(data, []byte("\n"))
		if free := maxLine - len(d.line); free > 0 {
			d.line = append(d.line, part[:min(len(part), free)]...)
		}
		if !ended {
			return
		}
		d.endLine(bytes.TrimSuffix(d.line, []byte("\r")))
		d.line = d.line[:0]
		data = rest
	}
}

// endLine processes a complete line.
func (d *doneScanner) endLine(line []byte) {
	switch {
	case len(line) == 0:
		d.complete = d.doneLineSeen
	case bytes.Equal(line, doneLines[0]) || bytes.Equal(line, doneLines[1]):
		d.doneLineSeen = true
	default:
		d.doneLineSeen = false
	}
}
