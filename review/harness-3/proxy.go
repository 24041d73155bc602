package main

import (
	"io"
	"net"
	"sync"
)

// link is a proxy between the entries and one server. While it is cut it holds what either
// side sends, the end of a connection included, and opens no connection to the server; it
// delivers all of it when it has healed.
type link struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	healed *sync.Cond
	isCut  bool
}

func newLink(address, target string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target}
	l.healed = sync.NewCond(&l.mu)
	go l.run()
	return l, nil
}

func (l *link) cut(isCut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = isCut
	l.healed.Broadcast()
}

func (l *link) await() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.isCut {
		l.healed.Wait()
	}
}

func (l *link) run() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(conn.(*net.TCPConn))
	}
}

func (l *link) serve(caller *net.TCPConn) {
	l.await()
	conn, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = caller.SetLinger(0)
		_ = caller.Close()
		return
	}
	server := conn.(*net.TCPConn)
	var both sync.WaitGroup
	both.Go(func() { l.copy(server, caller) })
	both.Go(func() { l.copy(caller, server) })
	both.Wait()
	_ = caller.Close()
	_ = server.Close()
}

// copy passes on bytes, the end of the connection and a reset.
func (l *link) copy(to, from *net.TCPConn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		l.await()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		if err == io.EOF {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}
