package hosted

import (
	"cmp"
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/fetch"
	"github.com/mulberryspool/mulberryspool/internal/agent/staging"
	"github.com/mulberryspool/mulberryspool/internal/agent/swap"
	"github.com/mulberryspool/mulberryspool/internal/entry/quarantine"
	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
	"github.com/mulberryspool/mulberryspool/internal/peer/heartbeat"
)

// loop runs rounds until the context ends.
func (a *agentRole) loop(ctx context.Context) {
	for ctx.Err() == nil {
		pause := a.runRound(ctx)
		select {
		case <-a.clock.After(pause):
		case <-a.wakeup:
		case <-ctx.Done():
			return
		}
	}
}

// runRound reads the model server's state, does what the decider decides and
// returns the pause before the next round.
func (a *agentRole) runRound(ctx context.Context) time.Duration {
	model := a.pool().Model
	now := a.clock.Now()
	if model == "" {
		return enginePollInterval
	}
	a.updateMembers()
	a.decider.CopyTime, a.decider.OriginTime = a.copyTimes()
	a.updateNamedVersions(ctx, model)
	a.needsCopyEarly.Store(a.decider.NeedsCopyEarly(a.decider.Wanted()))
	if !a.readEngineState(ctx, model) {
		a.setUplinkRate(false)
		// At the first start of the whole system, the model server may start with
		// the weights already loaded.
		if a.settings.FirstStart {
			return engineStartPollInterval
		}
		// The weights are fetched while the model server starts.
		a.fetch(ctx, model, a.decider.Next(a.swapView(0), now).Fetch)
		return engineStartPollInterval
	}
	served := a.servedVersion(model)
	a.setUplinkRate(served > 0)
	view, drained := a.swapView(served), a.decider.Draining()
	step := a.decider.Next(view, now)
	a.logTurn(view, step, drained)
	a.fetch(ctx, model, step.Fetch)
	if !a.engineState.Loading {
		a.uploadAvailable(ctx, model, step.Prepare)
	}
	a.writeVersion(ctx, model, step)
	if served > 0 && a.decider.Wanted() <= served {
		a.retainServed(ctx, model, served)
	}
	a.reportServed(served, step.TurnAt)
	pause := enginePollInterval
	if a.engineState.Loading || step.Action != swap.Wait || a.isFetching() || a.lateWrites.Pending() {
		pause = engineLoadPollInterval
	}
	if !step.WakeAt.IsZero() {
		pause = min(pause, max(time.Millisecond, a.clock.Until(step.WakeAt)))
	}
	return pause
}

// logTurn logs that the model server begins its turn, or that the turn was given up because
// the transfer takes too long.
func (a *agentRole) logTurn(v swap.View, step swap.Decision, drained bool) {
	outcome, message := "begun", "turn of the model server begins"
	switch {
	case step.Action == swap.Drain:
	case drained && !a.decider.Draining() && v.Served < max(v.Staged, v.Fetching) && !v.Loading:
		outcome, message = "givenUp", "turn of the model server was given up, it serves its version again"
	default:
		return
	}
	a.metrics.Tagged(map[string]string{"outcome": outcome}).Counter("version_turns").Inc(1)
	a.logger.Info().Str(logging.FieldStep, "swap").Int64("serves", v.Served).Int64("staged", v.Staged).Int64("fetching", v.Fetching).
		Float64("fetchedShare", v.FetchedShare).Int("running", a.engineState.Running).Msg(message)
}

// writeVersion uploads or loads what the decider decides, unless an earlier write may still
// take effect.
func (a *agentRole) writeVersion(ctx context.Context, model string, step swap.Decision) {
	if a.engineState.Loading {
		return
	}
	if late := a.lateWrites.Reorder(); late != 0 {
		a.orderLoad(ctx, model, late)
		return
	}
	if step.Action != swap.Upload && step.Action != swap.Load {
		return
	}
	if !a.lateWrites.Allows(step.Version) {
		a.logger.Debug().Str(logging.FieldStep, "write").Int64("version", step.Version).Msg("version is held back, an earlier write may still take effect")
		return
	}
	if step.Action == swap.Upload {
		a.uploadPieces(ctx, model, step.Version)
		return
	}
	a.orderLoad(ctx, model, step.Version)
}

