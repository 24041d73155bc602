package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// wholeBody is the body of a server's answer to a request.
func wholeBody(server, request string, size int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "answer of %s to %s\n", server, request)
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "line %04d of the answer to %s\n", i, request)
	}
	b.WriteString("end of the answer\n")
	return b.String()
}

// event is an event of a server's stream.
func event(request string, i int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of the answer to %s\n\n", i, i, request)
}

// runServer is the process of a server of a plain service. It answers each request on its
// own channel, in parts and without a length: the answer ends with its channel.
//
//	/lookup/...  a body of --size bytes in three parts over --work
//	/stream/...  --events events, or as many as the path says, one each --gap
//	/quick/...   a short body with a length, after 30 ms; the channel is kept
//	/order/...   the same after --work
func runServer(args []string) {
	set := flag.NewFlagSet("server", flag.ExitOnError)
	address := set.String("address", "", "")
	id := set.String("id", "", "")
	born := set.Int64("born", 0, "")
	size := set.Int("size", 800, "")
	work := set.Duration("work", 60*time.Millisecond, "")
	events := set.Int("events", 24, "")
	gap := set.Duration("gap", 45*time.Millisecond, "")
	set.Parse(args)
	l, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	s := &server{id: *id, born: *born, size: *size, work: *work, events: *events, gap: *gap}
	for {
		c, err := l.Accept()
		if err != nil {
			continue
		}
		go s.serve(c)
	}
}

type server struct {
	id     string
	born   int64
	size   int
	work   time.Duration
	events int
	gap    time.Duration
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Attempt-Id")
		if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != s.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, s.id)
			continue
		}
		if !strings.HasPrefix(r.URL.Path, "/quick/") {
			fmt.Printf("%s runs %s %s %s\n", s.id, r.Method, r.URL.Path, r.Header.Get("Last-Event-Id"))
		}
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s.%d.%s\r\n", id, s.id, s.born, id)
		switch {
		case strings.HasPrefix(r.URL.Path, "/stream/"):
			s.stream(c, head, id, r.URL.Path, r.Header.Get("Last-Event-Id"))
			return
		case strings.HasPrefix(r.URL.Path, "/lookup/"):
			s.lookup(c, head, id)
			return
		}
		if strings.HasPrefix(r.URL.Path, "/order/") {
			time.Sleep(s.work)
		} else {
			time.Sleep(30 * time.Millisecond)
		}
		body := wholeBody(s.id, id, 100)
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
}

// lookup sends a body without a length in three parts.
func (s *server) lookup(c net.Conn, head, id string) {
	body := wholeBody(s.id, id, s.size)
	time.Sleep(s.work / 3)
	io.WriteString(c, head+"Content-Type: text/plain\r\nConnection: close\r\n\r\n"+body[:len(body)/3])
	time.Sleep(s.work / 3)
	io.WriteString(c, body[len(body)/3:2*len(body)/3])
	time.Sleep(s.work / 3)
	io.WriteString(c, body[2*len(body)/3:])
	fmt.Printf("%s has answered %s, %d bytes\n", s.id, id, len(body))
}

// stream sends the events after the last one that the caller has, without a length.
func (s *server) stream(c net.Conn, head, id, path, last string) {
	events := s.events
	if parts := strings.Split(path, "/"); len(parts) == 5 {
		fmt.Sscan(parts[3], &events)
	}
	first := 1
	if n := 0; last != "" {
		fmt.Sscan(last, &n)
		first = n + 1
	}
	io.WriteString(c, head+"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n")
	for i := first; i <= events; i++ {
		time.Sleep(s.gap)
		if _, err := io.WriteString(c, event(id, i)); err != nil {
			return
		}
	}
	fmt.Printf("%s has answered %s, up to event %d\n", s.id, id, events)
}
