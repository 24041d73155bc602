package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
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

const (
	model      = "m0"
	pieces     = 96
	pieceBytes = 24576
	layers     = 16
	warmTime   = 300 * time.Millisecond
)

// piece returns a piece of a version of the weights.
func piece(version, index int) []byte {
	var data []byte
	for block := 0; len(data) < pieceBytes; block++ {
		sum := sha256.Sum256([]byte(fmt.Sprintf("%s version %d piece %d block %d", model, version, index, block)))
		data = append(data, sum[:]...)
	}
	return data[:pieceBytes]
}

func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// engine is a model server with the agent's interface: staged pieces, orders and reports.
type engine struct {
	id   string
	born int64

	mu     sync.Mutex
	staged map[int][]byte
	// version is the version of the loaded layers, 0 for none.
	version  int
	busy     bool
	sequence int
	running  int
}

// runEngine is the process of a model server. With --holds, it starts with a version that is
// staged and loaded; else it holds nothing.
func runEngine(args []string) {
	set := flag.NewFlagSet("engine", flag.ExitOnError)
	address := set.String("address", "", "")
	id := set.String("id", "", "")
	born := set.Int64("born", 0, "")
	holds := set.Int("holds", 0, "")
	set.Parse(args)
	e := &engine{id: *id, born: *born, staged: map[int][]byte{}, version: *holds}
	if *holds > 0 {
		for i := range pieces {
			e.staged[i] = piece(*holds, i)
		}
	}
	l, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", e.report)
	mux.HandleFunc("PUT /v1/stage-put/"+model, e.stagePut)
	mux.HandleFunc("GET /v1/stage-get/"+model, e.stageGet)
	mux.HandleFunc("POST /v1/order", e.order)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", e.id) })
	mux.HandleFunc("POST /scribe/", e.generate)
	http.Serve(l, mux)
}

func (e *engine) state() map[string]any {
	to := 0
	if e.version > 0 {
		to = layers
	}
	return map[string]any{
		"stage": "combined", "models": []any{map[string]any{"name": model, "version": e.version, "adapters": []any{}}},
		"layers": map[string]any{"from": 0, "to": to, "version": e.version}, "busy": e.busy, "sequence": e.sequence,
		"queued": 0, "running": e.running, "kv-cache-used": 0, "kv-cache-total": 90000, "handles": 0, "born": e.born,
	}
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, http.StatusOK, e.state())
}

func index(r *http.Request) (int, bool) {
	i, err := strconv.Atoi(r.URL.Query().Get("sample-count"))
	return i, err == nil && i >= 0 && i < pieces
}

func (e *engine) stagePut(w http.ResponseWriter, r *http.Request) {
	i, ok := index(r)
	data, err := io.ReadAll(r.Body)
	if !ok || err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.staged[i] = data
	e.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

func (e *engine) stageGet(w http.ResponseWriter, r *http.Request) {
	i, ok := index(r)
	e.mu.Lock()
	data, held := e.staged[i]
	e.mu.Unlock()
	if !ok || !held {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Write(data)
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Version   int    `json:"version"`
		Expect    *int   `json:"expect"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Operation != "start" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.Expect != nil && *o.Expect != e.sequence, e.busy, len(e.staged) < pieces:
		w.WriteHeader(http.StatusConflict)
		return
	case e.version == o.Version:
		w.WriteHeader(http.StatusOK)
		return
	}
	whole := true
	for i := range pieces {
		whole = whole && digest(e.staged[i]) == digest(piece(o.Version, i))
	}
	fmt.Printf("%s is ordered to load version %d, staged pieces are those of the version: %v\n", e.id, o.Version, whole)
	e.busy, e.version = true, 0
	e.sequence++
	go func() {
		time.Sleep(warmTime)
		e.mu.Lock()
		e.busy, e.version = false, o.Version
		e.mu.Unlock()
	}()
	w.WriteHeader(http.StatusAccepted)
}

// generate answers with a stream of eight events.
func (e *engine) generate(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	e.mu.Lock()
	version := e.version
	e.mu.Unlock()
	expected := r.Header.Get("X-Expected-Version")
	switch {
	case r.Header.Get("X-Expected-Instance") != "" && r.Header.Get("X-Expected-Instance") != e.id, version > 0 && expected != "" && expected != strconv.Itoa(version):
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case version == 0:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	fmt.Printf("%s runs %s %s on version %d\n", e.id, r.Method, r.URL.Path, version)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Signature", e.id+"."+id)
	w.Header().Set("X-Weight-Versions", strconv.Itoa(version))
	for i := 1; i <= 8; i++ {
		time.Sleep(20 * time.Millisecond)
		io.WriteString(w, event(id, i))
		http.NewResponseController(w).Flush()
	}
}

// origin stands in for the service with the weights.
type origin struct {
	newest int
	// spoil says how many more answers with a manifest are sent with one wrong digit.
	mu    sync.Mutex
	spoil int
	sent  int
}

func (o *origin) listen(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("origin: %v", err)
	}
	go http.Serve(l, o)
	return l.Addr().String()
}

// ServeHTTP implements http.Handler.
func (o *origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	version := o.newest
	if v, err := strconv.Atoi(r.URL.Query().Get("version")); err == nil {
		version = v
	}
	if version < 1 || version > o.newest {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if version <= o.newest-2 {
		w.WriteHeader(http.StatusGone)
		return
	}
	o.mu.Lock()
	o.sent++
	spoil := strings.HasPrefix(r.URL.Path, "/v1/manifest/") && o.spoil > 0
	if spoil {
		o.spoil--
	}
	o.mu.Unlock()
	switch {
	case r.URL.Path == "/v1/piece/"+model:
		i, ok := index(r)
		if !ok {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.Write(piece(version, i))
	case r.URL.Path == "/v1/manifest/"+model:
		var digests []string
		for i := range pieces {
			digests = append(digests, digest(piece(version, i)))
		}
		raw, _ := json.Marshal(map[string]any{"model": model, "version": version, "chunk-bytes": pieceBytes, "layers": layers, "digests": digests})
		if spoil {
			at := strings.Index(string(raw), digests[40]) + 11
			raw[at] ^= 1
			note("origin: answer %d, the manifest of version %d, has a wrong byte (digit %d of a digest is %q)", o.sent, version, 12, raw[at])
		} else {
			note("origin: sends the manifest of version %d", version)
		}
		w.Header().Set("Content-Type", "application/json")
		w.Write(raw)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// announceEngine writes the model server's state to the store, as the server does itself.
func announceEngine(s *store, b *backend, stop <-chan struct{}) {
	client := http.Client{Timeout: 500 * time.Millisecond}
	sequence, last, misses := 0, "", 0
	for {
		response, err := client.Get("http://" + b.address() + "/v1/report")
		if err != nil {
			if misses++; misses == 12 {
				s.remove("servers", b.id)
				last = ""
			}
		} else {
			misses = 0
			var state map[string]any
			json.NewDecoder(response.Body).Decode(&state)
			response.Body.Close()
			raw, _ := json.Marshal([]any{state["models"], state["layers"], state["born"]})
			if string(raw) != last {
				last = string(raw)
				sequence++
				object := b.object("ready", sequence)
				object["models"], object["layers"], object["stage"] = state["models"], state["layers"], "combined"
				s.put("servers", b.id, object)
				note("server %s is listed: models %v, layers %v", b.id, state["models"], state["layers"])
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
	}
}
