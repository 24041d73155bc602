package hosted

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
	"github.com/mulberryspool/mulberryspool/internal/platform/fleet"
)

// encodingGzip is the only content encoding of a state. A configuration shrinks to a small
// part by it, and the links between regions are slow.
const encodingGzip = "gzip"

// encodedConfig is the compressed response with a version of the configuration. All
// entries of a failure domain read the same one.
type encodedConfig struct {
	version int64
	era     mulberryspool.Era
	body    []byte
}

// stateServer serves this entry's state to other entries and to agents.
func (e *entryRole) stateServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, r *http.Request) {
		state := missingState(e.fleet.State(), r)
		if state.Ingress != nil && state.Servers == nil && strings.Contains(r.Header.Get("Accept-Encoding"), encodingGzip) {
			body, err := e.compressedConfig(state)
			w.Header().Set("Content-Encoding", encodingGzip)
			e.sendState(w, body, err)
			return
		}
		body, err := json.Marshal(state)
		e.sendState(w, body, err)
	})
	mux.HandleFunc("GET "+agentStatePath, func(w http.ResponseWriter, r *http.Request) {
		body, err := json.Marshal(missingState(e.fleet.State(), r).ForAgents())
		e.sendState(w, body, err)
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
}

func (e *entryRole) sendState(w http.ResponseWriter, body []byte, err error) {
	if err != nil {
		e.logger.Error().Err(err).Str(logging.FieldStep, "encode state").Msg("state cannot be encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// The reader may be slow.
	if !e.memory.Reserve(0, int64(len(body))) {
		e.metrics.Tagged(map[string]string{"reason": "state"}).Counter("responses_without_memory").Inc(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.memory.Release(int64(len(body)))
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(body); err != nil {
		e.logger.Info().Err(err).Str(logging.FieldStep, "send state").Msg("state could not be sent")
	}
}

// compressedConfig encodes a state with the configuration only, once for each version and era.
func (e *entryRole) compressedConfig(s fleet.State) ([]byte, error) {
	e.configMu.Lock()
	defer e.configMu.Unlock()
	if e.encodedConfig.version != s.Ingress.Version || e.encodedConfig.era != s.ConfigEra {
		var compressed bytes.Buffer
		writer, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
		if err != nil {
			return nil, errors.Wrap(err, "compress configuration")
		}
		if err := errors.CombineErrors(json.NewEncoder(writer).Encode(s), writer.Close()); err != nil {
			return nil, errors.Wrap(err, "compress configuration")
		}
		e.encodedConfig = encodedConfig{version: s.Ingress.Version, era: s.ConfigEra, body: compressed.Bytes()}
	}
	return e.encodedConfig.body, nil
}
