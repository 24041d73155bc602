// Package hlc implements a hybrid logical clock, which stamps events so that
// a cause sorts before its effect on any instance.
package hlc

import (
	"sync"

	"github.com/mulberryspool/mulberryspool"
)

// Clock gives out rising timestamps. It is safe for concurrent use.
type Clock struct {
	// Wall is set before the first use.
	Wall mulberryspool.Clock

	mu   sync.Mutex
	last mulberryspool.Timestamp
}

// Now returns a timestamp above all that Now returned or Observe was given.
func (c *Clock) Now() mulberryspool.Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(c.last)
	return c.last
}

// Observe takes over the timestamp of a received message.
func (c *Clock) Observe(remote mulberryspool.Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(remote) {
		c.advance(remote)
	}
}

// advance sets last above floor, and to the wall time if that is higher.
func (c *Clock) advance(floor mulberryspool.Timestamp) {
	wall := c.Wall.Now().UnixNano()
	if wall > floor.Wall {
		c.last = mulberryspool.Timestamp{Wall: wall}
		return
	}
	c.last = mulberryspool.Timestamp{Wall: floor.Wall, Logical: floor.Logical + 1}
}
