package hosted

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/manifests"
	"github.com/mulberryspool/mulberryspool/internal/agent/staging"
	"github.com/mulberryspool/mulberryspool/internal/agent/swap"
	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
	"github.com/mulberryspool/mulberryspool/internal/peer/beat"
	"github.com/mulberryspool/mulberryspool/platform"
)

// loop looks at the model server and does what the decider says.
func (a *agentRole) loop(ctx context.Context) {
	for ctx.Err() == nil {
		pause := a.round(ctx)
		select {
		case <-a.clock.After(pause):
		case <-a.wake:
		case <-ctx.Done():
			return
		}
	}
}

// round looks once, acts and returns the pause before the next.
func (a *agentRole) round(ctx context.Context) time.Duration {
	model := a.pool().Model
	now := a.clock.Now()
	if model == "" {
		return reportInterval
	}
	a.setMembers()
	a.decider.SetNamed(a.wanted(ctx, model))
	if !a.readState(ctx, model) {
		a.shareUplink(false)
		// At the first start of the whole system, the model server may come up
		// with the weights.
		if a.settings.FirstStart {
			return startingInterval
		}
		// The weights are on their way while the model server starts.
		if step := a.decider.Next(a.view(0), now); step.Fetch > 0 {
			a.startFetch(ctx, model, step.Fetch)
		}
		return startingInterval
	}
	served := a.served(model)
	a.shareUplink(served > 0)
	step := a.decider.Next(a.view(served), now)
	if step.Fetch > 0 {
		a.startFetch(ctx, model, step.Fetch)
	}
	if !a.state.Loading {
		a.layArrived(ctx, model)
	}
	switch step.Action {
	case swap.Lay:
		a.lay(ctx, model, step.Version)
	case swap.Order:
		a.order(ctx, model, step.Version)
	}
	if served > 0 && a.decider.Wanted() <= served {
		a.adoptServed(ctx, model, served)
	}
	a.tell(served, step.At)
	pause := reportInterval
	if a.state.Loading || step.Action != swap.Rest || a.staging() {
		pause = loadingInterval
	}
	if !step.At.IsZero() {
		pause = min(pause, max(time.Millisecond, a.clock.Until(step.At)))
	}
	return pause
}

// readState asks the model server for its state.
func (a *agentRole) readState(ctx context.Context, model string) bool {
	state, err := a.engine.State(ctx)
	if err != nil {
		if a.known && ctx.Err() == nil {
			a.logger.Warn().EmbedObject(logging.Fields{}.Err(err)).Err(err).Msg("model server does not answer")
		}
		a.known = false
		return false
	}
	before := a.state
	if !a.known || before.Born != state.Born || before.Loading != state.Loading || serves(before, model) != serves(state, model) {
		a.logger.Info().Str(logging.FieldStep, "read report").Bool("known", a.known).Int64("born", state.Born).
			Int64("before", serves(before, model)).Int64("serves", serves(state, model)).Bool("loading", state.Loading).
			Int64("orders", state.Orders).Int("running", state.Running).Msg("model server has changed")
	}
	a.state, a.known = state, true
	return true
}

func serves(s mulberryspool.EngineState, model string) int64 {
	for _, m := range s.Models {
		if m.Model == model {
			return m.Version
		}
	}
	return 0
}

func (a *agentRole) served(model string) int64 {
	return serves(a.state, model)
}

// wanted is the version that is to be served: the one that is named, else the
// newest that any server of the pool serves, else the origin's newest.
func (a *agentRole) wanted(ctx context.Context, model string) (int64, time.Time) {
	wanted, at := a.fleet.Named(model)
	now := a.clock.Now()
	found := a.served(model)
	for _, b := range a.fleet.State().Servers {
		if b.Pool == a.settings.Pool {
			found = max(found, b.Serves(model))
		}
	}
	if found > wanted {
		wanted, at = found, now
	}
	if wanted == 0 && a.fleet.Known() {
		wanted, at = a.newest(ctx, model), now
	}
	return wanted, at
}

