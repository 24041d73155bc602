// Package chunks transfers chunks between agents by HTTP range requests.
//
//	Client.Fetch --GET /chunks/<digest>--> Server --> staged chunk
//	             <--206 or 200, 404, 503--
//
// The headers of request and response say which chunks of a manifest each side
// holds, so that agents that exchange chunks need few further messages.
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

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/peer/httpguard"
)

const (
	// DefaultSlots is the number of concurrent uploads of an agent.
	DefaultSlots = 4
	// DefaultQueueWait is the maximum wait for an upload slot. A short queue
	// keeps the uplink busy between two uploads and avoids most refusals.
	DefaultQueueWait = time.Second
	// retryAfterSeconds is the Retry-After value sent while all slots are in use.
	retryAfterSeconds = "1"
	headerTimeout     = 5 * time.Second
	idleTimeout       = 60 * time.Second

	headerInstance = "Chunks-Instance"
	headerManifest = "Chunks-Manifest"
	headerHave     = "Chunks-Have"
	// headerUrgent marks a request of class urgent.
	headerUrgent = "Chunks-Urgent"
)

type (
	// Server serves verified chunks to other agents. Set the exported fields
	// before Serve.
	Server struct {
		// Get returns a verified chunk.
		Get func(mulberryspool.Digest) ([]byte, bool)
		// ExchangeHave records the chunks that the client holds and returns those that
		// this agent holds.
		ExchangeHave func(mulberryspool.ChunksHaveParams) mulberryspool.ChunksHaveResult
		// Uplink limits the rate of sent data; nil means no limit.
		Uplink Limiter
		// Slots is the maximum number of concurrent uploads; 0 means DefaultSlots.
		Slots int
		// QueueWait is the maximum wait for a slot; 0 means DefaultQueueWait. As
		// many requests of each class may wait as there are slots.
		QueueWait time.Duration
		// Clock measures QueueWait.
		Clock mulberryspool.Clock

		slots *slotQueue
	}

	// limitedWriter waits for the limiter before each block.
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
	s.slots = newSlotQueue(slots)
	router := mux.NewRouter()
	router.HandleFunc("/chunks/{digest:[0-9a-f]{64}}", s.serveChunk).Methods(http.MethodGet)
	server := &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	httpguard.Attach(server, listener)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return mulberryspool.AtStep(err, "serve chunks", listener.Addr().String())
	}
	return nil
}

func (s *Server) serveChunk(w http.ResponseWriter, r *http.Request) {
	s.exchangeHave(w, r)
	digest := mulberryspool.Digest(mux.Vars(r)["digest"])
	data, ok := s.Get(digest)
	if !ok {
		http.Error(w, "chunk is not held", http.StatusNotFound)
		return
	}
	if !s.acquire(r) {
		w.Header().Set("Retry-After", retryAfterSeconds)
		http.Error(w, "all upload slots are taken", http.StatusServiceUnavailable)
		return
	}
	defer s.slots.release()
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Etag", `"`+string(digest)+`"`)
	if s.Uplink != nil {
		w = &limitedWriter{ResponseWriter: w, ctx: r.Context(), limiter: s.Uplink}
	}
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(data))
}

// acquire takes an upload slot, waiting up to QueueWait for a free one.
func (s *Server) acquire(r *http.Request) bool {
	c := ordinary
	if r.Header.Get(headerUrgent) != "" {
		c = urgent
	}
	wait := s.QueueWait
	if wait == 0 {
		wait = DefaultQueueWait
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	timer := s.Clock.AfterFunc(wait, cancel)
	defer timer.Stop()
	return s.slots.acquire(ctx, c)
}

// exchangeHave passes the client's bit set on to ExchangeHave and adds this
// agent's to the response.
func (s *Server) exchangeHave(w http.ResponseWriter, r *http.Request) {
	manifest := r.Header.Get(headerManifest)
	if s.ExchangeHave == nil || manifest == "" {
		return
	}
	have, err := base64.StdEncoding.DecodeString(r.Header.Get(headerHave))
	if err != nil {
		return
	}
	result := s.ExchangeHave(mulberryspool.ChunksHaveParams{
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
		block := data[written:min(len(data), written+blockBytes)]
		if err := w.limiter.Wait(w.ctx, len(block)); err != nil {
			return written, err
		}
		n, err := w.ResponseWriter.Write(block)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
