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

// contentServer streams staged content to the engine over loopback.
type contentServer struct {
	listener net.Listener
	stager   mulberryspool.Stager
	server   *http.Server

	mu      sync.Mutex
	offered map[mulberryspool.Digest]mulberryspool.Manifest
	failure error
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

// offer makes contents readable and sets the order's sources. The returned
// function withdraws them, and returns an error if one could not be read.
func (c *contentServer) offer(content, adapter mulberryspool.Manifest, order *mulberryspool.LoadOrder) (func() error, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failure = nil
	for _, manifest := range []mulberryspool.Manifest{content, adapter} {
		if manifest.Version == "" {
			continue
		}
		if err := c.probe(manifest); err != nil {
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
		return c.failure
	}, nil
}

// probe finds content that the stager has dropped before the engine asks for it.
func (c *contentServer) probe(manifest mulberryspool.Manifest) error {
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
		c.fail(err)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	defer body.Close()
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(manifest.Size, 10))
	if _, err := io.Copy(w, sourceReader{reader: body, server: c}); err != nil {
		// The engine sees fewer bytes than the length says.
		return
	}
}

func (c *contentServer) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failure = mulberryspool.AtStep(err, "read staged content", "")
}

// sourceReader notes errors of the staged content, as opposed to those of the connection.
type sourceReader struct {
	reader io.Reader
	server *contentServer
}

// Read implements io.Reader.
func (s sourceReader) Read(buffer []byte) (int, error) {
	n, err := s.reader.Read(buffer)
	if err != nil && !errors.Is(err, io.EOF) {
		s.server.fail(err)
	}
	return n, err
}
