package hosted

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/fetch"
	"github.com/mulberryspool/mulberryspool/internal/agent/manifests"
	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
	"github.com/mulberryspool/mulberryspool/platform"
)

// originNewest returns the origin's newest version. It returns 0 if the query
// fails or the previous one was less than originNewestInterval ago.
func (a *agentRole) originNewest(ctx context.Context, model string) int64 {
	now := a.clock.Now()
	if now.Before(a.nextNewestQuery) {
		return 0
	}
	a.nextNewestQuery = now.Add(originNewestInterval)
	m, version, err := a.origin.Newest(ctx, model)
	if err == nil {
		err = a.confirmManifest(ctx, model, version, m)
	}
	if err != nil {
		a.logger.Info().EmbedObject(logging.Fields{}.WithStep(err)).Err(err).Msg("newest manifest could not be read from the origin")
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.manifests[version] = m
	return version
}

// confirmManifest reads the manifest of a version once more. One that was spoilt on its way
// may name another version, for which there is nothing else to compare it with.
func (a *agentRole) confirmManifest(ctx context.Context, model string, version int64, m mulberryspool.Manifest) error {
	confirmed, err := a.origin.Manifest(ctx, model, version)
	if err == nil && confirmed.Digest != m.Digest {
		err = mulberryspool.AtStep(errors.Newf("two reads of the manifest of version %d differ", version), "confirm manifest", a.origin.Address())
	}
	return err
}

// fetchManifest returns the manifest of a version. It retries until the context ends.
func (a *agentRole) fetchManifest(ctx context.Context, model string, version int64) (mulberryspool.Manifest, error) {
	a.mu.Lock()
	known, ok := a.manifests[version]
	a.mu.Unlock()
	if ok {
		return known, nil
	}
	pause := manifestMinBackoff
	for attempt := 0; ; attempt++ {
		m, err := a.readManifest(ctx, model, version, attempt)
		if err == nil {
			a.mu.Lock()
			a.manifests[version] = m
			a.mu.Unlock()
			return m, nil
		}
		if ctx.Err() != nil {
			return m, ctx.Err()
		}
		a.logger.Info().EmbedObject(logging.Fields{}.WithStep(err)).Err(err).Msg("manifest could not be read")
		select {
		case <-a.clock.After(time.Duration((0.5 + rand.Float64()) * float64(pause))):
			pause = min(2*pause, manifestMaxBackoff)
		case <-ctx.Done():
			return m, ctx.Err()
		}
	}
}

// readManifest reads a manifest from another agent or the origin, whichever
// manifests.Source selects for the attempt.
func (a *agentRole) readManifest(ctx context.Context, model string, version int64, attempt int) (mulberryspool.Manifest, error) {
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
	peer, ok := manifests.Source(a.identity.Instance, agents, version, attempt)
	if !ok {
		return a.origin.Manifest(ctx, model, version)
	}
	m, err := a.readPeerManifest(ctx, control[peer], platform.ContentPath(model, version))
	if err == nil && a.isDoubted(version, m) {
		// The origin may confirm it.
		err = mulberryspool.AtStep(errors.Wrap(fetch.ErrDoubted, "agent has the manifest that was dropped"), "read manifest", control[peer])
	}
	return m, err
}

// isDoubted reports whether a manifest of a version was dropped.
func (a *agentRole) isDoubted(version int64, m mulberryspool.Manifest) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.doubted[version] == m.Digest
}

// readPeerManifest reads a manifest from another agent.
func (a *agentRole) readPeerManifest(ctx context.Context, address, version string) (mulberryspool.Manifest, error) {
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
		return m, mulberryspool.AtStep(errors.Wrap(mulberryspool.ErrNotFound, "agent does not have the manifest yet"), "read manifest", address)
	}
	return m, nil
}
