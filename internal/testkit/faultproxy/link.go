package faultproxy

import (
	"bytes"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// backlog bounds the blocks that wait in one direction. More would hide from
// the sender that a limited link is full.
const backlog = 32

// block is a piece of data with the time at which it is passed on.
type block struct {
	data []byte
	due  time.Time
	end  bool
}

// forward passes bytes on until the connection ends. It stops reading when
// the direction is silent, as a connection whose packets are dropped does.
func (l *link) forward(direction Direction, from, to net.Conn) {
	blocks := make(chan block, backlog)
	l.proxy.running.Go(func() { l.deliver(direction, to, blocks) })
	defer close(blocks)
	buffer := make([]byte, blockBytes)
	for {
		n, err := from.Read(buffer)
		silent, delay := l.look(direction)
		if silent {
			<-l.stop
			return
		}
		if n > 0 && direction == ToClient && l.takeCut() {
			l.close()
			return
		}
		if err != nil && !errors.Is(err, io.EOF) {
			l.close()
			return
		}
		due := time.Now().Add(delay)
		select {
		case blocks <- block{data: bytes.Clone(buffer[:n]), due: due, end: err != nil}:
		case <-l.stop:
			return
		}
		if err != nil {
			return
		}
	}
}

func (l *link) look(direction Direction) (silent bool, delay time.Duration) {
	p := l.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	return l.silent&direction != 0, p.state.delay[direction]
}

func (l *link) takeCut() bool {
	p := l.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state.cutAnswers == 0 {
		return false
	}
	p.state.cutAnswers--
	return true
}

func (l *link) deliver(direction Direction, to net.Conn, blocks <-chan block) {
	for b := range blocks {
		if !l.pause(direction, b) {
			return
		}
		if silent, _ := l.look(direction); silent {
			<-l.stop
			return
		}
		if len(b.data) > 0 {
			if _, err := to.Write(b.data); err != nil {
				l.close()
				return
			}
		}
		if b.end {
			l.endDirection(to)
			return
		}
	}
}

// pause waits for the block's delay and for the rate limit.
func (l *link) pause(direction Direction, b block) bool {
	l.proxy.mu.Lock()
	limiter := l.proxy.state.limits[direction]
	l.proxy.mu.Unlock()
	wait := time.Until(b.due)
	var reservation *rate.Reservation
	if limiter != nil && len(b.data) > 0 {
		reservation = limiter.ReserveN(time.Now(), len(b.data))
		wait = max(wait, reservation.Delay())
	}
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.stop:
	}
	if reservation != nil {
		reservation.Cancel()
	}
	return false
}

// endDirection passes the end of one direction on, and ends the link after
// both have ended.
func (l *link) endDirection(to net.Conn) {
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	l.proxy.mu.Lock()
	l.ended++
	both := l.ended == 2
	l.proxy.mu.Unlock()
	if both {
		l.close()
	}
}

// close resets both sides.
func (l *link) close() {
	l.once.Do(func() {
		close(l.stop)
		reset(l.client)
		reset(l.target)
		l.proxy.mu.Lock()
		delete(l.proxy.links, l)
		l.proxy.mu.Unlock()
	})
}
