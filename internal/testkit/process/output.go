package process

import (
	"bytes"
	"strings"
	"sync"
)

// tailBytes is how much of the end of the output is logged when a test fails.
const tailBytes = 4 << 10

// output captures the first maxOutputBytes of a stream.
type output struct {
	mu   sync.Mutex
	data []byte
	// firstLine receives the first complete line.
	firstLine     chan string
	firstLineSent bool
}

func newOutput() *output {
	return &output{firstLine: make(chan string, 1)}
}

// Write implements io.Writer.
func (o *output) Write(data []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data = append(o.data, data[:min(len(data), maxOutputBytes-len(o.data))]...)
	if line, _, found := bytes.Cut(o.data, []byte("\n")); found && !o.firstLineSent {
		o.firstLineSent = true
		o.firstLine <- string(line)
	}
	return len(data), nil
}

// String returns the captured output.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return string(o.data)
}

// tail returns the last tailBytes of the captured output.
func (o *output) tail() string {
	text := o.String()
	return strings.TrimSpace(text[max(0, len(text)-tailBytes):])
}
