package hosted

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/bitset"
	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
)

const (
	// maxCheckAge is how old the check of the first piece may be when the load is
	// ordered. Pieces become corrupt while the agent or the model server is suspended.
	maxCheckAge = 2 * time.Second
	// maxChecks is the number of checks in a row after which a load is ordered although
	// the last check took longer, because the model server would never serve otherwise.
	maxChecks = 3
)

// pieceCheck is a check of all pieces at the model server.
type pieceCheck struct {
	// replaced is the number of pieces that were missing or wrong.
	replaced int
	took     time.Duration
}

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

// uploadAvailable uploads the available pieces of a version to the model server, a
// few in each round. The model server goes on serving meanwhile.
func (a *agentRole) uploadAvailable(ctx context.Context, model string, version int64) {
	a.mu.Lock()
	m, ok := a.manifests[version]
	a.mu.Unlock()
	if !ok || version <= a.servedVersion(model) || a.uploaded == version || !a.lateWrites.Allows(version) {
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
		a.uploaded = 0
		if err := a.stage(ctx, model, version, i, data); err != nil {
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
	a.markUploaded(version)
	a.logger.Info().Str(logging.FieldStep, "upload pieces").Int64("staged", version).Int("piecesReplaced", replaced).Msg("pieces are uploaded to the model server")
}

// markUploaded records that the model server holds all pieces of a version, and none of
// another one any more.
func (a *agentRole) markUploaded(version int64) {
	a.uploaded, a.uploading = version, 0
}

// orderLoad verifies the pieces at the model server and orders it to load them.
func (a *agentRole) orderLoad(ctx context.Context, model string, version int64) {
	var check pieceCheck
	for i := 0; i == 0 || check.took > maxCheckAge && i < maxChecks; i++ {
		var err error
		check, err = a.checkPieces(ctx, model, version)
		if err != nil {
			a.logger.Warn().EmbedObject(logging.Fields{}.WithStep(err)).Err(err).Int64("ordered", version).Msg("pieces at the model server could not be verified")
			return
		}
	}
	a.markUploaded(version)
	err := a.engine.LoadStaged(ctx, model, version, a.engineState.Orders)
	e := a.logger.Info()
	if errors.Is(err, mulberryspool.ErrUncertain) {
		a.lateWrites.OrderLost(version, a.engineState.Orders)
	} else if err != nil {
		a.lateWrites.OrderRefused(version)
	}
	if err != nil {
		e = a.logger.Warn().EmbedObject(logging.Fields{}.WithStep(err)).Err(err)
	}
	e.Str(logging.FieldStep, "order").Int64("before", a.servedVersion(model)).Int64("ordered", version).Int64("expect", a.engineState.Orders).
		Int("piecesReplaced", check.replaced).Dur("checking", check.took).Int("running", a.engineState.Running).Msg("model server was ordered to load")
	// The next read of the state says whether the order was accepted.
	a.engineState.Loading = true
}

// checkPieces makes the model server hold the pieces of a version. It fails if the model
// server has changed meanwhile: the pieces that were read first may be gone, and the count
// of orders of a new incarnation may be the same as that of the one before.
func (a *agentRole) checkPieces(ctx context.Context, model string, version int64) (pieceCheck, error) {
	began, before := a.clock.Now(), a.engineState
	replaced, err := a.ensureUploaded(ctx, model, version)
	if err != nil {
		return pieceCheck{}, err
	}
	if !a.readEngineState(ctx, model) {
		return pieceCheck{}, mulberryspool.AtStep(mulberryspool.ErrUnavailable, "read report", a.settings.Backend)
	}
	if now := a.engineState; now.Born != before.Born || now.Orders != before.Orders || now.Loading {
		return pieceCheck{}, mulberryspool.AtStep(errors.Wrapf(mulberryspool.ErrConflict, "model server was incarnation %d with %d orders, is %d with %d, loading %t",
			before.Born, before.Orders, now.Born, now.Orders, now.Loading), "check pieces", a.settings.Backend)
	}
	return pieceCheck{replaced: replaced, took: a.clock.Since(began)}, nil
}

// stage writes a piece to the model server.
func (a *agentRole) stage(ctx context.Context, model string, version int64, index int, data []byte) error {
	err := a.engine.Stage(ctx, model, index, data)
	if errors.Is(err, mulberryspool.ErrUncertain) {
		a.lateWrites.PieceLost(version)
	}
	return err
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
		if err := a.stage(ctx, model, version, i, piece); err != nil {
			return replaced, err
		}
		if _, err := a.readStagedPiece(ctx, model, m, i); err != nil {
			return replaced, err
		}
	}
	return replaced, nil
}
