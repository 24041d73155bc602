// Package sockets opens TCP connections that detect an unreachable peer by
// keep-alive probes and TCP_USER_TIMEOUT.
package sockets

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// DefaultDialTimeout limits the opening of a connection. It is shorter than
	// the retransmission of a lost SYN after one second, which would be too late
	// for a live request.
	DefaultDialTimeout = 800 * time.Millisecond
	// userTimeout is how long sent data may stay unacknowledged before the
	// connection is closed.
	userTimeout = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount detect the loss of an idle
	// connection within three seconds.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// Dialer opens connections. The zero value is ready for use.
type Dialer struct {
	// Timeout limits the opening of a connection; 0 means DefaultDialTimeout.
	Timeout time.Duration
	// SingleProbe closes a connection after the first unanswered keep-alive
	// probe. It is meant for watches, whose changes would arrive too late otherwise.
	SingleProbe bool
}

// DialContext opens a connection. It has the signature of
// http.Transport.DialContext.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	timeout := d.Timeout
	if timeout == 0 {
		timeout = DefaultDialTimeout
	}
	probes := KeepAlive()
	if d.SingleProbe {
		probes.Count = 1
	}
	dialer := net.Dialer{Timeout: timeout, KeepAliveConfig: probes, Control: setUserTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	return conn, mulberryspool.AtStep(err, "dial", address)
}

// KeepAlive returns the keep-alive settings of all connections. Listeners use
// them as well.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

// setUserTimeout sets TCP_USER_TIMEOUT to userTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Wrap(errors.CombineErrors(err, failed), "set TCP_USER_TIMEOUT")
}

// LimitedBufferListener is a listener whose connections have a small write
// buffer, so that bulk transfers do not delay live traffic on the same link.
type LimitedBufferListener struct {
	net.Listener
	// BufferBytes is the size of a connection's write buffer.
	BufferBytes int
}

// Accept implements net.Listener.
func (l LimitedBufferListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if stream, ok := conn.(*net.TCPConn); ok {
		if err := stream.SetWriteBuffer(l.BufferBytes); err != nil {
			conn.Close()
			return nil, mulberryspool.AtStep(err, "set write buffer size", conn.RemoteAddr().String())
		}
	}
	return conn, nil
}
