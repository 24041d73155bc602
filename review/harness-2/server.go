package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Events that a backend server writes.
const (
	eventRun     = "runs"
	eventRefused = "refuses"
	eventAnswer  = "has answered"
	eventCrash   = "crashes"
	eventCold    = "becomes cold"
)

// Paths of requests say how they are answered: /.../unframed/... without a length, the second
// half of the body after halfTime.
const (
	unframed   = "/unframed/"
	early      = "/early/"
	healthPath = "/health"
	halfTime   = 1500 * time.Millisecond
	bodySize   = 800
	// workTime is how long other requests take.
	workTime = 15 * time.Millisecond
	// checkInTime is the interval between two writes to the store.
	checkInTime = 1200 * time.Millisecond
)

type serverEvent struct {
	Event   string `json:"event"`
	Request string `json:"request"`
	Detail  string `json:"detail"`
	// AtMicros is when it happened, Born the start of the server's incarnation in
	// milliseconds; both since 1970.
	AtMicros int64 `json:"atMicros"`
	Born     int64 `json:"born"`
}

var (
	writeMu sync.Mutex
	// born is the start of this process in Unix milliseconds.
	born = time.Now().UnixMilli()
)

func writeEvent(event, request, detail string) {
	writeMu.Lock()
	defer writeMu.Unlock()
	_ = json.NewEncoder(os.Stdout).Encode(serverEvent{event, request, detail, time.Now().UnixMicro(), born})
}

// bodyOf is the body of the answer to a request.
func bodyOf(request string) string {
	return strings.Repeat(request+".", bodySize/(len(request)+1)+1)[:bodySize]
}

// serveBackend runs a plain service until the process is killed.
func serveBackend(args []string) {
	id, service, zone, address, hidden, store := args[0], args[1], args[2], args[3], args[4], args[5]
	listener, err := net.Listen("tcp", hidden)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	if os.Getenv(coldVariable) != "" {
		coldUntil.Store(born + coldTime.Milliseconds())
	}
	changed := make(chan struct{})
	go awaitCold(changed)
	go register(store, id, service, zone, address, changed)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_ = conn.(*net.TCPConn).SetReadBuffer(windowBytes)
		go serveConn(conn, id)
	}
}

// register writes the server's entry to the store, at its start and in intervals.
func register(store, id, service, zone, address string, changed <-chan struct{}) {
	client := http.Client{Timeout: 3 * time.Second}
	for sequence := int64(1); ; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"metadata": map[string]any{"name": id},
			"specification": map[string]any{
				"service": service, "address": address, "zone": zone, "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": coldLeft(), "sequence": sequence, "born": born,
			},
		})
		base := "http://" + store + "/v1/objects/servers"
		response, err := client.Post(base, "application/json", bytes.NewReader(body))
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusConflict {
				request, _ := http.NewRequest(http.MethodPut, base+"/"+id, bytes.NewReader(body))
				if response, err = client.Do(request); err == nil {
					response.Body.Close()
				}
			}
		}
		select {
		case <-changed:
		case <-time.After(checkInTime):
		}
	}
}

// coldTime is how long a server is cold after its start during traffic; the environment says
// whether this one was started then. A server also becomes cold with SIGUSR1.
const (
	coldTime     = 3 * time.Second
	coldVariable = "REVIEW_COLD"
)

// coldUntil is until when the server is cold, in Unix milliseconds.
var coldUntil atomic.Int64

// coldLeft returns for how many milliseconds the server stays cold.
func coldLeft() int64 { return max(0, coldUntil.Load()-time.Now().UnixMilli()) }

// awaitCold makes the server cold when it is told to, and has its entry written.
func awaitCold(changed chan<- struct{}) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	for range signals {
		coldUntil.Store(time.Now().Add(coldTime).UnixMilli())
		writeEvent(eventCold, "", fmt.Sprintf("for %v", coldTime))
		changed <- struct{}{}
	}
}

// crashRate is the number of requests in a second at which a cold server crashes: twice what
// it tolerates.
const crashRate = 2 * coldPerSecond

var (
	coldMu sync.Mutex
	// coldArrivals holds the requests of the last second.
	coldArrivals []time.Time
)

// countCold counts a request, and ends the process if it gets too many while it is cold after
// a start.
func countCold() {
	if coldLeft() == 0 || os.Getenv(coldVariable) == "" {
		return
	}
	coldMu.Lock()
	defer coldMu.Unlock()
	now := time.Now()
	coldArrivals = append(slices.DeleteFunc(coldArrivals, func(at time.Time) bool { return now.Sub(at) > time.Second }), now)
	if len(coldArrivals) > crashRate {
		writeEvent(eventCrash, "", fmt.Sprintf("%d requests in a second", len(coldArrivals)))
		os.Exit(1)
	}
}

func serveConn(conn net.Conn, id string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		request := r.Header.Get("X-Attempt-Id")
		if strings.Contains(r.URL.Path, early) && refuses(r, id) == 0 {
			writeEvent(eventRun, request, r.Method+" "+r.URL.Path)
			answerEarly(conn, r, request, id)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if r.URL.Path == healthPath && request == "" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Cold-Ms: %d\r\nContent-Length: 0\r\n\r\n", id, coldLeft())
			continue
		}
		if refusal := refuses(r, id); refusal != 0 {
			writeEvent(eventRefused, request, strconv.Itoa(refusal))
			fmt.Fprintf(conn, "HTTP/1.1 %d x\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", refusal, request, id)
			continue
		}
		writeEvent(eventRun, request, r.Method+" "+r.URL.Path+" tenant "+r.Header.Get("X-Tenant"))
		countCold()
		body := bodyOf(request)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: sig-%s\r\nX-Instance-Id: %s\r\n", request, request, id)
		if strings.Contains(r.URL.Path, unframed) {
			fmt.Fprintf(conn, "%sConnection: close\r\n\r\n%s", head, body[:bodySize/2])
			time.Sleep(halfTime)
			_, _ = io.WriteString(conn, body[bodySize/2:])
			writeEvent(eventAnswer, request, "whole body")
			return
		}
		time.Sleep(workTime)
		fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
}

// answerEarly sends the head and half of the body, without a length, before it has read the
// request's body, which it reads slowly meanwhile. The rest follows after halfTime.
func answerEarly(conn net.Conn, r *http.Request, request, id string) {
	body := bodyOf(request)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: sig-%s\r\nX-Instance-Id: %s\r\nConnection: close\r\n\r\n%s", request, request, id, body[:bodySize/2])
	half := time.Now().Add(halfTime)
	part := make([]byte, 16<<10)
	for time.Now().Before(half) {
		if _, err := r.Body.Read(part); err != nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	// A channel with unread bytes would be reset when it is closed.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	time.Sleep(time.Until(half))
	_, _ = io.WriteString(conn, body[bodySize/2:])
	writeEvent(eventAnswer, request, "whole body")
}

// refuses returns the status of a refusal, 0 for none.
func refuses(r *http.Request, id string) int {
	expected := r.Header.Get("X-Expected-Instance")
	switch {
	case expected != "" && expected != id:
		return http.StatusMisdirectedRequest
	case r.Header.Get("X-Attempt-Id") == "":
		return http.StatusBadRequest
	}
	return 0
}
