package engine

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/fault"
	"github.com/mulberryspool/mulberryspool/internal/standin/ratelimit"
	"github.com/mulberryspool/mulberryspool/internal/standin/serve"
)

// OrderRecord is one load order that the engine received, successful or not.
type OrderRecord struct {
	Order mulberryspool.LoadOrder `json:"order"`
	// Status is the HTTP status of the response; 0 while the order runs.
	Status  int       `json:"status"`
	Error   string    `json:"error,omitempty"`
	Started time.Time `json:"began"`
	Ended   time.Time `json:"ended"`
	// AdapterDigest is the digest of the adapter's content.
	AdapterDigest mulberryspool.Digest `json:"adapterDigest,omitempty"`
}

var (
	errStaleFencing = errors.New("a higher fencing number was seen")
	errInvalidOrder = errors.New("invalid order")
)

// sourceTransport reads weights and adapters over loopback. It uses a new
// connection for each.
var sourceTransport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

// Orders returns the records of all load orders, oldest first.
func (s *Server) Orders() []OrderRecord {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]OrderRecord{}, s.orders...)
}

// load handles a load order and records it.
func (s *Server) load(w http.ResponseWriter, r *http.Request, effect fault.Effect) {
	var order mulberryspool.LoadOrder
	if !serve.ReadJSON(w, r, &order) {
		return
	}
	s.mu.Lock()
	index := len(s.orders)
	s.orders = append(s.orders, OrderRecord{Order: order, Started: s.Clock.Now()})
	s.mu.Unlock()

	loaded, adapter, err := s.executeOrder(r.Context(), order, effect)
	status, code := http.StatusOK, ""
	switch {
	case errors.Is(err, errStaleFencing):
		status, code = http.StatusConflict, "staleFencing"
	case errors.Is(err, errInvalidOrder):
		status, code = http.StatusBadRequest, "invalidOrder"
	case err != nil:
		status, code = http.StatusUnprocessableEntity, "loadFailed"
	}
	s.mu.Lock()
	record := &s.orders[index]
	record.Status, record.Ended, record.AdapterDigest = status, s.Clock.Now(), adapter
	if err != nil {
		record.Error = err.Error()
	}
	s.mu.Unlock()
	if err != nil {
		serve.WriteError(w, status, code, err.Error())
		return
	}
	serve.WriteJSON(w, status, loaded)
}

// executeOrder reads the content that the order names and loads it. If any step
// fails, the loaded version does not change.
func (s *Server) executeOrder(ctx context.Context, order mulberryspool.LoadOrder, effect fault.Effect) (loaded mulberryspool.Loaded, adapter mulberryspool.Digest, err error) {
	if order.Version == "" || order.Size < 0 {
		return loaded, "", errors.Wrap(errInvalidOrder, "the order needs a version and a size")
	}
	if err := s.recordFencing(order); err != nil {
		return loaded, "", err
	}
	select {
	case s.loading <- struct{}{}:
		defer func() { <-s.loading }()
	case <-ctx.Done():
		return loaded, "", errors.Wrap(ctx.Err(), "wait for the order before")
	}
	digest, err := s.readWeights(ctx, order, effect)
	if err != nil {
		return loaded, "", err
	}
	if order.Adapter != "" {
		adapter, _, err = s.digestSource(ctx, order.AdapterSource, fault.Effect{})
		if err != nil {
			return loaded, "", errors.Wrap(err, "load adapter")
		}
	}
	if effect.Kind == fault.Fail {
		return loaded, "", errors.New("the engine can't use the content because of a fault")
	}
	// The order takes effect after the delay even if the client has
	// disconnected by then, as its content is already complete.
	fault.Sleep(context.WithoutCancel(ctx), s.Clock, effect.Late)
	loaded, err = s.applyOrder(order, digest)
	return loaded, adapter, err
}

