// Package faultproxy puts TCP faults between a client and a server in tests.
//
//	client --> Proxy.Address --> [held, refused] --> connection --> target
//	                             each direction: silent, delayed, rate-limited, cut
package faultproxy

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// Direction is one or both ways through the proxy.
type Direction int

// Directions.
const (
	// ToTarget is from the client to the target.
	ToTarget Direction = 1 << iota
	// ToClient is from the target to the client.
	ToClient
	// Both is both ways.
	Both = ToTarget | ToClient
)

const (
	blockBytes  = 16 << 10
	dialTimeout = 5 * time.Second
)

type (
	// Proxy forwards TCP connections to one target. Its methods may be called
	// at any time.
	Proxy struct {
		target   string
		listener net.Listener
		ctx      context.Context
		cancel   context.CancelFunc
		running  sync.WaitGroup

		mu    sync.Mutex
		links map[*link]struct{}
		held  []net.Conn
		state state
	}

	// state applies to connections that are accepted later and, for delay
	// and limits, to established ones as well.
	state struct {
		refuse bool
		silent Direction
		delay  [3]time.Duration
		limits [3]*rate.Limiter
		// cutAnswers is how many connections are cut when bytes come from the target.
		cutAnswers int
		// hold is how many connections are kept back to be reordered.
		hold int
	}

	// link is an established connection.
	link struct {
		proxy          *Proxy
		client, target net.Conn
		// stop is closed when the link ends.
		stop chan struct{}
		once sync.Once
		// The rest is guarded by the proxy's lock.
		silent Direction
		// ended counts the directions that ended in the usual way.
		ended int
	}
)

// Start listens on a free port of 127.0.0.1 and forwards to the target.
func Start(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &Proxy{target: target, listener: listener, links: make(map[*link]struct{})}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.running.Go(p.accept)
	return p, nil
}

// Address returns the IP address and port for clients.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// Close ends all connections and waits until nothing is forwarded any more.
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
	return len(p.links)
}

// Cut resets all established connections.
func (p *Proxy) Cut() {
	p.mu.Lock()
	links := make([]*link, 0, len(p.links))
	for l := range p.links {
		links = append(links, l)
	}
	p.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

// Refuse resets connections as they arrive, until it is called with false.
func (p *Proxy) Refuse(refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.refuse = refuse
}

// Stall makes all established connections silent permanently in a direction,
// without closing them. New connections work.
func (p *Proxy) Stall(direction Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.silent |= direction
	}
}

// StallNew makes connections that are accepted from now on silent in a
// direction; 0 ends this for later ones.
func (p *Proxy) StallNew(direction Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.silent = direction
}

// Delay holds bytes back in a direction, on all connections.
func (p *Proxy) Delay(direction Direction, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range []Direction{ToTarget, ToClient} {
		if direction&d != 0 {
			p.state.delay[d] = delay
		}
	}
}

// NewLimit returns a limit in bytes a second for Proxy.Limit.
func NewLimit(bytesPerSecond int64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(bytesPerSecond), blockBytes)
}

// Limit sets the rate of a direction for all connections together; nil is
// unlimited. Proxies that share a limit share a link.
func (p *Proxy) Limit(direction Direction, limit *rate.Limiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range []Direction{ToTarget, ToClient} {
		if direction&d != 0 {
			p.state.limits[d] = limit
		}
	}
}

// CutAnswers cuts the next n connections, established or not, on which bytes
// come from the target. The bytes are lost; the request was delivered.
func (p *Proxy) CutAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.cutAnswers = n
}

// Reorder keeps the next n connections back until all of them are there, and
// then connects the last one first. Bytes within a connection keep their order.
func (p *Proxy) Reorder(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.hold = n
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.admit(conn)
	}
}

func (p *Proxy) admit(conn net.Conn) {
	p.mu.Lock()
	if p.state.refuse || p.ctx.Err() != nil {
		p.mu.Unlock()
		reset(conn)
		return
	}
	batch := []net.Conn{conn}
	if p.state.hold > 0 {
		p.held = append(p.held, conn)
		if len(p.held) < p.state.hold {
			p.mu.Unlock()
			return
		}
		batch, p.held, p.state.hold = p.held, nil, 0
	}
	p.mu.Unlock()
	if len(batch) == 1 {
		p.running.Go(func() { p.connect(batch[0]) })
		return
	}
	// Dialling one after the other keeps the reversed order.
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
	l := &link{proxy: p, client: client, target: target, stop: make(chan struct{})}
	p.mu.Lock()
	l.silent = p.state.silent
	p.links[l] = struct{}{}
	closing := p.ctx.Err() != nil
	p.mu.Unlock()
	if closing {
		l.close()
		return
	}
	p.running.Go(func() { l.forward(ToTarget, client, target) })
	p.running.Go(func() { l.forward(ToClient, target, client) })
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}
