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
	"strconv"
	"strings"
	"sync"
	"time"
)

// Events that a backend server writes.
const (
	eventRun     = "runs"
	eventRefused = "refuses"
	eventAnswer  = "has answered"
)

// Paths of requests say how they are answered: /.../unframed/... without a length, the second
// half of the body after halfTime.
const (
	unframed = "/unframed/"
	halfTime = 1500 * time.Millisecond
	bodySize = 800
	// checkInTime is the interval between two writes to the store.
	checkInTime = 1200 * time.Millisecond
)

type serverEvent struct {
	Event   string `json:"event"`
	Request string `json:"request"`
	Detail  string `json:"detail"`
}

var writeMu sync.Mutex

func writeEvent(event, request, detail string) {
	writeMu.Lock()
	defer writeMu.Unlock()
	_ = json.NewEncoder(os.Stdout).Encode(serverEvent{event, request, detail})
}

// bodyOf is the body of the answer to a request.
func bodyOf(request string) string {
	return strings.Repeat(request+".", bodySize/(len(request)+1)+1)[:bodySize]
}

// serveBackend runs a plain service until the process is killed.
func serveBackend(args []string) {
	id, service, zone, address, hidden, store := args[0], args[1], args[2], args[3], args[4], args[5]
	born := time.Now().UnixMilli()
	listener, err := net.Listen("tcp", hidden)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	go register(store, id, service, zone, address, born)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serveConn(conn, id)
	}
}

// register writes the server's entry to the store, at its start and in intervals.
func register(store, id, service, zone, address string, born int64) {
	client := http.Client{Timeout: 3 * time.Second}
	for sequence := int64(1); ; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"metadata": map[string]any{"name": id},
			"specification": map[string]any{
				"service": service, "address": address, "zone": zone, "version": "v1", "slots": 6, "state": "ready", "cold-remaining-ms": 0, "sequence": sequence, "born": born,
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
		time.Sleep(checkInTime)
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
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		request := r.Header.Get("X-Attempt-Id")
		if refusal := refuses(r, id); refusal != 0 {
			writeEvent(eventRefused, request, strconv.Itoa(refusal))
			fmt.Fprintf(conn, "HTTP/1.1 %d x\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", refusal, request, id)
			continue
		}
		writeEvent(eventRun, request, r.Method+" "+r.URL.Path+" tenant "+r.Header.Get("X-Tenant"))
		body := bodyOf(request)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: sig-%s\r\nX-Instance-Id: %s\r\n", request, request, id)
		if strings.Contains(r.URL.Path, unframed) {
			fmt.Fprintf(conn, "%sConnection: close\r\n\r\n%s", head, body[:bodySize/2])
			time.Sleep(halfTime)
			_, _ = io.WriteString(conn, body[bodySize/2:])
			writeEvent(eventAnswer, request, "whole body")
			return
		}
		fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
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
