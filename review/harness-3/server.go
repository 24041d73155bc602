package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"
)

// bodyBytes is the length of a whole answer of a plain service.
const bodyBytes = 800

// wholeBody is the answer of a server to the request with the ID.
func wholeBody(id string) []byte {
	sum := sha256.Sum256([]byte(id))
	line := hex.EncodeToString(sum[:]) + "\n"
	return []byte(strings.Repeat(line, bodyBytes/len(line)+1)[:bodyBytes])
}

// runServer is a plain service as a process of its own. It answers without a length: half of
// the body at once, and the rest after a pause.
func runServer(arguments []string) {
	flags := flag.NewFlagSet("server", flag.ExitOnError)
	listen := flags.String("listen", "", "address on which it listens")
	public := flags.String("public", "", "address under which it registers itself")
	id := flags.String("id", "", "its id")
	service := flags.String("service", "ledger", "its service")
	zone := flags.String("zone", "zone-a", "its zone")
	control := flags.String("control", "", "address of the test, where the store and the record are")
	pause := flags.Duration("pause", 400*time.Millisecond, "pause in the middle of an answer")
	_ = flags.Parse(arguments)
	born := time.Now().UnixMilli()
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	go func() {
		for sequence := 1; ; sequence++ {
			beat(*control, *id, map[string]any{
				"service": *service, "address": *public, "zone": *zone, "version": "v1", "slots": 6, "state": "ready",
				"cold-remaining-ms": 0, "sequence": sequence, "born": born,
			})
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Instance-Id", *id)
		if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != *id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if r.URL.Path == "/health" {
			w.WriteHeader(http.StatusOK)
			return
		}
		attempt := r.Header.Get("X-Attempt-Id")
		note(*control, "run", url.Values{"id": {attempt}, "server": {*id}, "born": {fmt.Sprint(born)}})
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		body := wholeBody(attempt)
		head := "HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nConnection: close\r\nX-Instance-Id: " + *id +
			"\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Signature: " + hex.EncodeToString(body[:8]) + "\r\n\r\n"
		if _, err := conn.Write(append([]byte(head), body[:bodyBytes/2]...)); err != nil {
			return
		}
		time.Sleep(*pause)
		if _, err := conn.Write(body[bodyBytes/2:]); err != nil {
			return
		}
		note(*control, "ran", url.Values{"id": {attempt}, "server": {*id}, "born": {fmt.Sprint(born)}})
	})}
	fmt.Fprintln(os.Stderr, server.Serve(listener))
	os.Exit(2)
}

// beat writes the server's object to the store.
func beat(control, id string, specification any) {
	encoded, err := json.Marshal(map[string]any{"metadata": map[string]any{"name": id}, "specification": specification})
	if err != nil {
		panic(err)
	}
	put, _ := http.NewRequest(http.MethodPut, "http://"+control+"/v1/objects/servers/"+id, bytes.NewReader(encoded))
	response, err := http.DefaultClient.Do(put)
	if err != nil {
		return
	}
	response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		if response, err = http.Post("http://"+control+"/v1/objects/servers", "application/json", bytes.NewReader(encoded)); err == nil {
			response.Body.Close()
		}
	}
}

// note tells the test what the server does.
func note(control, what string, values url.Values) {
	response, err := http.Get("http://" + control + "/note/" + what + "?" + values.Encode())
	if err == nil {
		response.Body.Close()
	}
}
