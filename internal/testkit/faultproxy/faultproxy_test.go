package faultproxy

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
)

// stallWait is how long a read waits before the connection counts as stalled.
const stallWait = 50 * time.Millisecond

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// startEcho starts an echo server and returns its address and a channel with
// the first data of each connection, in the order of acceptance.
func startEcho(t *testing.T) (address string, arrivals <-chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	first := make(chan string, 16)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			// Read before the next Accept, to keep the order of acceptance.
			buffer := make([]byte, 4096)
			n, err := conn.Read(buffer)
			if err == nil {
				first <- string(buffer[:n])
			}
			go func() {
				defer conn.Close()
				for ; err == nil; n, err = conn.Read(buffer) {
					if _, err := conn.Write(buffer[:n]); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), first
}

func startProxy(t *testing.T, target string) *Proxy {
	t.Helper()
	p, err := Start(target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// echo sends the text and checks that the same text comes back.
func echo(conn net.Conn, text string) error {
	if _, err := conn.Write([]byte(text)); err != nil {
		return err
	}
	got := make([]byte, len(text))
	if _, err := io.ReadFull(conn, got); err != nil {
		return err
	}
	if string(got) != text {
		return errors.Newf("got %q, want %q", got, text)
	}
	return nil
}

func expectNoData(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(stallWait)); err != nil {
		t.Fatal(err)
	}
	var timeout net.Error
	if n, err := conn.Read(make([]byte, 1)); n > 0 || !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("read %d bytes, %v from a stalled connection, want a timeout", n, err)
	}
}

// Guards against a proxy that corrupts or loses data when no fault is set, or
// does not forward EOF.
func TestForward(t *testing.T) {
	address, _ := startEcho(t)
	p := startProxy(t, address)
	conn := dial(t, p)
	data := bytes.Repeat([]byte("0123456789abcdef"), 1<<15)
	go func() { _, _ = conn.Write(data) }()
	got := make([]byte, len(data))
	if _, err := io.ReadFull(conn, got); err != nil || !bytes.Equal(got, data) {
		t.Fatalf("echo differs: %v", err)
	}
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(got); !errors.Is(err, io.EOF) {
		t.Fatalf("read returned %v after the end, want io.EOF", err)
	}
}

// Guards against stalls that affect the wrong connections: Stall applies to
// established connections only, StallNew to new ones only and to one direction.
func TestStall(t *testing.T) {
	address, arrivals := startEcho(t)
	p := startProxy(t, address)
	stalled := dial(t, p)
	if err := echo(stalled, "before"); err != nil {
		t.Fatal(err)
	}
	<-arrivals
	p.Stall(Both)
	if _, err := stalled.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	expectNoData(t, stalled)
	if err := echo(dial(t, p), "after"); err != nil {
		t.Errorf("new connection after a stall: %v", err)
	}
	<-arrivals
	p.StallNew(ToClient)
	oneWay := dial(t, p)
	if _, err := oneWay.Write([]byte("delivered")); err != nil {
		t.Fatal(err)
	}
	if got := <-arrivals; got != "delivered" {
		t.Errorf("target got %q", got)
	}
	expectNoData(t, oneWay)
}

// Guards against CutAnswers resetting a connection before the request reaches
// the target or after the answer was forwarded, and against cuts and refusals
// that affect other connections.
func TestCuts(t *testing.T) {
	address, arrivals := startEcho(t)
	p := startProxy(t, address)
	p.CutAnswers(1)
	conn := dial(t, p)
	if err := echo(conn, "request"); err == nil {
		t.Error("the answer arrived")
	}
	if got := <-arrivals; got != "request" {
		t.Errorf("target got %q", got)
	}
	conn = dial(t, p)
	if err := echo(conn, "next"); err != nil {
		t.Errorf("the next connection was cut as well: %v", err)
	}
	established := dial(t, p)
	if err := echo(established, "before"); err != nil {
		t.Fatal(err)
	}
	p.CutAnswers(1)
	if err := echo(established, "answer"); err == nil {
		t.Error("the answer on an established connection arrived")
	}
	p.Cut()
	if err := echo(conn, "again"); err == nil {
		t.Error("the connection was not cut")
	}
	p.Refuse(true)
	if conn, err := net.Dial("tcp", p.Address()); err == nil {
		defer conn.Close()
		if err := echo(conn, "refused"); err == nil {
			t.Error("the connection was not refused")
		}
	}
	p.Refuse(false)
	if err := echo(dial(t, p), "accepted"); err != nil {
		t.Error(err)
	}
	for p.Connections() != 1 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against delays and rate limits that are not applied, and against
// Reorder leaving connections in their original order.
func TestDelayLimitAndReorder(t *testing.T) {
	address, arrivals := startEcho(t)
	p := startProxy(t, address)
	p.Delay(ToTarget, 30*time.Millisecond)
	p.Delay(ToClient, 20*time.Millisecond)
	conn, started := dial(t, p), time.Now()
	if err := echo(conn, "x"); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(started); took < 50*time.Millisecond {
		t.Errorf("echo took %v, want at least 50ms", took)
	}
	<-arrivals
	p.Delay(Both, 0)
	p.Limit(ToClient, NewLimit(1_000_000))
	started = time.Now()
	if err := echo(conn, string(make([]byte, 100_000))); err != nil {
		t.Fatal(err)
	}
	// 100 KB at 1 MB/s take 100 ms, less the burst of 16 KiB.
	if took := time.Since(started); took < 80*time.Millisecond {
		t.Errorf("echo took %v, want at least 80ms", took)
	}
	p.Reorder(2)
	first := dial(t, p)
	if _, err := first.Write([]byte("first")); err != nil {
		t.Fatal(err)
	}
	expectNoData(t, first)
	if _, err := dial(t, p).Write([]byte("second")); err != nil {
		t.Fatal(err)
	}
	if got := []string{<-arrivals, <-arrivals}; got[0] != "second" || got[1] != "first" {
		t.Errorf("connections arrived in the order %q, want the second one first", got)
	}
}
