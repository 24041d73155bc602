package fetch

import (
	"context"
	"sync"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/bitset"
	"github.com/mulberryspool/mulberryspool/internal/agent/swarm"
	"github.com/mulberryspool/mulberryspool/internal/peer/rpc"
)

type (
	// connections keeps the control connections to other agents.
	connections struct {
		endpoint *rpc.Endpoint
		limit    int

		mu   sync.Mutex
		open map[string]*connection
		uses uint64
	}

	connection struct {
		// dialing is held while the connection is dialled.
		dialing sync.Mutex
		conn    *rpc.Conn
		// calls and lastUse are guarded by the mutex of connections.
		calls   int
		lastUse uint64
	}
)

// tell exchanges bit sets with another agent.
func (f *Fetcher) tell(ctx context.Context, e swarm.Announce) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := f.Clock.AfterFunc(f.CallTimeout, cancel)
	defer timer.Stop()
	listed, ok := f.instance(e.Instance)
	if !ok {
		f.offer(swarm.AnnounceFailed{Instance: e.Instance})
		return
	}
	var result mulberryspool.ChunksHaveResult
	params := mulberryspool.ChunksHaveParams{Instance: f.Identity.Instance, Manifest: e.Manifest, Have: e.Held}
	if err := f.conns.call(ctx, listed.Control, mulberryspool.MethodChunksHave, params, &result); err != nil {
		f.Logger.Debug().Err(err).Str("step", "tell held chunks").Str("peer", string(e.Instance)).Msg("agent was not reached")
		f.offer(swarm.AnnounceFailed{Instance: e.Instance})
		return
	}
	f.offer(swarm.Have{Instance: e.Instance, Manifest: e.Manifest, Held: bitset.Set(result.Have), Announced: e.Held})
}

func (c *connections) call(ctx context.Context, address, method string, params, result any) error {
	kept := c.acquire(address)
	defer c.release(kept)
	conn, err := kept.dial(ctx, c.endpoint, address)
	if err != nil {
		return err
	}
	if err := conn.Call(ctx, method, params, result); err != nil {
		// A silent connection is not used again; the next call opens a new one.
		conn.Close()
		return err
	}
	return nil
}

// acquire returns the place for a connection. Above the limit, the connection
// that was not used for longest and carries no call is closed.
func (c *connections) acquire(address string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.open[address]
	if kept == nil {
		if len(c.open) >= c.limit {
			c.closeOldest()
		}
		kept = &connection{}
		c.open[address] = kept
	}
	c.uses++
	kept.calls++
	kept.lastUse = c.uses
	return kept
}

func (c *connections) release(kept *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept.calls--
}

func (c *connections) closeOldest() {
	var oldest string
	for address, kept := range c.open {
		if kept.calls == 0 && (oldest == "" || kept.lastUse < c.open[oldest].lastUse) {
			oldest = address
		}
	}
	if oldest != "" {
		c.open[oldest].close()
		delete(c.open, oldest)
	}
}

// closeAll is called when no call is running.
func (c *connections) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, kept := range c.open {
		kept.close()
		delete(c.open, address)
	}
}

func (c *connection) dial(ctx context.Context, endpoint *rpc.Endpoint, address string) (*rpc.Conn, error) {
	c.dialing.Lock()
	defer c.dialing.Unlock()
	if c.conn != nil {
		select {
		case <-c.conn.Done():
		default:
			return c.conn, nil
		}
	}
	conn, err := endpoint.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.conn = conn
	return conn, nil
}

// close is called when no call uses the connection.
func (c *connection) close() {
	if c.conn != nil {
		c.conn.Close()
	}
}
