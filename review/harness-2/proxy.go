package main

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// windowBytes is the size of the windows of a link.
const windowBytes = 64 << 10

// proxy stands for a link. It passes bytes on in both directions. While the link is cut, it
// holds them back, and the ends of connections too, as a partition does.
type proxy struct {
	address, target string

	mu   sync.Mutex
	open chan struct{}
	// conns holds the callers' ends of the connections.
	conns map[*net.TCPConn]struct{}
}

func newProxy(address, target string) (*proxy, error) {
	// Small windows, so that a peer that doesn't read blocks the writer.
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{address: address, target: target, open: make(chan struct{}), conns: make(map[*net.TCPConn]struct{})}
	close(p.open)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.relay(conn.(*net.TCPConn))
		}
	}()
	return p, nil
}

// cut begins a partition, heal ends it.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = make(chan struct{})
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.open)
}

// reset resets all connections on the link.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		_ = conn.SetLinger(0)
		conn.Close()
	}
}

// wait returns when the link is not cut.
func (p *proxy) wait() {
	for {
		p.mu.Lock()
		open := p.open
		p.mu.Unlock()
		<-open
		p.mu.Lock()
		same := open == p.open
		p.mu.Unlock()
		if same {
			return
		}
	}
}

func (p *proxy) relay(from *net.TCPConn) {
	defer from.Close()
	p.mu.Lock()
	p.conns[from] = struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, from)
	}()
	p.wait()
	// The target sees the address of the machine.
	machine, _, _ := net.SplitHostPort(p.address)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(machine)}}
	conn, err := dialer.Dial("tcp", p.target)
	if err != nil {
		// The port has no listener, which resets the connection.
		_ = from.SetLinger(0)
		return
	}
	to := conn.(*net.TCPConn)
	_ = to.SetWriteBuffer(windowBytes)
	defer to.Close()
	var both sync.WaitGroup
	both.Go(func() { p.copy(to, from) })
	both.Go(func() { p.copy(from, to) })
	both.Wait()
}

// copy passes bytes on, and then the end of the connection: a reset as a reset, and any other
// end as it came.
func (p *proxy) copy(to, from *net.TCPConn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.wait()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.SetLinger(0)
				from.Close()
				return
			}
		}
		if err == nil {
			continue
		}
		if err.Error() == "EOF" {
			_ = to.CloseWrite()
			return
		}
		_ = to.SetLinger(0)
		to.Close()
		return
	}
}