// newest asks the origin, at most once in a while.
func (a *agentRole) newest(ctx context.Context, model string) int64 {
	now := a.clock.Now()
	if now.Before(a.askNewest) {
		return 0
	}
	a.askNewest = now.Add(newestRetry)
	m, version, err := a.origin.Newest(ctx, model)
	if err != nil {
		a.logger.Info().EmbedObject(logging.Fields{}.Err(err)).Err(err).Msg("newest manifest was not read")
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.manifests[version] = m
	return version
}

func (a *agentRole) view(served int64) swap.View {
	p := a.fetcher.Progress()
	a.mu.Lock()
	defer a.mu.Unlock()
	v := swap.View{
		Served: served, Loading: a.state.Loading, Staged: a.complete, StagedAt: a.completeAt, Laid: a.laid, Fetching: a.fetching,
	}
	if p.Manifest == a.manifests[a.fetching].Digest && p.Total > 0 {
		v.FetchedShare = float64(p.Chunks) / float64(p.Total)
	}
	return v
}

// staging says whether a version is on its way.
func (a *agentRole) staging() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fetching > 0
}

func (a *agentRole) setMembers() {
	var members []mulberryspool.InstanceID
	rows, err := a.Instances(context.Background())
	if err != nil {
		a.logger.Warn().Err(err).Msg("members are not readable")
		return
	}
	for _, r := range rows {
		members = append(members, r.Instance)
	}
	a.decider.SetMembers(members)
}

// startFetch brings a version here in the background. An older transfer ends.
func (a *agentRole) startFetch(ctx context.Context, model string, version int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fetching == version {
		return
	}
	if a.cancel != nil {
		a.cancel()
	}
	ctx, cancel := context.WithCancel(ctx)
	a.fetching, a.cancel = version, cancel
	go a.fetchVersion(ctx, model, version)
}

func (a *agentRole) fetchVersion(ctx context.Context, model string, version int64) {
	began := a.clock.Now()
	manifest, err := a.manifest(ctx, model, version)
	if err != nil {
		return
	}
	// What an earlier incarnation of this agent staged need not come again.
	kept, err := a.fetcher.Adopt(manifest, func(i int) ([]byte, error) { return a.readPiece(ctx, model, manifest, i) })
	if err != nil {
		a.logger.Warn().EmbedObject(logging.Fields{Version: manifest.Version}.Err(err)).Err(err).Msg("staged pieces were not taken over")
	}
	if err := a.fetcher.Stage(ctx, manifest); err != nil {
		a.logger.Info().EmbedObject(logging.Fields{Version: manifest.Version}.Err(err)).Err(err).Msg("version was not fetched")
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.fetching == version {
			a.fetching = 0
		}
		return
	}
	p := a.fetcher.Progress()
	a.logger.Info().EmbedObject(logging.Fields{Version: manifest.Version, Step: "stage"}).Dur("took", a.clock.Since(began)).
		Int("kept", kept).Int64("originBytes", p.OriginBytes).Int64("regionBytes", p.RegionBytes).Int64("peerBytes", p.PeerBytes).
		Msg("version is here")
	a.mu.Lock()
	if version > a.complete {
		a.complete, a.completeAt = version, a.clock.Now()
	}
	if a.fetching == version {
		a.fetching = 0
	}
	a.mu.Unlock()
	a.look()
}

// manifest reads a manifest until the context ends.
func (a *agentRole) manifest(ctx context.Context, model string, version int64) (mulberryspool.Manifest, error) {
	a.mu.Lock()
	known, ok := a.manifests[version]
	a.mu.Unlock()
	if ok {
		return known, nil
	}
	pause := manifestFirstRetry
	for try := 0; ; try++ {
		m, err := a.readManifest(ctx, model, version, try)
		if err == nil {
			a.mu.Lock()
			a.manifests[version] = m
			a.mu.Unlock()
			return m, nil
		}
		if ctx.Err() != nil {
			return m, ctx.Err()
		}
		a.logger.Info().EmbedObject(logging.Fields{}.Err(err)).Err(err).Msg("manifest was not read")
		select {
		case <-a.clock.After(time.Duration((0.5 + rand.Float64()) * float64(pause))):
			pause = min(2*pause, manifestRetry)
		case <-ctx.Done():
			return m, ctx.Err()
		}
	}
}

