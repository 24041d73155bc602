package process

import (
	"bytes"
	"strings"
	"sync"
)

// tailBytes is the part of the output that is logged when a test fails.
const tailBytes = 4 << 10

// output captures a stream, up to maxOutputBytes.
type output struct {
	mu   sync.Mutex
	data []byte
	// first gets the first whole line.
	first chan string
	sent  bool
}

func newOutput() *output {
	return &output{first: make(chan string, 1)}
}

// Write implements io.Writer.
func (o *output) Write(data []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data = append(o.data, data[:min(len(data), maxOutputBytes-len(o.data))]...)
	if line, _, found := bytes.Cut(o.data, []byte("\n")); found && !o.sent {
		o.sent = true
		o.first <- string(line)
	}
	return len(data), nil
}

// String returns what was captured.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return string(o.data)
}

func (o *output) tail() string {
	text := o.String()
	return strings.TrimSpace(text[max(0, len(text)-tailBytes):])
}
