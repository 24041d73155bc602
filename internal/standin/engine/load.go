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
	"github.com/mulberryspool/mulberryspool/internal/standin/pace"
	"github.com/mulberryspool/mulberryspool/internal/standin/serve"
)

// OrderRecord is one order that the engine got, whatever came of it.
type OrderRecord struct {
	Order mulberryspool.LoadOrder `json:"order"`
	// Status is the HTTP status of the answer; 0 while the order runs.
	Status int       `json:"status"`
	Error  string    `json:"error,omitempty"`
	Began  time.Time `json:"began"`
	Ended  time.Time `json:"ended"`
	// AdapterDigest is computed over the adapter's content.
	AdapterDigest mulberryspool.Digest `json:"adapterDigest,omitempty"`
}

var (
	errStale   = errors.New("a higher fencing number was seen")
	errInvalid = errors.New("invalid order")
)

// sources reads weights over loopback, each on a connection of its own.
var sources = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

// Orders returns all orders, oldest first.
func (s *Server) Orders() []OrderRecord {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]OrderRecord{}, s.orders...)
}

func (s *Server) load(w http.ResponseWriter, r *http.Request, effect fault.Effect) {
	var order mulberryspool.LoadOrder
	if !serve.ReadJSON(w, r, &order) {
		return
	}
	s.mu.Lock()
	index := len(s.orders)
	s.orders = append(s.orders, OrderRecord{Order: order, Began: s.Clock.Now()})
	s.mu.Unlock()

	loaded, adapter, err := s.obey(r.Context(), order, effect)
	status, code := http.StatusOK, ""
	switch {
	case errors.Is(err, errStale):
		status, code = http.StatusConflict, "staleFencing"
	case errors.Is(err, errInvalid):
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

// obey keeps what is loaded unless the whole order succeeds.
func (s *Server) obey(ctx context.Context, order mulberryspool.LoadOrder, effect fault.Effect) (loaded mulberryspool.Loaded, adapter mulberryspool.Digest, err error) {
	if order.Version == "" || order.Size < 0 {
		return loaded, "", errors.Wrap(errInvalid, "the order needs a version and a size")
	}
	if err := s.see(order); err != nil {
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
		adapter, _, err = s.stream(ctx, order.AdapterSource, fault.Effect{})
		if err != nil {
			return loaded, "", errors.Wrap(err, "load adapter")
		}
	}
	if effect.Kind == fault.Fail {
		return loaded, "", errors.New("the engine can't use the content because of a fault")
	}
	// An order that was read completely may take effect long after whoever
	// sent it is gone.
	fault.Sleep(context.WithoutCancel(ctx), s.Clock, effect.Late)
	loaded, err = s.swap(order, digest)
	return loaded, adapter, err
}

// see takes note of the order's fencing number.
func (s *Server) see(order mulberryspool.LoadOrder) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.RefusesStaleOrders && order.Fencing < s.loaded.Fencing {
		return errors.Wrapf(errStale, "order has %d, engine has seen %d", order.Fencing, s.loaded.Fencing)
	}
	s.loaded.Fencing = max(s.loaded.Fencing, order.Fencing)
	return nil
}

func (s *Server) readWeights(ctx context.Context, order mulberryspool.LoadOrder, effect fault.Effect) (mulberryspool.Digest, error) {
	if order.Source == "" {
		current := s.Loaded()
		if current.Version != order.Version || current.Digest == "" {
			return "", errors.Wrapf(errInvalid, "the order has no source and version %s is not loaded", order.Version)
		}
		return current.Digest, nil
	}
	digest, size, err := s.stream(ctx, order.Source, effect)
	if err != nil {
		return "", errors.Wrap(err, "load weights")
	}
	if size != order.Size {
		return "", errors.Newf("load weights: source has %d bytes, order says %d", size, order.Size)
	}
	return digest, nil
}

// swap checks the fencing number again, because it may have risen meanwhile.
func (s *Server) swap(order mulberryspool.LoadOrder, digest mulberryspool.Digest) (mulberryspool.Loaded, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.RefusesStaleOrders && order.Fencing < s.loaded.Fencing {
		return mulberryspool.Loaded{}, errors.Wrapf(errStale, "order has %d, engine has seen %d", order.Fencing, s.loaded.Fencing)
	}
	if digest != s.loaded.Digest || order.Adapter != s.loaded.Adapter {
		s.cache.clear()
	}
	s.loaded.Version, s.loaded.Digest = order.Version, digest
	s.loaded.Adapter, s.loaded.Role = order.Adapter, order.Role
	return s.loaded, nil
}

// stream computes the digest of a source without holding its content.
func (s *Server) stream(ctx context.Context, source string, effect fault.Effect) (mulberryspool.Digest, int64, error) {
	if err := checkLoopback(source); err != nil {
		return "", 0, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, source, nil)
	if err != nil {
		return "", 0, errors.Wrap(err, "make request")
	}
	response, err := sources.RoundTrip(request)
	if err != nil {
		return "", 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return "", 0, errors.Newf("source answered %s", response.Status)
	}
	sum := sha256.New()
	size, err := s.copyPaced(ctx, sum, response.Body)
	if err != nil {
		return "", size, errors.Wrapf(err, "source ended after %d bytes", size)
	}
	if effect.Kind == fault.Corrupt {
		// The digest is that of content which changed on its way into the engine.
		_, _ = sum.Write([]byte{0})
	}
	return mulberryspool.Digest(hex.EncodeToString(sum.Sum(nil))), size, nil
}

func (s *Server) copyPaced(ctx context.Context, sum hash.Hash, source io.Reader) (int64, error) {
	var size int64
	buffer := make([]byte, pace.MaxBlock)
	for {
		n, err := source.Read(buffer)
		if n > 0 {
			if err := s.loadLimit.Wait(ctx, n); err != nil {
				return size, err
			}
			_, _ = sum.Write(buffer[:n])
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

func checkLoopback(source string) error {
	parsed, err := url.Parse(source)
	if err != nil || !slices.Contains([]string{"http", "https"}, parsed.Scheme) {
		return errors.Wrapf(errInvalid, "source %q is not an HTTP URL", source)
	}
	if ip := net.ParseIP(parsed.Hostname()); ip == nil || !ip.IsLoopback() {
		return errors.Wrapf(errInvalid, "source %q is not on a loopback address", source)
	}
	return nil
}
