// Package hlc implements a hybrid logical clock. Its timestamps order a cause
// before its effect, even if the two occur on different instances.
package hlc

import (
	"sync"

	"github.com/mulberryspool/mulberryspool"
)

// Clock generates strictly increasing timestamps. It is safe for concurrent
// use.
type Clock struct {
	// Wall is the physical clock. It must be set before the first use.
	Wall mulberryspool.Clock

	mu   sync.Mutex
	last mulberryspool.Timestamp
}

// Now returns a timestamp above all that Now has returned and Observe has
// received.
func (c *Clock) Now() mulberryspool.Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(c.last)
	return c.last
}

// Observe advances the clock to the timestamp of a received message.
func (c *Clock) Observe(remote mulberryspool.Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(remote) {
		c.advance(remote)
	}
}

// advance sets last to the wall time if that is above floor, otherwise to the
// timestamp that follows floor.
func (c *Clock) advance(floor mulberryspool.Timestamp) {
	wall := c.Wall.Now().UnixNano()
	if wall > floor.Wall {
		c.last = mulberryspool.Timestamp{Wall: wall}
		return
	}
	c.last = mulberryspool.Timestamp{Wall: floor.Wall, Logical: floor.Logical + 1}
}
