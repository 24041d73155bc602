package hosted

import (
	"encoding/json"
	"net/http"

	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
	"github.com/mulberryspool/mulberryspool/internal/platform/fleet"
)

// stateServer serves this entry's state to other entries and to agents.
func (e *entryRole) stateServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, r *http.Request) {
		e.sendState(w, missingState(e.fleet.State(), r))
	})
	mux.HandleFunc("GET "+agentStatePath, func(w http.ResponseWriter, r *http.Request) {
		e.sendState(w, missingState(e.fleet.State(), r).ForAgents())
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
}

func (e *entryRole) sendState(w http.ResponseWriter, s fleet.State) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s); err != nil {
		e.logger.Info().Err(err).Str(logging.FieldStep, "send state").Msg("state could not be sent")
	}
}
