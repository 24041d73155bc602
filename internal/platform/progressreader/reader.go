// Package progressreader reports the bytes of a body as they arrive, so that a slow read can
// be told from one that has stalled.
package progressreader

import "io"

// Reader is a reader that reports what it has read.
type Reader struct {
	io.Reader
	// Received is called with the number of bytes of each read that returned some; nil for
	// never.
	Received func(count int)
}

// Read implements io.Reader.
func (r Reader) Read(buffer []byte) (int, error) {
	n, err := r.Reader.Read(buffer)
	if n > 0 && r.Received != nil {
		r.Received(n)
	}
	return n, err
}
