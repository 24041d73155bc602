package hosted

import (
	"context"

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

// sendSilences reports backend servers that have just fallen silent to the other entries.
// The summaries repeat them, and report what refutes the silence of others.
func (e *entryRole) sendSilences(reports []silence.Report) {
	silent := make(map[silence.Incarnation]struct{}, len(reports))
	isNew := false
	for _, r := range reports {
		if r.SilentMillis < 0 {
			continue
		}
		silent[r.Incarnation()] = struct{}{}
		if _, ok := e.silencesSent[r.Incarnation()]; !ok {
			isNew = true
		}
	}
	now := e.clock.Now()
	if isNew && now.Sub(e.silencesSentAt) < silenceSendInterval {
		return
	}
	e.silencesSent = silent
	if !isNew {
		return
	}
	e.silencesSentAt = now
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
