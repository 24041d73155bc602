// Package sockets opens TCP connections that notice a peer which has gone silent.
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
	// DefaultDialTimeout bounds the opening of a connection; a lost opening
	// packet is sent again after a second, which is too late for a live request.
	DefaultDialTimeout = 800 * time.Millisecond
	// unackedTimeout ends a connection whose peer confirms no bytes.
	unackedTimeout = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount find a silent idle connection
	// within three seconds.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// Dialer opens connections. The zero value is ready for use.
type Dialer struct {
	// Timeout is DefaultDialTimeout when it is 0.
	Timeout time.Duration
	// Impatient connections end with the first probe that is not answered. It
	// is meant for watches, whose news would come too late otherwise.
	Impatient bool
}

// DialContext has the signature that HTTP clients ask for.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	timeout := d.Timeout
	if timeout == 0 {
		timeout = DefaultDialTimeout
	}
	probes := KeepAlive()
	if d.Impatient {
		probes.Count = 1
	}
	dialer := net.Dialer{Timeout: timeout, KeepAliveConfig: probes, Control: endUnacked}
	conn, err := dialer.DialContext(ctx, network, address)
	return conn, mulberryspool.AtStep(err, "dial", address)
}

// KeepAlive is the probing of idle connections, for listeners as well.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

// endUnacked sets the time after which unconfirmed bytes end the connection.
func endUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Wrap(errors.CombineErrors(err, failed), "set TCP_USER_TIMEOUT")
}

// ShortQueue is a listener whose connections hold few unsent bytes, so that
// what is sent in bulk does not delay live traffic on the same link.
type ShortQueue struct {
	net.Listener
	// Bytes bounds what a connection holds.
	Bytes int
}

// Accept implements net.Listener.
func (l ShortQueue) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if stream, ok := conn.(*net.TCPConn); ok {
		if err := stream.SetWriteBuffer(l.Bytes); err != nil {
			conn.Close()
			return nil, mulberryspool.AtStep(err, "limit unsent bytes", conn.RemoteAddr().String())
		}
	}
	return conn, nil
}