// readManifest asks another agent or the origin.
func (a *agentRole) readManifest(ctx context.Context, model string, version int64, try int) (mulberryspool.Manifest, error) {
	rows, err := a.Instances(ctx)
	if err != nil {
		return mulberryspool.Manifest{}, err
	}
	control := make(map[mulberryspool.InstanceID]string, len(rows))
	var agents []mulberryspool.InstanceID
	for _, r := range rows {
		control[r.Instance] = r.Control
		agents = append(agents, r.Instance)
	}
	peer, ok := manifests.Source(a.identity.Instance, agents, version, try)
	if !ok {
		return a.origin.Manifest(ctx, model, version)
	}
	return a.peerManifest(ctx, control[peer], platform.ContentPath(model, version))
}

// peerManifest reads a manifest from another agent.
func (a *agentRole) peerManifest(ctx context.Context, address, version string) (mulberryspool.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var m mulberryspool.Manifest
	conn, err := a.endpoint.Dial(ctx, address)
	if err != nil {
		return m, mulberryspool.AtStep(err, "read manifest", address)
	}
	defer conn.Close()
	if err := conn.Call(ctx, mulberryspool.MethodManifestFetch, mulberryspool.ManifestFetchParams{Version: version}, &m); err != nil {
		return m, mulberryspool.AtStep(err, "read manifest", address)
	}
	if m.Version != version {
		return m, mulberryspool.AtStep(errors.Wrap(mulberryspool.ErrNotFound, "the agent does not have it yet"), "read manifest", address)
	}
	return m, nil
}

// readPiece reads a staged piece if it is that of the manifest.
func (a *agentRole) readPiece(ctx context.Context, model string, m mulberryspool.Manifest, i int) ([]byte, error) {
	data, err := a.engine.Staged(ctx, model, i)
	if err != nil {
		return nil, err
	}
	if staging.DigestOf(data) != m.Chunks[i].Digest {
		return nil, errors.Wrapf(staging.ErrDigest, "staged piece %d", i)
	}
	return data, nil
}

// adoptServed takes over the pieces of the version that is served, so that
// servers which are added can have them, and drops older versions.
func (a *agentRole) adoptServed(ctx context.Context, model string, served int64) {
	a.mu.Lock()
	done := a.complete >= served || a.fetching > 0
	var old []mulberryspool.Manifest
	for version, m := range a.manifests {
		if version < served {
			old = append(old, m)
			delete(a.manifests, version)
		}
	}
	a.mu.Unlock()
	for _, m := range old {
		a.fetcher.Release(m.Digest)
	}
	if !done {
		a.startFetch(ctx, model, served)
	}
}

// tell says to the entries what requests may be sent for, and until when.
func (a *agentRole) tell(served int64, until time.Time) {
	said := beat.Served{Instance: a.serverID(), Born: a.state.Born, Version: served}
	closing := !until.IsZero()
	if a.decider.Leaving() || a.state.Loading {
		said.Version = 0
	}
	a.quiet++
	if said.Instance == "" || said == a.beaten && closing == a.closing && a.quiet < heartbeatTicks {
		return
	}
	if said != a.beaten {
		a.logger.Info().Str(logging.FieldStep, "tell entries").Int64("before", a.beaten.Version).Int64("takes", said.Version).Msg("version that requests may be sent for")
	}
	a.beaten, a.quiet, a.closing = said, 0, closing
	if closing {
		said.LeftMillis = max(1, a.clock.Until(until).Milliseconds())
	}
	marks := a.fleet.Marks()
	a.link.Send(beat.Message{Marks: &marks, Served: &said}, a.link.Heard(mulberryspool.RoleEntry))
}

// serverID is the model server's name in the store, empty while it is not listed.
func (a *agentRole) serverID() mulberryspool.InstanceID {
	for id, b := range a.fleet.State().Servers {
		if b.Address == a.settings.Backend {
			return id
		}
	}
	return ""
}
