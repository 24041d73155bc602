// Package httpguard bounds what the connections of a process's HTTP servers take: memory,
// descriptors and time. It is the listener between the network and net/http.
//
//	bytes --> Listener: Conn.Read --> complete head --> http.Server --> handler --> Conn.Write
//	                        \--> too long, too slow, no memory: refused and closed
//	Run: connections without progress --> closed
//
// The load pattern: clients that nobody controls send heads of very many short fields, which
// take ten times their size and more once net/http has parsed them, bodies that stop before
// their end, many pipelined requests whose responses they don't read, or hardly anything on
// many connections. Each of them may be legal, and their sum ends the process.
//
// A head is held until it is complete, and its cost after parsing is reserved before net/http
// sees it. The bounds may change while connections are open. If the budget or the descriptors
// are used up, the connection that holds the most for the longest time without progress is
// closed first.
package httpguard

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/bodybudget"
	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
)

const (
	// Defaults of the limits that the configuration doesn't name. Deployments that name them
	// allow callers heads of 16 KiB, 3 s for a head, and 15 s of idle time.
	defaultMaxHeadBytes = 64 << 10
	defaultHeadTimeout  = 10 * time.Second
	defaultIdleTimeout  = 2 * time.Minute
	// headSlack is how much longer than its limit a head may be. Callers may count the fields
	// without the request line.
	headSlack = 1 << 10

	// connBytes is the memory of a connection without a request: the buffers and the goroutine
	// of net/http.
	connBytes = 16 << 10
	// lineBytes is the memory of a field of a head beside its own bytes: in the map of net/http,
	// in a copy of it, and in the sorted list by which it is written. The first two were measured
	// as 200 bytes, with fields of 6 bytes.
	lineBytes = 250
	// reserveStep is the step in which memory is reserved for a head that is not complete.
	reserveStep = 4 << 10

	// progressBytes must be sent or taken by a caller in each progressTimeout.
	progressBytes   = 1 << 10
	progressTimeout = 5 * time.Second
	// minStall is the time without progress after which a connection may be closed in favor of
	// another one.
	minStall = 300 * time.Millisecond
	// minIdle is the idle time after which a connection that was used may be closed in favor of
	// another one if none has stalled.
	minIdle = time.Second
	// overtime is how long a connection that is past a time limit is kept, because the limit
	// may have passed while the process had no processor, and the bytes arrived.
	overtime = 500 * time.Millisecond
	// acceptPolls is how often a new connection looks, in intervals of acceptPollInterval,
	// whether another one has ended if there are too many. One that may be closed is closed
	// first, and another one after evictPolls, since that takes a moment.
	acceptPolls        = 500
	evictPolls         = 10
	acceptPollInterval = time.Millisecond
	// sweepInterval is how often the time limits are checked.
	sweepInterval = 100 * time.Millisecond
	// refusalRetryAfter is the Retry-After hint of refusals for want of memory.
	refusalRetryAfter = time.Second
	// lingerTime is how long, and lingerBytes how much, is read after a refusal, because a
	// caller that sends all of its request before it reads would find the connection reset.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20

	// reservedDescriptors is the number of descriptors for files, listeners and connections of
	// the process to its store and peers.
	reservedDescriptors = 200
	// maxDescriptors bounds the descriptors that are used if the settings name no limit.
	maxDescriptors = 10_000

	// logInterval is the minimum interval between two log lines of closed connections.
	logInterval = 100 * time.Millisecond
)

// Errors of reads from a connection that is being closed. Test for them with errors.Is.
var (
	// ErrNoProgress means that the caller has sent nothing, or next to nothing, for too long.
	ErrNoProgress = errors.New("caller makes no progress")
	// ErrNoMemory means that the memory of the connection is needed by others.
	ErrNoMemory = errors.New("no memory for the request")

	errHeadTooLarge = errors.New("head is too large")
	errHeadTooSlow  = errors.New("head took too long")
	errIdle         = errors.New("connection was idle for too long")
	errUnread       = errors.New("caller doesn't read the response")
	errDescriptors  = errors.New("descriptor is needed by another connection")
)