// readEngineState reads the model server's state and returns false if it does
// not answer.
func (a *agentRole) readEngineState(ctx context.Context, model string) bool {
	state, err := a.engine.State(ctx)
	if err != nil {
		if a.engineReachable && ctx.Err() == nil {
			a.logger.Warn().EmbedObject(logging.Fields{}.WithStep(err)).Err(err).Msg("model server does not answer")
		}
		a.engineReachable = false
		return false
	}
	before := a.engineState
	if !a.engineReachable || before.Born != state.Born || before.Loading != state.Loading || loadedVersion(before, model) != loadedVersion(state, model) {
		a.logger.Info().Str(logging.FieldStep, "read report").Bool("known", a.engineReachable).Int64("born", state.Born).
			Int64("before", loadedVersion(before, model)).Int64("serves", loadedVersion(state, model)).Bool("loading", state.Loading).
			Int64("orders", state.Orders).Int("running", state.Running).Msg("model server state has changed")
	}
	a.engineState, a.engineReachable = state, true
	a.lateWrites.ReportRead(state.Born, state.Orders, loadedVersion(state, model))
	return true
}

func loadedVersion(s mulberryspool.EngineState, model string) int64 {
	for _, m := range s.Models {
		if m.Model == model {
			return m.Version
		}
	}
	return 0
}

func (a *agentRole) servedVersion(model string) int64 {
	return loadedVersion(a.engineState, model)
}

// updateNamedVersions passes on what is known of the named versions. Earlier ones
// count too: the bound of the served version begins with the first newer one.
func (a *agentRole) updateNamedVersions(ctx context.Context, model string) {
	for version, at := range a.fleet.NamedVersions(model) {
		a.decider.CorrectNamedVersion(version, at)
	}
	a.decider.SetNamedVersion(a.wantedVersion(ctx, model))
}

// wantedVersion returns the version to serve and since when it is wanted. It is
// the newer one of the named version and the newest version that any server of
// the pool serves, else the origin's newest version.
func (a *agentRole) wantedVersion(ctx context.Context, model string) (int64, time.Time) {
	wanted, at := a.fleet.NamedVersion(model)
	now := a.clock.Now()
	found := a.servedVersion(model)
	for _, b := range a.fleet.State().Servers {
		if b.Pool == a.settings.Pool {
			found = max(found, b.Serves(model))
		}
	}
	if found > wanted {
		wanted, at = found, now
	}
	if wanted == 0 && a.fleet.HasSynced() {
		wanted, at = a.originNewest(ctx, model), now
	}
	return wanted, at
}

func (a *agentRole) swapView(served int64) swap.View {
	p := a.fetcher.Progress()
	a.mu.Lock()
	defer a.mu.Unlock()
	_, known := a.manifests[a.fetching]
	v := swap.View{
		Served: served, Loading: a.engineState.Loading, Staged: a.staged, StagedAt: a.stagedAt, Uploaded: a.uploaded, Fetching: a.fetching,
		FetchBegan: a.fetchBegan, AwaitsManifest: a.fetching > 0 && !known, Kept: a.kept, KeptShare: a.keptShare,
		ReadsOrigin: a.fetcher.ReadsOrigin(), ChunksUnavailable: a.fetcher.ChunksUnavailable(),
	}
	if p.Manifest == a.manifests[a.fetching].Digest && p.Total > 0 {
		v.FetchedShare = float64(p.Chunks) / float64(p.Total)
	}
	return v
}

// copyTimes returns the time that a copy takes on the agent's link or that of the origin,
// whichever is slower, and that on the link of the origin; 0 if the size of a copy is not
// known.
func (a *agentRole) copyTimes() (slowest, origin time.Duration) {
	link := int64(a.settings.Limits.Link)
	originLink := cmp.Or(a.originBytesPerSecond(), link)
	onLink := func(rate int64) time.Duration {
		return time.Duration(float64(a.pieceBytes()*int64(a.pieces())) / float64(rate) * float64(time.Second))
	}
	return onLink(min(link, originLink)), onLink(originLink)
}

// isFetching reports whether a version is being fetched.
func (a *agentRole) isFetching() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fetching > 0
}

func (a *agentRole) updateMembers() {
	var members []mulberryspool.InstanceID
	rows, err := a.Instances(context.Background())
	if err != nil {
		a.logger.Warn().Err(err).Msg("agents of the pool could not be listed")
		return
	}
	for _, r := range rows {
		members = append(members, r.Instance)
	}
	a.decider.SetMembers(members)
}

