package local

import (
	"io"
	"sync"
)

// lockedWriter serializes the writes of several loggers to one writer.
type lockedWriter struct {
	mu  sync.Mutex
	out io.Writer
}

// Write implements io.Writer.
func (s *lockedWriter) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(line)
}
