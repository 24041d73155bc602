package local

import (
	"io"
	"sync"
)

// synchronized lets the logs of many roles share a writer.
type synchronized struct {
	mu  sync.Mutex
	out io.Writer
}

// Write writes one log line.
func (s *synchronized) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(line)
}
