package process

import (
	"context"
	"encoding/json"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/rollout"
)

// maxManifestPeers limits the number of peers that are asked for a manifest.
const maxManifestPeers = 4

// watchTables posts changes of the tables to the loop. The subscription must
// not block, so it only stores the newest view and wakes up a goroutine.
func (p *Process) watchTables() {
	var newest atomic.Pointer[mulberryspool.TablesView]
	wake := make(chan struct{}, 1)
	p.Tables.Subscribe(func(view mulberryspool.TablesView) {
		newest.Store(&view)
		select {
		case wake <- struct{}{}:
		default:
		}
	})
	p.tasks.Go(func() {
		for {
			select {
			case <-wake:
				if view := newest.Load(); view != nil {
					p.post(tablesChanged(*view, p.Identity.Pool))
				}
			case <-p.runCtx.Done():
				return
			}
		}
	})
}

// tablesChanged returns the event for a new view, with the row of the agent's
// pool and the last change to it.
func tablesChanged(view mulberryspool.TablesView, name string) rollout.TablesChanged {
	event := rollout.TablesChanged{Revision: view.Revision}
	if view.Tables == nil {
		return event
	}
	event.Pool, event.Exists = view.Tables.Pool(name)
	for _, change := range view.Tables.Changes {
		for _, row := range change.Rows {
			if row.Table == "pools" && row.Row == name {
				event.Change = change.ID
			}
		}
	}
	return event
}

// readManifest reads a manifest from the object API, or from a peer if the
// object API fails. Manifests are immutable, so any copy is valid.
func (p *Process) readManifest(version string) {
	addresses := p.manifestPeers(version)
	p.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(p.runCtx, callTimeout)
		defer cancel()
		manifest, err := p.fetchManifest(ctx, version)
		if err != nil && !errors.Is(err, mulberryspool.ErrNotFound) {
			if copied, ok := p.fetchManifestFromPeers(addresses, version); ok {
				manifest, err = copied, nil
			}
		}
		event := rollout.ManifestRead{Version: version, Manifest: manifest}
		if err != nil {
			event.Error = err.Error()
		}
		p.post(event)
	})
}

// manifestPeers returns the addresses of a few agents of the pool. The selection
// differs between agents, which spreads the load.
func (p *Process) manifestPeers(version string) []string {
	var addresses []string
	for _, instance := range rollout.RendezvousOrder(version+"/"+string(p.Identity.Instance), p.members) {
		if row, ok := p.listedAgents[instance]; ok && instance != p.Identity.Instance && len(addresses) < maxManifestPeers {
			addresses = append(addresses, row.Control)
		}
	}
	return addresses
}

func (p *Process) fetchManifest(ctx context.Context, version string) (mulberryspool.Manifest, error) {
	var manifest mulberryspool.Manifest
	object, err := p.Store.Get(ctx, mulberryspool.ManifestKind, version)
	if err != nil {
		return manifest, mulberryspool.AtStep(err, "read manifest "+version, "object API")
	}
	if err := json.Unmarshal(object.Value, &manifest); err != nil {
		return manifest, mulberryspool.AtStep(err, "decode manifest "+version, "object API")
	}
	if manifest.Version != version || manifest.Digest == "" {
		return manifest, mulberryspool.AtStep(errors.Newf("object describes version %q with digest %q", manifest.Version, manifest.Digest),
			"read manifest "+version, "object API")
	}
	return manifest, nil
}

func (p *Process) fetchManifestFromPeers(addresses []string, version string) (mulberryspool.Manifest, bool) {
	for _, address := range addresses {
		manifest, err := p.fetchManifestFrom(address, version)
		if err != nil {
			p.Logger.Debug().Err(err).Str("peer", address).Str("version", version).Msg("could not read manifest from peer")
			continue
		}
		if manifest.Version == version && manifest.Digest != "" {
			return manifest, true
		}
	}
	return mulberryspool.Manifest{}, false
}

func (p *Process) fetchManifestFrom(address, version string) (mulberryspool.Manifest, error) {
	ctx, cancel := context.WithTimeout(p.runCtx, p.SuspicionTimeout)
	defer cancel()
	var manifest mulberryspool.Manifest
	conn, err := p.Endpoint.Dial(ctx, address)
	if err != nil {
		return manifest, err
	}
	defer conn.Close()
	err = conn.Call(ctx, mulberryspool.MethodManifestFetch, mulberryspool.ManifestFetchParams{Version: version}, &manifest)
	return manifest, err
}

// stage starts the transfer of a content, which runs until it ends or
// stopStaging is called.
func (p *Process) stage(manifest mulberryspool.Manifest) {
	ctx, cancel := context.WithCancel(p.runCtx)
	p.stagingCancels[manifest.Digest] = cancel
	p.tasks.Go(func() {
		defer cancel()
		err := p.Stager.Stage(ctx, manifest)
		if ctx.Err() != nil {
			return
		}
		event := rollout.Staged{Digest: manifest.Digest}
		if err != nil {
			event.Error = err.Error()
		}
		p.post(event)
	})
}

func (p *Process) stopStaging(digest mulberryspool.Digest) {
	if stop, ok := p.stagingCancels[digest]; ok {
		stop()
		delete(p.stagingCancels, digest)
	}
}