// reasons are those of log lines and counters.
var reasons = map[error]string{
	ErrNoProgress: "bodyStalled", ErrNoMemory: "noMemory", errHeadTooLarge: "headTooLarge", errHeadTooSlow: "headTooSlow",
	errIdle: "idle", errUnread: "responseUnread", errDescriptors: "tooManyConnections",
}

type (
	// Guard holds the connections of all guarded listeners of a process. Set the exported
	// fields before the first call of Listen.
	Guard struct {
		Clock   mulberryspool.Clock
		Budget  *bodybudget.Budget
		Logger  zerolog.Logger
		Metrics tally.Scope
		// SetRefusal sets the headers of a refused request that did not run.
		SetRefusal func(h http.Header, retryAfter time.Duration)
		// Descriptors is the limit of the process's open files and sockets; 0 for that of the
		// operating system.
		Descriptors int

		mu    sync.Mutex
		conns map[*conn]struct{}
		// listeners holds those of Listen.
		listeners []*Listener
		// loggedAt is when a closed connection was logged.
		loggedAt time.Time
	}

	// Listener is a guarded listener. Its connections must be served by a server that was
	// passed to Attach.
	Listener struct {
		net.Listener

		guard *Guard
		name  string
		// maxConns limits its connections.
		maxConns int
		// raw is set if the connections don't carry HTTP.
		raw bool
		// limits holds the limits of callers.
		limits atomic.Pointer[mulberryspool.CallerLimits]
		// connState is that of the server, or nil.
		connState func(net.Conn, http.ConnState)

		// open is the number of its connections. It is guarded by Guard.mu.
		open int
	}
)

// Listen guards a listener for HTTP. Its connections may use a share of the descriptors that
// are not reserved, and of the budget.
func (g *Guard) Listen(inner net.Listener, name string, share float64) *Listener {
	most := g.descriptors() - reservedDescriptors
	if g.Budget.Limit > 0 {
		most = min(most, int(g.Budget.Limit/connBytes))
	}
	l := &Listener{Listener: inner, guard: g, name: name, maxConns: max(1, int(share*float64(most)))}
	l.SetLimits(mulberryspool.CallerLimits{})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners = append(g.listeners, l)
	return l
}

// ListenRaw is Listen for another protocol. Only the number of connections is bounded.
func (g *Guard) ListenRaw(inner net.Listener, name string, share float64) *Listener {
	l := g.Listen(inner, name, share)
	l.raw = true
	return l
}

// Attach makes a server report the states of its connections to the listener, if it is a
// guarded one. Call it before Serve.
func Attach(server *http.Server, listener net.Listener) {
	l, ok := listener.(*Listener)
	if !ok {
		return
	}
	l.connState = server.ConnState
	server.ConnState = func(netConn net.Conn, state http.ConnState) {
		c, ok := netConn.(*conn)
		if !ok {
			return
		}
		if l.connState != nil {
			l.connState(c.Conn, state)
		}
		c.record(state)
	}
}

// SetLimits sets the limits of callers, also for open connections.
func (l *Listener) SetLimits(limits mulberryspool.CallerLimits) {
	limits.MaxHeadBytes = cmp.Or(max(0, limits.MaxHeadBytes), defaultMaxHeadBytes)
	limits.HeadTimeout = cmp.Or(max(0, limits.HeadTimeout), defaultHeadTimeout)
	limits.IdleTimeout = cmp.Or(max(0, limits.IdleTimeout), defaultIdleTimeout)
	l.limits.Store(&limits)
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		netConn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: netConn, listener: l, guard: l.guard, changedAt: l.guard.Clock.Now()}
		if l.guard.add(c) {
			return c, nil
		}
		netConn.Close()
		if l.connState != nil {
			l.connState(netConn, http.StateClosed)
		}
	}
}

