// Package liveness finds out whether a backend server still runs after a connection to it has
// ended.
//
//	answer without length ends --> Checker.Check --> new connection, any answer --> Alive
//	                                    |
//	                                    \--> shared by all answers that ended before it began
//
// The load pattern: the end of a connection is that of a whole answer, or of the process, whose
// connections the kernel closes in any order. Only an answer on a connection that was opened
// afterwards shows that the process has outlived it. The request asks for an instance that is
// not there, so that the server refuses it at once, without one of its slots.
package liveness

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/backend/httpconn"
)

const (
	// timeout limits a check.
	timeout = time.Second
	// gatherTime is how long a check waits for others that it may serve.
	gatherTime = 2 * time.Millisecond
	// closedTime is how long connections that the server closes are replaced, every
	// closedInterval. A process that ends refuses them soon.
	closedTime     = 150 * time.Millisecond
	closedInterval = 50 * time.Millisecond
	// noInstance is the name of no backend server.
	noInstance = "none"
)

// Errors of a check. Test for them with errors.Is.
var (
	// ErrEnded means that the incarnation has ended.
	ErrEnded = errors.New("backend server has ended")
	// ErrUnknown means that it did not answer in time, or closed the connection, which is also
	// what a server does with connections beyond its limit.
	ErrUnknown = errors.New("backend server does not answer")
	// ErrClosed comes with ErrUnknown. It means that the server kept accepting connections for
	// closedTime, and closed each of them without an answer.
	ErrClosed = errors.New("connection was closed without an answer")
)

type (
	// Checker checks backend servers. Set the exported fields before the first call.
	Checker struct {
		Clock       mulberryspool.Clock
		Pool        *httpconn.Pool
		HeaderCodec mulberryspool.HeaderCodec

		mu sync.Mutex
		// next holds the check of each target that has not begun.
		next map[httpconn.Target]*check
	}

	check struct {
		done chan struct{}
		// err is set before done is closed.
		err error
	}
)

// Check returns nil if the incarnation of the backend server answers on a connection that is
// opened after the call, and ErrEnded or ErrUnknown otherwise, or the error of the context.
func (c *Checker) Check(ctx context.Context, target httpconn.Target) error {
	k := c.join(target)
	select {
	case <-k.done:
		return k.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join returns the next check of a target.
func (c *Checker) join(target httpconn.Target) *check {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.next[target]; k != nil {
		return k
	}
	if c.next == nil {
		c.next = make(map[httpconn.Target]*check)
	}
	k := &check{done: make(chan struct{})}
	c.next[target] = k
	go c.run(target, k)
	return k
}

func (c *Checker) run(target httpconn.Target, k *check) {
	defer close(k.done)
	c.Clock.Sleep(gatherTime)
	c.mu.Lock()
	delete(c.next, target)
	c.mu.Unlock()
	ctx, cancel := clockwork.WithTimeout(context.Background(), c.Clock, timeout)
	defer cancel()
	k.err = c.ask(ctx, target)
	for end := c.Clock.Now().Add(closedTime); errors.Is(k.err, ErrClosed) && c.Clock.Now().Before(end); k.err = c.ask(ctx, target) {
		c.Clock.Sleep(closedInterval)
	}
	var network net.Error
	switch {
	case k.err == nil:
	case errors.Is(k.err, ErrClosed) || ctx.Err() != nil || errors.As(k.err, &network) && network.Timeout():
		k.err = errors.Mark(k.err, ErrUnknown)
	default:
		k.err = errors.Mark(k.err, ErrEnded)
	}
}

// ask sends a request and waits for the head of any answer.
func (c *Checker) ask(ctx context.Context, target httpconn.Target) error {
	conn, err := c.Pool.Open(ctx, target)
	switch {
	case errors.Is(err, syscall.ECONNRESET):
		return errors.Mark(err, ErrClosed)
	case err != nil:
		return err
	}
	defer conn.Abort()
	defer conn.InterruptOnDone(ctx)()
	head := make(http.Header)
	c.HeaderCodec.PrepareRequest(head, mulberryspool.OutgoingHead{Instance: noInstance, Remaining: timeout})
	if err := conn.Send(httpconn.Head(http.MethodGet, "/", target.Address, head), nil, c.Clock.Now().Add(timeout)); err != nil {
		return errors.Mark(err, ErrClosed)
	}
	answer, err := conn.Receive(http.MethodGet, "")
	switch {
	case errors.Is(err, httpconn.ErrAnswerLost):
		return errors.Mark(err, ErrClosed)
	case err != nil:
		return err
	}
	defer answer.Body.Close()
	if got := answer.Head.Instance; got != "" && got != target.Instance {
		return errors.Newf("instance %s answers at its address", got)
	}
	return nil
}
