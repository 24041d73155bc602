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
	// connPool holds the control connections to other agents.
	connPool struct {
		endpoint *rpc.Endpoint
		limit    int

		mu       sync.Mutex
		conns    map[string]*pooledConn
		useCount uint64
	}

	pooledConn struct {
		// dialMu is held while the connection is dialed.
		dialMu sync.Mutex
		conn   *rpc.Conn
		// activeCalls and lastUse are guarded by the mutex of connPool.
		activeCalls int
		lastUse     uint64
	}
)

// announce exchanges the sets of held chunks with another agent.
func (f *Fetcher) announce(ctx context.Context, e swarm.Announce) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := f.Clock.AfterFunc(f.CallTimeout, cancel)
	defer timer.Stop()
	listed, ok := f.instance(e.Instance)
	if !ok {
		f.trySend(swarm.AnnounceFailed{Instance: e.Instance})
		return
	}
	var result mulberryspool.ChunksHaveResult
	params := mulberryspool.ChunksHaveParams{Instance: f.Identity.Instance, Manifest: e.Manifest, Have: e.Held}
	if err := f.controlConns.call(ctx, listed.Control, mulberryspool.MethodChunksHave, params, &result); err != nil {
		f.Logger.Debug().Err(err).Str("step", "exchange held chunks").Str("peer", string(e.Instance)).Msg("chunks.have call failed")
		f.trySend(swarm.AnnounceFailed{Instance: e.Instance})
		return
	}
	f.trySend(swarm.Have{Instance: e.Instance, Manifest: e.Manifest, Held: bitset.Set(result.Have), Announced: e.Held})
}

func (c *connPool) call(ctx context.Context, address, method string, params, result any) error {
	pooled := c.acquire(address)
	defer c.release(pooled)
	conn, err := pooled.dial(ctx, c.endpoint, address)
	if err != nil {
		return err
	}
	if err := conn.Call(ctx, method, params, result); err != nil {
		// The connection may be dead, so it is closed after any failed call. The next
		// call opens a new one.
		conn.Close()
		return err
	}
	return nil
}

// acquire returns the entry for an address and marks it as used. If the pool is
// full, it closes the least recently used connection without a running call.
func (c *connPool) acquire(address string) *pooledConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	pooled := c.conns[address]
	if pooled == nil {
		if len(c.conns) >= c.limit {
			c.evictIdle()
		}
		pooled = &pooledConn{}
		c.conns[address] = pooled
	}
	c.useCount++
	pooled.activeCalls++
	pooled.lastUse = c.useCount
	return pooled
}

func (c *connPool) release(pooled *pooledConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pooled.activeCalls--
}

func (c *connPool) evictIdle() {
	var oldest string
	for address, pooled := range c.conns {
		if pooled.activeCalls == 0 && (oldest == "" || pooled.lastUse < c.conns[oldest].lastUse) {
			oldest = address
		}
	}
	if oldest != "" {
		c.conns[oldest].close()
		delete(c.conns, oldest)
	}
}

// closeAll closes all connections. No call may be running.
func (c *connPool) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, pooled := range c.conns {
		pooled.close()
		delete(c.conns, address)
	}
}

func (c *pooledConn) dial(ctx context.Context, endpoint *rpc.Endpoint, address string) (*rpc.Conn, error) {
	c.dialMu.Lock()
	defer c.dialMu.Unlock()
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

// close closes the connection, if any. No call may be using it.
func (c *pooledConn) close() {
	if c.conn != nil {
		c.conn.Close()
	}
}
