package faultproxy

import (
	"bytes"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// maxQueuedBlocks limits the blocks queued in one direction. A longer queue
// would hide the backpressure of a rate-limited connection from the sender.
const maxQueuedBlocks = 32

// block is data read from one side, with the time from which it may be written
// to the other.
type block struct {
	data      []byte
	deliverAt time.Time
	eof       bool
}

// forward reads one direction until the connection ends and queues the data
// for deliver. When the direction is stalled, it stops reading but keeps the
// connection open, like a network that drops all packets.
func (c *connection) forward(direction Direction, from, to net.Conn) {
	blocks := make(chan block, maxQueuedBlocks)
	c.proxy.running.Go(func() { c.deliver(direction, to, blocks) })
	defer close(blocks)
	buffer := make([]byte, blockBytes)
	for {
		n, err := from.Read(buffer)
		stalled, delay := c.currentFaults(direction)
		if stalled {
			<-c.stop
			return
		}
		if n > 0 && direction == ToClient && c.consumeCut() {
			c.close()
			return
		}
		if err != nil && !errors.Is(err, io.EOF) {
			c.close()
			return
		}
		deliverAt := time.Now().Add(delay)
		select {
		case blocks <- block{data: bytes.Clone(buffer[:n]), deliverAt: deliverAt, eof: err != nil}:
		case <-c.stop:
			return
		}
		if err != nil {
			return
		}
	}
}

// currentFaults returns the faults that apply to a direction now.
func (c *connection) currentFaults(direction Direction) (stalled bool, delay time.Duration) {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.stalled&direction != 0, p.faults.delay[direction]
}

// consumeCut reports whether this connection is to be cut by CutAnswers, and
// counts it.
func (c *connection) consumeCut() bool {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.cutAnswers == 0 {
		return false
	}
	p.faults.cutAnswers--
	return true
}

// deliver writes queued blocks to the other side, after delay and rate limit.
func (c *connection) deliver(direction Direction, to net.Conn, blocks <-chan block) {
	for b := range blocks {
		if !c.awaitDelivery(direction, b) {
			return
		}
		if stalled, _ := c.currentFaults(direction); stalled {
			<-c.stop
			return
		}
		if len(b.data) > 0 {
			if _, err := to.Write(b.data); err != nil {
				c.close()
				return
			}
		}
		if b.eof {
			c.finishDirection(to)
			return
		}
	}
}

// awaitDelivery waits until the delay has passed and the rate limit permits the
// block. It returns false if the connection ends first.
func (c *connection) awaitDelivery(direction Direction, b block) bool {
	c.proxy.mu.Lock()
	limiter := c.proxy.faults.limits[direction]
	c.proxy.mu.Unlock()
	wait := time.Until(b.deliverAt)
	var reservation *rate.Reservation
	if limiter != nil && len(b.data) > 0 {
		reservation = limiter.ReserveN(time.Now(), len(b.data))
		wait = max(wait, reservation.Delay())
	}
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.stop:
	}
	if reservation != nil {
		reservation.Cancel()
	}
	return false
}

// finishDirection half-closes the other side after EOF, and closes the
// connection once both directions have ended.
func (c *connection) finishDirection(to net.Conn) {
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	c.proxy.mu.Lock()
	c.endedDirections++
	both := c.endedDirections == 2
	c.proxy.mu.Unlock()
	if both {
		c.close()
	}
}

// close resets the TCP connections on both sides.
func (c *connection) close() {
	c.closeOnce.Do(func() {
		close(c.stop)
		reset(c.client)
		reset(c.target)
		c.proxy.mu.Lock()
		delete(c.proxy.connections, c)
		c.proxy.mu.Unlock()
	})
}
