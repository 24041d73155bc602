// Package faultproxy is a TCP proxy that injects network faults between a
// client and a server in tests.
//
//	client --> Proxy.Address --> [refused, held for reordering] --> connection --> target
//	                             each direction: stalled, delayed, rate-limited, cut
package faultproxy

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// Direction is a bit set of the two directions through the proxy.
type Direction int

// Directions.
const (
	// ToTarget is the direction from the client to the target.
	ToTarget Direction = 1 << iota
	// ToClient is the direction from the target to the client.
	ToClient
	// Both selects both directions.
	Both = ToTarget | ToClient
)

const (
	// blockBytes is the read size and the burst of a rate limit.
	blockBytes  = 16 << 10
	dialTimeout = 5 * time.Second
)

type (
	// Proxy forwards TCP connections to one target. Its methods are safe for
	// concurrent use.
	Proxy struct {
		target   string
		listener net.Listener
		ctx      context.Context
		cancel   context.CancelFunc
		running  sync.WaitGroup

		mu          sync.Mutex
		connections map[*connection]struct{}
		// held are accepted connections that wait to be reordered.
		held   []net.Conn
		faults faults
	}

	// faults apply to connections accepted from now on. delay, limits and
	// cutAnswers apply to established connections as well.
	faults struct {
		refuse   bool
		stallNew Direction
		delay    [3]time.Duration
		limits   [3]*rate.Limiter
		// cutAnswers is the number of connections that are still to be cut when
		// data arrives from the target.
		cutAnswers int
		// reorder is the number of connections to hold back and reorder; 0 is none.
		reorder int
	}

	// connection joins an accepted client connection to one to the target.
	connection struct {
		proxy          *Proxy
		client, target net.Conn
		// stop is closed when the connection ends.
		stop      chan struct{}
		closeOnce sync.Once
		// The fields below are guarded by proxy.mu.
		stalled Direction
		// endedDirections counts the directions that ended with EOF.
		endedDirections int
	}
)

// Start starts a proxy to the target on a free port of 127.0.0.1.
func Start(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &Proxy{target: target, listener: listener, connections: make(map[*connection]struct{})}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.running.Go(p.accept)
	return p, nil
}

// Address returns the host:port that clients connect to.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// Close closes the listener and all connections, and waits for the goroutines.
func (p *Proxy) Close() {
	p.cancel()
	p.listener.Close()
	p.mu.Lock()
	held := p.held
	p.held = nil
	p.mu.Unlock()
	for _, conn := range held {
		conn.Close()
	}
	p.Cut()
	p.running.Wait()
}

// Connections returns the number of established connections.
func (p *Proxy) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.connections)
}

// Cut resets all established connections.
func (p *Proxy) Cut() {
	p.mu.Lock()
	connections := make([]*connection, 0, len(p.connections))
	for c := range p.connections {
		connections = append(connections, c)
	}
	p.mu.Unlock()
	for _, c := range connections {
		c.close()
	}
}

// Refuse sets whether new connections are reset when they are accepted.
func (p *Proxy) Refuse(refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.refuse = refuse
}

// Stall permanently stops forwarding in a direction on all established
// connections, without closing them. New connections are not affected.
func (p *Proxy) Stall(direction Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		c.stalled |= direction
	}
}

// StallNew stops forwarding in a direction on connections accepted from now
// on; 0 turns this off for later connections.
func (p *Proxy) StallNew(direction Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.stallNew = direction
}

// Delay sets the latency added to a direction on all connections.
func (p *Proxy) Delay(direction Direction, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range []Direction{ToTarget, ToClient} {
		if direction&d != 0 {
			p.faults.delay[d] = delay
		}
	}
}

// NewLimit returns a limiter in bytes per second for Proxy.Limit.
func NewLimit(bytesPerSecond int64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(bytesPerSecond), blockBytes)
}

// Limit sets the total rate of a direction over all connections; nil is
// unlimited. Proxies that use the same limiter share its bandwidth.
func (p *Proxy) Limit(direction Direction, limit *rate.Limiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range []Direction{ToTarget, ToClient} {
		if direction&d != 0 {
			p.faults.limits[d] = limit
		}
	}
}

// CutAnswers resets the next n connections, established or new, as soon as data
// arrives from the target. That data is lost; the request was delivered.
func (p *Proxy) CutAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.cutAnswers = n
}

// Reorder holds the next n connections until all have been accepted, and then
// connects them to the target in reverse order. The order of bytes within a
// connection does not change.
func (p *Proxy) Reorder(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.reorder = n
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.handleConn(conn)
	}
}

func (p *Proxy) handleConn(conn net.Conn) {
	p.mu.Lock()
	if p.faults.refuse || p.ctx.Err() != nil {
		p.mu.Unlock()
		reset(conn)
		return
	}
	batch := []net.Conn{conn}
	if p.faults.reorder > 0 {
		p.held = append(p.held, conn)
		if len(p.held) < p.faults.reorder {
			p.mu.Unlock()
			return
		}
		batch, p.held, p.faults.reorder = p.held, nil, 0
	}
	p.mu.Unlock()
	if len(batch) == 1 {
		p.running.Go(func() { p.connect(batch[0]) })
		return
	}
	// Dial sequentially, so that the target accepts them in reverse order.
	for i := len(batch) - 1; i >= 0; i-- {
		p.connect(batch[i])
	}
}

func (p *Proxy) connect(client net.Conn) {
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(p.ctx, "tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	c := &connection{proxy: p, client: client, target: target, stop: make(chan struct{})}
	p.mu.Lock()
	c.stalled = p.faults.stallNew
	p.connections[c] = struct{}{}
	closing := p.ctx.Err() != nil
	p.mu.Unlock()
	if closing {
		c.close()
		return
	}
	p.running.Go(func() { c.forward(ToTarget, client, target) })
	p.running.Go(func() { c.forward(ToClient, target, client) })
}

// reset closes a connection with RST rather than FIN.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}