// add admits a new connection, in place of another one if there are too many.
func (g *Guard) add(c *conn) bool {
	l := c.listener
	for poll := 0; g.full(l); poll++ {
		// Most connections end soon, and further ones wait in the operating system.
		if poll == acceptPolls {
			g.note(c, errDescriptors)
			return false
		}
		if poll%evictPolls == 0 {
			g.evict(errDescriptors, func(other *conn) bool { return other.listener == l })
		}
		time.Sleep(acceptPollInterval)
	}
	if !g.Budget.Reserve(0, connBytes) {
		g.note(c, ErrNoMemory)
		return false
	}
	c.reserved = connBytes
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conns == nil {
		g.conns = make(map[*conn]struct{})
	}
	g.conns[c] = struct{}{}
	l.open++
	return true
}

// full reports whether a listener has as many connections as it may have.
func (g *Guard) full(l *Listener) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return l.open >= l.maxConns
}

// remove forgets a connection. Further calls have no effect.
func (g *Guard) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, found := g.conns[c]; found {
		delete(g.conns, c)
		c.listener.open--
	}
}

// MakeRoom closes the connection that holds the most memory for the longest time without
// progress, and reports whether there is one. It is a bodybudget.Budget.MakeRoom.
func (g *Guard) MakeRoom() bool { return g.evict(ErrNoMemory, nil) }

// evict closes the connection, among those for which may returns true, that holds the most
// memory for the longest time without progress; if descriptors are needed and none has stalled,
// the one that was idle for the longest time.
func (g *Guard) evict(cause error, may func(*conn) bool) bool {
	now := g.Clock.Now()
	for range 3 {
		var victim *conn
		most := 0.0
		for _, c := range g.list() {
			if may != nil && !may(c) {
				continue
			}
			if weight := c.weight(now, cause); weight > most {
				victim, most = c, weight
			}
		}
		if victim == nil {
			return false
		}
		if victim.fail(cause) {
			return true
		}
	}
	return false
}

func (g *Guard) list() []*conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	conns := make([]*conn, 0, len(g.conns))
	for c := range g.conns {
		conns = append(conns, c)
	}
	return conns
}

// Run closes connections that are past a time limit until the context ends.
func (g *Guard) Run(ctx context.Context) {
	for {
		select {
		case <-g.Clock.After(sweepInterval):
		case <-ctx.Done():
			return
		}
		g.sweep()
	}
}

func (g *Guard) sweep() {
	now := g.Clock.Now()
	for _, c := range g.list() {
		if cause := c.overdue(now); cause != nil {
			c.fail(cause)
		}
	}
	g.Metrics.Gauge("caller_memory_bytes").Update(float64(g.Budget.Used()))
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.listeners {
		g.Metrics.Tagged(map[string]string{"listener": l.name}).Gauge("guarded_connections").Update(float64(l.open))
	}
}

// note counts a refusal or a closed connection, and writes its log line unless there are many.
func (g *Guard) note(c *conn, cause error) {
	reason := reasons[cause]
	g.Metrics.Tagged(map[string]string{"reason": reason, "listener": c.listener.name}).Counter("guarded_connections_closed").Inc(1)
	if errors.Is(cause, errIdle) {
		return
	}
	g.mu.Lock()
	now := g.Clock.Now()
	logs := now.Sub(g.loggedAt) >= logInterval
	if logs {
		g.loggedAt = now
	}
	open := c.listener.open
	g.mu.Unlock()
	if logs {
		g.Logger.Info().Str(logging.FieldPeer, c.RemoteAddr().String()).Str("reason", reason).Str("listener", c.listener.name).
			Int("open", open).Msg("connection was refused or closed to bound what callers take")
	}
}

// descriptors returns the limit of the process's open files and sockets.
func (g *Guard) descriptors() int {
	if g.Descriptors > 0 {
		return g.Descriptors
	}
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < maxDescriptors {
		return int(limit.Cur)
	}
	return maxDescriptors
}