// fetch starts the transfer of a version; 0 leaves a running one alone. That a version is
// named does not mean that it can be read. The transfer of another version therefore continues
// until the manifest of this one has been read. While it reads chunks from the origin, it is
// suspended for a time, so that it does not keep the manifest and the chunks of the newer
// version from the origin's link.
func (a *agentRole) fetch(ctx context.Context, model string, version int64) {
	a.mu.Lock()
	running, transferring := a.manifests[a.fetching]
	_, readable := a.manifests[version]
	awaits := version > 0 && a.fetching > 0 && a.fetching != version && transferring && !readable
	if awaits && a.awaited != version {
		a.stopAwaiting()
		a.awaitManifest(ctx, model, version)
	} else if !awaits {
		a.stopAwaiting()
	}
	fromOrigin := a.clock.Since(a.fetchBegan) < a.decider.OriginTime || a.fetcher.ReadsOrigin()
	suspended := awaits && fromOrigin && a.clock.Since(a.awaitedAt) < time.Duration(suspendFraction*float64(a.settings.Bounds.NamedVersion))
	a.mu.Unlock()
	if transferring {
		a.fetcher.Suspend(running.Digest, suspended)
	}
	if version > 0 && !awaits {
		a.startFetch(ctx, model, version)
	}
}

// awaitManifest reads the manifest of a version in the background. It requires the mutex.
func (a *agentRole) awaitManifest(ctx context.Context, model string, version int64) {
	ctx, cancel := context.WithCancel(ctx)
	a.awaited, a.awaitedAt, a.cancelAwait = version, a.clock.Now(), cancel
	a.logger.Info().Str(logging.FieldStep, "await manifest").Int64("version", version).Int64("fetching", a.fetching).
		Msg("newer version is named; its manifest is read before the transfer is replaced")
	go func() {
		if _, err := a.fetchManifest(ctx, model, version); err == nil {
			a.wakeLoop()
		}
	}()
}

// stopAwaiting ends the read that awaitManifest began. It requires the mutex.
func (a *agentRole) stopAwaiting() {
	if a.cancelAwait != nil {
		a.cancelAwait()
	}
	a.awaited, a.cancelAwait = 0, nil
}

// startFetch fetches a version in the background. It cancels the transfer of
// another version, whose chunks are kept if it is an older one.
func (a *agentRole) startFetch(ctx context.Context, model string, version int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fetching == version {
		return
	}
	if a.cancelFetch != nil {
		a.cancelFetch()
	}
	if a.fetching > 0 {
		a.logger.Info().Str(logging.FieldStep, "replace transfer").Int64("version", version).Int64("fetching", a.fetching).Bool("resumed", version == a.kept).
			Msg("transfer is replaced by that of another version")
	}
	a.kept, a.keptShare = a.keptAfter(version)
	ctx, cancel := context.WithCancel(ctx)
	a.fetching, a.fetchBegan, a.cancelFetch = version, a.clock.Now(), cancel
	go a.fetchVersion(ctx, model, version)
}

// keptAfter returns the version whose transfer can be resumed, and its completed share, once
// that of another version has replaced the running one. It requires the mutex.
func (a *agentRole) keptAfter(version int64) (kept int64, share float64) {
	m, known := a.manifests[a.fetching]
	if !known || a.fetching > version {
		return 0, 0
	}
	p := a.fetcher.Progress()
	if p.Manifest != m.Digest || p.Total == 0 {
		return 0, 0
	}
	return a.fetching, float64(p.Chunks) / float64(p.Total)
}

func (a *agentRole) fetchVersion(ctx context.Context, model string, version int64) {
	began := a.clock.Now()
	manifest, err := a.fetchManifest(ctx, model, version)
	if err != nil {
		return
	}
	// Pieces that an earlier incarnation of this agent uploaded to the model
	// server are read back instead of fetched again.
	kept, err := a.fetcher.Adopt(manifest, func(i int) ([]byte, error) { return a.readStagedPiece(ctx, model, manifest, i) })
	if err != nil {
		a.logger.Warn().EmbedObject(logging.Fields{Version: manifest.Version}.WithStep(err)).Err(err).Msg("pieces could not be reused from the model server")
	}
	if err := a.fetcher.Stage(ctx, manifest); err != nil {
		a.logger.Info().EmbedObject(logging.Fields{Version: manifest.Version}.WithStep(err)).Err(err).Msg("version could not be fetched")
		a.mu.Lock()
		defer a.mu.Unlock()
		if errors.Is(err, fetch.ErrDoubted) && a.manifests[version].Digest == manifest.Digest {
			// Other agents don't get it any more. Its chunks are kept for the next one.
			delete(a.manifests, version)
			a.doubted[version] = manifest.Digest
		}
		if a.fetching == version {
			a.fetching = 0
		}
		return
	}
	p := a.fetcher.Progress()
	a.logger.Info().EmbedObject(logging.Fields{Version: manifest.Version, Step: "stage"}).Dur("took", a.clock.Since(began)).
		Int("kept", kept).Int64("originBytes", p.OriginBytes).Int64("regionBytes", p.RegionBytes).Int64("peerBytes", p.PeerBytes).
		Msg("version is staged")
	a.mu.Lock()
	if _, ok := a.manifests[version]; ok && version > a.staged {
		a.staged, a.stagedAt = version, a.clock.Now()
	}
	if a.fetching == version {
		a.fetching = 0
	}
	a.mu.Unlock()
	a.wakeLoop()
}

