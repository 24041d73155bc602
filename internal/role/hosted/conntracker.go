package hosted

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// connTracker counts the connections with a request in flight.
type connTracker struct {
	clock mulberryspool.Clock

	mu sync.Mutex
	// active holds the connections with a request in flight.
	active map[net.Conn]struct{}
	// lastNew is when the last connection was accepted.
	lastNew time.Time
}

// record is a http.Server.ConnState.
func (t *connTracker) record(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active == nil {
		t.active = make(map[net.Conn]struct{})
	}
	switch state {
	case http.StateNew:
		t.lastNew = t.clock.Now()
	case http.StateActive:
		t.active[conn] = struct{}{}
	default:
		delete(t.active, conn)
	}
}

// quiet reports whether no request is in flight and no connection was accepted for
// stopQuietTime.
func (t *connTracker) quiet() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.active) == 0 && t.clock.Since(t.lastNew) >= stopQuietTime
}
