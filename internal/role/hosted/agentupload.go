package hosted

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/bitset"
	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
)

// setUplinkRate limits uploads to other agents. While the model server serves,
// they leave uplinkLiveShare of the link to its events, else they use
// idleUplinkShare of it. The limiter always reserves uplinkLiveShare, so that the
// division undoes the reserve.
func (a *agentRole) setUplinkRate(serving bool) {
	rate := float64(a.settings.Limits.Link)
	if !serving {
		rate *= idleUplinkShare / (1 - uplinkLiveShare)
	}
	a.uplink.SetRate(int64(rate))
}

// uploadAvailable uploads the available pieces of the newest version to the
// model server, a few in each round. The model server goes on serving meanwhile.
func (a *agentRole) uploadAvailable(ctx context.Context, model string) {
	a.mu.Lock()
	version := max(a.fetching, a.staged)
	m, ok := a.manifests[version]
	a.mu.Unlock()
	if !ok || version <= a.servedVersion(model) || a.uploaded == version {
		return
	}
	if a.uploading != version {
		a.uploading, a.uploadedPieces = version, bitset.New(len(m.Chunks))
	}
	uploadCount := 0
	for i, c := range m.Chunks {
		if a.uploadedPieces.Has(i) || uploadCount >= maxPiecesPerRound {
			continue
		}
		data, held := a.fetcher.Chunk(c.Digest)
		if !held {
			continue
		}
		if err := a.engine.Stage(ctx, model, i, data); err != nil {
			a.logger.Warn().EmbedObject(logging.Fields{Version: m.Version}.WithStep(err)).Err(err).Msg("piece could not be uploaded to the model server")
			return
		}
		a.uploadedPieces.Add(i)
		uploadCount++
	}
}

// uploadPieces uploads the pieces that the model server does not have yet.
func (a *agentRole) uploadPieces(ctx context.Context, model string, version int64) {
	replaced, err := a.ensureUploaded(ctx, model, version)
	if err != nil {
		a.logger.Warn().EmbedObject(logging.Fields{}.WithStep(err)).Err(err).Int64("ordered", version).Msg("pieces could not be uploaded to the model server")
		return
	}
	a.uploaded = version
	a.logger.Info().Str(logging.FieldStep, "upload pieces").Int64("staged", version).Int("piecesReplaced", replaced).Msg("pieces are uploaded to the model server")
}

// orderLoad verifies the pieces at the model server and orders it to load them. What was
// verified holds for one incarnation of the model server, whose count of orders may be the
// same as that of the next one.
func (a *agentRole) orderLoad(ctx context.Context, model string, version int64) {
	began, before := a.clock.Now(), a.engineState
	replaced, err := a.ensureUploaded(ctx, model, version)
	if err != nil {
		a.logger.Warn().EmbedObject(logging.Fields{}.WithStep(err)).Err(err).Int64("ordered", version).Msg("pieces at the model server could not be verified")
		return
	}
	a.uploaded = version
	checked := a.clock.Since(began)
	if !a.readEngineState(ctx, model) {
		return
	}
	if a.engineState.Born != before.Born || a.engineState.Orders != before.Orders || a.engineState.Loading {
		a.logger.Info().Str(logging.FieldStep, "order").Int64("ordered", version).Int64("bornBefore", before.Born).Int64("born", a.engineState.Born).
			Int64("ordersBefore", before.Orders).Int64("orders", a.engineState.Orders).Msg("model server has changed while its pieces were verified, not ordered")
		return
	}
	err = a.engine.LoadStaged(ctx, model, version, a.engineState.Orders)
	e := a.logger.Info()
	if err != nil {
		e = a.logger.Warn().EmbedObject(logging.Fields{}.WithStep(err)).Err(err)
	}
	e.Str(logging.FieldStep, "order").Int64("before", a.servedVersion(model)).Int64("ordered", version).Int64("expect", a.engineState.Orders).
		Int("piecesReplaced", replaced).Dur("checking", checked).Int("running", a.engineState.Running).Msg("model server was ordered to load")
	// The next read of the state says whether the order was accepted.
	a.engineState.Loading = true
}

// ensureUploaded makes the model server hold the pieces of a version and returns
// how many it replaced. Each piece is read back and verified, because staged
// pieces may become corrupt and the model server does not check them.
func (a *agentRole) ensureUploaded(ctx context.Context, model string, version int64) (int, error) {
	a.mu.Lock()
	m, ok := a.manifests[version]
	a.mu.Unlock()
	if !ok {
		return 0, mulberryspool.AtStep(errors.Wrapf(mulberryspool.ErrNotFound, "manifest of version %d", version), "check pieces", "")
	}
	replaced := 0
	for i, c := range m.Chunks {
		if _, err := a.readStagedPiece(ctx, model, m, i); err == nil {
			continue
		}
		piece, held := a.fetcher.Chunk(c.Digest)
		if !held {
			return replaced, mulberryspool.AtStep(mulberryspool.ErrNotFound, "read chunk", "")
		}
		replaced++
		if err := a.engine.Stage(ctx, model, i, piece); err != nil {
			return replaced, err
		}
		if _, err := a.readStagedPiece(ctx, model, m, i); err != nil {
			return replaced, err
		}
	}
	return replaced, nil
}
