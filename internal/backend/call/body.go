package call

import (
	"bytes"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

type (
	// body ends with io.EOF only when the answer is complete.
	body struct {
		io.ReadCloser
		// framed is set if the end of the HTTP message shows that it is complete.
		framed bool
		// events is nil for an answer that is not a stream of events.
		events *doneEvent
		err    error
	}

	// doneEvent looks for the event "data: [DONE]" in a stream.
	doneEvent struct {
		// line is the beginning of the current line, which may be cut.
		line []byte
		// named is set after the line of the event, complete after the blank
		// line that ends it.
		named    bool
		complete bool
	}
)

// maxLine is above the length of the line that ends a stream.
const maxLine = 32

var doneLines = [][]byte{[]byte("data: [DONE]"), []byte("data:[DONE]")}

func newBody(response *http.Response, stream bool) io.ReadCloser {
	b := &body{ReadCloser: response.Body, framed: endsByItself(response)}
	if stream {
		b.events = &doneEvent{}
	}
	return b
}

// Read implements io.Reader.
func (b *body) Read(buffer []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(buffer)
	if b.events != nil {
		b.events.read(buffer[:n])
		if b.events.complete {
			// What may follow the last event does not matter.
			b.err = io.EOF
			return n, nil
		}
	}
	if err != nil {
		b.err = b.end(err)
	}
	return n, b.err
}

func (b *body) end(err error) error {
	if !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, err)
	}
	if b.events != nil || !b.framed {
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

func (d *doneEvent) read(data []byte) {
	for len(data) > 0 && !d.complete {
		part, rest, ended := bytes.Cut(data, []byte("\n"))
		if room := maxLine - len(d.line); room > 0 {
			d.line = append(d.line, part[:min(len(part), room)]...)
		}
		if !ended {
			return
		}
		d.endLine(bytes.TrimSuffix(d.line, []byte("\r")))
		d.line = d.line[:0]
		data = rest
	}
}

func (d *doneEvent) endLine(line []byte) {
	switch {
	case len(line) == 0:
		d.complete = d.named
	case bytes.Equal(line, doneLines[0]) || bytes.Equal(line, doneLines[1]):
		d.named = true
	default:
		d.named = false
	}
}
