package process

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/mulberryspool/mulberryspool"
)

// contentServer serves staged content to the engine by HTTP over loopback.
type contentServer struct {
	listener net.Listener
	stager   mulberryspool.Stager
	server   *http.Server

	mu      sync.Mutex
	offered map[mulberryspool.Digest]mulberryspool.Manifest
	readErr error
}

func newContentServer(listener net.Listener, stager mulberryspool.Stager) (*contentServer, error) {
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, mulberryspool.AtStep(err, "listen for the engine", "")
		}
	}
	address, ok := listener.Addr().(*net.TCPAddr)
	if !ok || !address.IP.IsLoopback() {
		return nil, mulberryspool.AtStep(errors.Newf("%s is not a loopback address", listener.Addr()), "listen for the engine", "")
	}
	c := &contentServer{listener: listener, stager: stager, offered: make(map[mulberryspool.Digest]mulberryspool.Manifest)}
	router := mux.NewRouter()
	router.HandleFunc("/content/{digest}", c.get).Methods(http.MethodGet)
	c.server = &http.Server{Handler: router, ReadHeaderTimeout: 10 * time.Second}
	return c, nil
}

func (c *contentServer) serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = c.server.Close() })
	defer stop()
	err := c.server.Serve(c.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return mulberryspool.AtStep(err, "serve content", "engine")
}

// offer makes the weights and the adapter available for download and sets their
// URLs in the order. The returned function removes them again, and returns an
// error if reading one from the stager failed meanwhile.
func (c *contentServer) offer(content, adapter mulberryspool.Manifest, order *mulberryspool.LoadOrder) (func() error, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readErr = nil
	for _, manifest := range []mulberryspool.Manifest{content, adapter} {
		if manifest.Version == "" {
			continue
		}
		if err := c.checkOpen(manifest); err != nil {
			return nil, err
		}
		c.offered[manifest.Digest] = manifest
	}
	order.Source = c.url(content)
	if adapter.Version != "" {
		order.AdapterSource = c.url(adapter)
	}
	return func() error {
		c.mu.Lock()
		defer c.mu.Unlock()
		clear(c.offered)
		return c.readErr
	}, nil
}

// checkOpen opens and closes staged content, so that content which the stager
// has dropped is detected before the order is sent to the engine.
func (c *contentServer) checkOpen(manifest mulberryspool.Manifest) error {
	body, err := c.stager.Open(manifest)
	if err != nil {
		return mulberryspool.AtStep(err, "open staged content", "")
	}
	return mulberryspool.AtStep(body.Close(), "close staged content", "")
}

func (c *contentServer) url(manifest mulberryspool.Manifest) string {
	return "http://" + c.listener.Addr().String() + "/content/" + string(manifest.Digest)
}

func (c *contentServer) get(w http.ResponseWriter, request *http.Request) {
	c.mu.Lock()
	manifest, ok := c.offered[mulberryspool.Digest(mux.Vars(request)["digest"])]
	c.mu.Unlock()
	if !ok {
		http.Error(w, "no order offers this content", http.StatusNotFound)
		return
	}
	body, err := c.stager.Open(manifest)
	if err != nil {
		c.recordReadError(err)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	defer body.Close()
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(manifest.Size, 10))
	if _, err := io.Copy(w, errorRecorder{reader: body, server: c}); err != nil {
		// The engine detects the truncation by Content-Length.
		return
	}
}

func (c *contentServer) recordReadError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readErr = mulberryspool.AtStep(err, "read staged content", "")
}

// errorRecorder records errors of reading staged content, as opposed to errors
// of the connection to the engine.
type errorRecorder struct {
	reader io.Reader
	server *contentServer
}

// Read implements io.Reader.
func (r errorRecorder) Read(buffer []byte) (int, error) {
	n, err := r.reader.Read(buffer)
	if err != nil && !errors.Is(err, io.EOF) {
		r.server.recordReadError(err)
	}
	return n, err
}
