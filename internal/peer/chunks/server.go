// Package chunks moves chunks between agents over HTTP with ranges.
//
//	Client.Fetch --GET /chunks/<digest>--> Server --> staged chunk
//	             <--206 or 200, 404, 503--
//
// Request and answer carry which chunks of a manifest either side holds, so
// that agents that exchange chunks need few further messages.
package chunks

import (
	"bytes"
	"context"
	"encoding/base64"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"golang.org/x/sync/semaphore"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// DefaultSlots is the number of chunks that an agent uploads at once.
	DefaultSlots = 4
	// DefaultQueueWait is the longest wait for an upload slot. A short queue
	// keeps the uplink busy between two uploads and saves most refusals.
	DefaultQueueWait = time.Second
	// retryAfterSeconds is the hint to a client that found all slots taken.
	retryAfterSeconds = "1"
	headerTimeout     = 5 * time.Second
	idleTimeout       = 60 * time.Second

	headerInstance = "Chunks-Instance"
	headerManifest = "Chunks-Manifest"
	headerHave     = "Chunks-Have"
)

type (
	// Server gives verified chunks to other agents. Set the exported fields
	// before Serve.
	Server struct {
		// Get returns a verified chunk.
		Get func(mulberryspool.Digest) ([]byte, bool)
		// Have takes in what the client holds and returns what this agent holds.
		Have func(mulberryspool.ChunksHaveParams) mulberryspool.ChunksHaveResult
		// Uplink limits what is sent; nil means no limit.
		Uplink Limiter
		// Slots bounds the uploads at one time; 0 means DefaultSlots.
		Slots int
		// QueueWait is the longest wait for a slot, in which as many requests
		// may be as there are slots; 0 means DefaultQueueWait.
		QueueWait time.Duration
		// Clock measures QueueWait.
		Clock mulberryspool.Clock

		// slots are taken by uploads, places also by requests that wait.
		slots, places *semaphore.Weighted
	}

	// limitedWriter waits for the link before each piece.
	limitedWriter struct {
		http.ResponseWriter
		ctx     context.Context
		limiter Limiter
	}
)

// Serve answers requests on the listener until the context ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	slots := s.Slots
	if slots == 0 {
		slots = DefaultSlots
	}
	s.slots = semaphore.NewWeighted(int64(slots))
	s.places = semaphore.NewWeighted(2 * int64(slots))
	router := mux.NewRouter()
	router.HandleFunc("/chunks/{digest:[0-9a-f]{64}}", s.chunk).Methods(http.MethodGet)
	server := &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return mulberryspool.AtStep(err, "serve chunks", listener.Addr().String())
	}
	return nil
}

func (s *Server) chunk(w http.ResponseWriter, r *http.Request) {
	s.exchange(w, r)
	digest := mulberryspool.Digest(mux.Vars(r)["digest"])
	data, ok := s.Get(digest)
	if !ok {
		http.Error(w, "chunk is not held", http.StatusNotFound)
		return
	}
	if !s.acquire(r.Context()) {
		w.Header().Set("Retry-After", retryAfterSeconds)
		http.Error(w, "all upload slots are taken", http.StatusServiceUnavailable)
		return
	}
	defer s.release()
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Etag", `"`+string(digest)+`"`)
	if s.Uplink != nil {
		w = &limitedWriter{ResponseWriter: w, ctx: r.Context(), limiter: s.Uplink}
	}
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(data))
}

// acquire takes an upload slot, after a wait if all are taken.
func (s *Server) acquire(ctx context.Context) bool {
	if !s.places.TryAcquire(1) {
		return false
	}
	if s.slots.TryAcquire(1) {
		return true
	}
	wait := s.QueueWait
	if wait == 0 {
		wait = DefaultQueueWait
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := s.Clock.AfterFunc(wait, cancel)
	defer timer.Stop()
	if s.slots.Acquire(ctx, 1) != nil {
		s.places.Release(1)
		return false
	}
	return true
}

func (s *Server) release() {
	s.slots.Release(1)
	s.places.Release(1)
}

// exchange takes the client's bit set from the request and adds the own one to the answer.
func (s *Server) exchange(w http.ResponseWriter, r *http.Request) {
	manifest := r.Header.Get(headerManifest)
	if s.Have == nil || manifest == "" {
		return
	}
	have, err := base64.StdEncoding.DecodeString(r.Header.Get(headerHave))
	if err != nil {
		return
	}
	result := s.Have(mulberryspool.ChunksHaveParams{
		Instance: mulberryspool.InstanceID(r.Header.Get(headerInstance)),
		Manifest: mulberryspool.Digest(manifest),
		Have:     have,
	})
	w.Header().Set(headerManifest, manifest)
	w.Header().Set(headerHave, base64.StdEncoding.EncodeToString(result.Have))
}

// Write implements io.Writer.
func (w *limitedWriter) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		piece := data[written:min(len(data), written+pieceBytes)]
		if err := w.limiter.Wait(w.ctx, len(piece)); err != nil {
			return written, err
		}
		n, err := w.ResponseWriter.Write(piece)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