// recordFencing records the order's fencing number. It returns errStaleFencing if
// a higher number was recorded and the engine refuses stale orders.
func (s *Server) recordFencing(order mulberryspool.LoadOrder) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.RefusesStaleOrders && order.Fencing < s.loaded.Fencing {
		return errors.Wrapf(errStaleFencing, "order has %d, engine has seen %d", order.Fencing, s.loaded.Fencing)
	}
	s.loaded.Fencing = max(s.loaded.Fencing, order.Fencing)
	return nil
}

// readWeights returns the digest of the weights that the order names. An order
// without a source keeps the weights of the loaded version.
func (s *Server) readWeights(ctx context.Context, order mulberryspool.LoadOrder, effect fault.Effect) (mulberryspool.Digest, error) {
	if order.Source == "" {
		current := s.Loaded()
		if current.Version != order.Version || current.Digest == "" {
			return "", errors.Wrapf(errInvalidOrder, "the order has no source and version %s is not loaded", order.Version)
		}
		return current.Digest, nil
	}
	digest, size, err := s.digestSource(ctx, order.Source, effect)
	if err != nil {
		return "", errors.Wrap(err, "load weights")
	}
	if size != order.Size {
		return "", errors.Newf("load weights: source has %d bytes, order says %d", size, order.Size)
	}
	return digest, nil
}

// applyOrder makes the order's content the loaded one. It checks the fencing number
// again, because a newer order may have arrived while the content was read.
func (s *Server) applyOrder(order mulberryspool.LoadOrder, digest mulberryspool.Digest) (mulberryspool.Loaded, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.RefusesStaleOrders && order.Fencing < s.loaded.Fencing {
		return mulberryspool.Loaded{}, errors.Wrapf(errStaleFencing, "order has %d, engine has seen %d", order.Fencing, s.loaded.Fencing)
	}
	if digest != s.loaded.Digest || order.Adapter != s.loaded.Adapter {
		s.cache.clear()
	}
	s.loaded.Version, s.loaded.Digest = order.Version, digest
	s.loaded.Adapter, s.loaded.Role = order.Adapter, order.Role
	return s.loaded, nil
}

// digestSource reads a source at the limited rate and returns the digest and the size of
// its content, which is not kept.
func (s *Server) digestSource(ctx context.Context, source string, effect fault.Effect) (mulberryspool.Digest, int64, error) {
	if err := checkLoopback(source); err != nil {
		return "", 0, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, source, nil)
	if err != nil {
		return "", 0, errors.Wrap(err, "make request")
	}
	response, err := sourceTransport.RoundTrip(request)
	if err != nil {
		return "", 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return "", 0, errors.Newf("source answered %s", response.Status)
	}
	hasher := sha256.New()
	size, err := s.copyRateLimited(ctx, hasher, response.Body)
	if err != nil {
		return "", size, errors.Wrapf(err, "source ended after %d bytes", size)
	}
	if effect.Kind == fault.Corrupt {
		// Gives the digest of content that was corrupted in transit.
		_, _ = hasher.Write([]byte{0})
	}
	return mulberryspool.Digest(hex.EncodeToString(hasher.Sum(nil))), size, nil
}

func (s *Server) copyRateLimited(ctx context.Context, hasher hash.Hash, source io.Reader) (int64, error) {
	var size int64
	buffer := make([]byte, ratelimit.MaxBlock)
	for {
		n, err := source.Read(buffer)
		if n > 0 {
			if err := s.loadLimiter.Wait(ctx, n); err != nil {
				return size, err
			}
			_, _ = hasher.Write(buffer[:n])
			size += int64(n)
		}
		if errors.Is(err, io.EOF) {
			return size, nil
		}
		if err != nil {
			return size, err
		}
	}
}

// checkLoopback keeps the stand-in from reading from other machines.
func checkLoopback(source string) error {
	parsed, err := url.Parse(source)
	if err != nil || !slices.Contains([]string{"http", "https"}, parsed.Scheme) {
		return errors.Wrapf(errInvalidOrder, "source %q is not an HTTP URL", source)
	}
	if ip := net.ParseIP(parsed.Hostname()); ip == nil || !ip.IsLoopback() {
		return errors.Wrapf(errInvalidOrder, "source %q is not on a loopback address", source)
	}
	return nil
}