// readStagedPiece reads a piece back from the model server. It fails if the
// digest differs from that in the manifest.
func (a *agentRole) readStagedPiece(ctx context.Context, model string, m mulberryspool.Manifest, i int) ([]byte, error) {
	data, err := a.engine.ReadStaged(ctx, model, i)
	if err != nil {
		return nil, err
	}
	if staging.DigestOf(data) != m.Chunks[i].Digest {
		return nil, errors.Wrapf(staging.ErrChunkMismatch, "staged piece %d", i)
	}
	return data, nil
}

// retainServed fetches the served version unless it is staged, so that the
// agents of new servers can get it from this one, and drops older versions. The
// staged version is an older one if an earlier incarnation ordered the served one.
func (a *agentRole) retainServed(ctx context.Context, model string, served int64) {
	a.mu.Lock()
	if a.staged < served {
		a.staged = 0
	}
	done := a.staged >= served || a.fetching > 0
	var old []mulberryspool.Manifest
	for version, m := range a.manifests {
		if version < served {
			old = append(old, m)
			delete(a.manifests, version)
		}
	}
	maps.DeleteFunc(a.doubted, func(version int64, _ mulberryspool.Digest) bool { return version < served })
	a.mu.Unlock()
	for _, m := range old {
		a.fetcher.Release(m.Digest)
	}
	if !done {
		a.startFetch(ctx, model, served)
	}
}

// reportServed sends the entries the version that the model server accepts
// requests for, and until when. It sends nothing while the report is the same,
// except every agentHeartbeatInterval.
func (a *agentRole) reportServed(served int64, until time.Time) {
	report := heartbeat.AgentReport{Instance: a.serverID(), Born: a.engineState.Born, Version: served}
	hasDeadline := !until.IsZero()
	if a.decider.Draining() || a.engineState.Loading {
		report.Version = 0
	}
	now := a.clock.Now()
	report.LinkDelayMillis = a.fetcher.LinkDelay.At(now).Truncate(linkDelayStep).Milliseconds()
	before := a.lastReport
	if report.Instance == "" || report == before && hasDeadline == a.deadlineReported && now.Sub(a.reportedAt) < agentHeartbeatInterval {
		return
	}
	if report.Instance != before.Instance || report.Born != before.Born || report.Version != before.Version {
		a.logger.Info().Str(logging.FieldStep, "report served version").Int64("before", before.Version).Int64("takes", report.Version).Msg("version for which the backend server accepts requests has changed")
	}
	if (report.LinkDelayMillis > 0) != (before.LinkDelayMillis > 0) {
		a.logger.Info().Str(logging.FieldStep, "report link delay").Int64("linkDelay", report.LinkDelayMillis).Msg("link to the backend server has become full, or is no longer")
	}
	a.lastReport, a.reportedAt, a.deadlineReported = report, now, hasDeadline
	if hasDeadline {
		report.LeftMillis = max(1, a.clock.Until(until).Milliseconds())
	}
	summary := &heartbeat.Summary{Summary: a.fleet.Summary()}
	if now.Sub(a.findingsSentAt) >= findingsReportInterval {
		summary.Findings, a.findingsSentAt = a.rejectedFindings(now), now
	}
	a.heartbeats.Send(heartbeat.Message{Summary: summary, Report: &report}, a.heartbeats.ActivePeers(mulberryspool.RoleEntry))
}

// rejectedFindings returns the parts of prompts that entries have rejected. Entries
// that all restart at once learn them from the agents again.
func (a *agentRole) rejectedFindings(now time.Time) []quarantine.Finding {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quarantine.Expire(now)
	return a.quarantine.RejectedFindings(now)
}

// serverID returns the model server's instance in the store, empty while it is
// not listed.
func (a *agentRole) serverID() mulberryspool.InstanceID {
	for id, b := range a.fleet.State().Servers {
		if b.Address == a.settings.Backend {
			return id
		}
	}
	return ""
}
