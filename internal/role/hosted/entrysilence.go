package hosted

import (
	"context"
	"maps"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/silence"
	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
	"github.com/mulberryspool/mulberryspool/internal/peer/heartbeat"
	"github.com/mulberryspool/mulberryspool/platform"
)

// observeSilence finds out which backend servers have stopped sending, reports them to the
// other entries, and probes those that are this entry's to probe.
func (e *entryRole) observeSilence() {
	changes, probe := e.scheduler.ObserveSilence()
	for _, c := range changes {
		e.logger.Info().Str(logging.FieldStep, "observe silence").Str(logging.FieldPeer, string(c.Server.Instance)).Str("pool", c.Server.Pool).
			Int64("born", c.Server.Born).Bool("silent", c.Silent).Msg("silence of a backend server has changed")
	}
	e.sendSilences(e.scheduler.Silences())
	for _, b := range probe {
		go e.probeSilent(b)
	}
}

// sendSilences reports silent backend servers to the other entries: at once if there are
// others than before, and again while they count.
func (e *entryRole) sendSilences(reports []silence.Report) {
	content := make(map[silence.Content]struct{}, len(reports))
	for _, r := range reports {
		content[r.Content()] = struct{}{}
	}
	now := e.clock.Now()
	if len(reports) == 0 || maps.Equal(content, e.silencesSent) && now.Sub(e.silencesSentAt) < silenceSendInterval {
		return
	}
	e.silencesSent, e.silencesSentAt = content, now
	summary := &heartbeat.Summary{Summary: e.fleet.Summary(), Silences: reports}
	e.heartbeats.Send(heartbeat.Message{Summary: summary}, e.heartbeats.ActivePeers(mulberryspool.RoleEntry))
}

// probeSilent asks a silent backend server for its report, which takes none of its slots.
func (e *entryRole) probeSilent(b mulberryspool.BackendServer) {
	ctx, cancel := clockwork.WithTimeout(context.Background(), e.clock, silenceProbeTimeout)
	defer cancel()
	server := platform.ModelServer{Address: b.Address, HTTP: e.peerClient}
	state, err := server.State(ctx)
	e.metrics.Counter("silence_probes").Inc(1)
	e.scheduler.RecordProbe(b, err == nil && (state.Born == 0 || state.Born == b.Born))
}
