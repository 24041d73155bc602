package hosted

import (
	"context"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/bitset"
	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
)

// shareUplink leaves a part of the link to the events of a model server that serves.
func (a *agentRole) shareUplink(serves bool) {
	rate := float64(a.settings.Limits.Link)
	if !serves {
		rate *= idleUplink / (1 - uplinkLiveShare)
	}
	a.uplink.SetRate(int64(rate))
}

// layArrived gives the model server the pieces that are here of the version
// on its way, a few in each round. It goes on serving meanwhile.
func (a *agentRole) layArrived(ctx context.Context, model string) {
	a.mu.Lock()
	version := max(a.fetching, a.complete)
	m, ok := a.manifests[version]
	a.mu.Unlock()
	if !ok || version <= a.served(model) || a.laid == version {
		return
	}
	if a.laying != version {
		a.laying, a.laidPieces = version, bitset.New(len(m.Chunks))
	}
	given := 0
	for i, c := range m.Chunks {
		if a.laidPieces.Has(i) || given >= piecesPerRound {
			continue
		}
		data, here := a.fetcher.Chunk(c.Digest)
		if !here {
			continue
		}
		if err := a.engine.Stage(ctx, model, i, data); err != nil {
			a.logger.Warn().EmbedObject(logging.Fields{Version: m.Version}.Err(err)).Err(err).Msg("piece was not staged")
			return
		}
		a.laidPieces.Add(i)
		given++
	}
}

// lay gives the model server the pieces that it does not have yet.
func (a *agentRole) lay(ctx context.Context, model string, version int64) {
	replaced, err := a.layPieces(ctx, model, version)
	if err != nil {
		a.logger.Warn().EmbedObject(logging.Fields{}.Err(err)).Err(err).Int64("ordered", version).Msg("pieces were not staged")
		return
	}
	a.laid = version
	a.logger.Info().Str(logging.FieldStep, "lay").Int64("staged", version).Int("piecesReplaced", replaced).Msg("pieces are staged")
}

// order checks what lies at the model server and orders it to load that.
func (a *agentRole) order(ctx context.Context, model string, version int64) {
	began := a.clock.Now()
	replaced, err := a.layPieces(ctx, model, version)
	if err != nil {
		a.logger.Warn().EmbedObject(logging.Fields{}.Err(err)).Err(err).Int64("ordered", version).Msg("pieces were not checked")
		return
	}
	a.laid = version
	checked := a.clock.Since(began)
	err = a.engine.Start(ctx, model, version, a.state.Orders)
	e := a.logger.Info()
	if err != nil {
		e = a.logger.Warn().EmbedObject(logging.Fields{}.Err(err)).Err(err)
	}
	e.Str(logging.FieldStep, "order").Int64("before", a.served(model)).Int64("ordered", version).Int64("expect", a.state.Orders).
		Int("piecesReplaced", replaced).Dur("checking", checked).Int("running", a.state.Running).Msg("model server was ordered to load")
	// The next report says whether the order was taken.
	a.state.Loading = true
}

// layPieces makes the staged pieces those of a version: each one is read
// back, because they may rot and the model server does not check them. It
// returns how many it replaced.
func (a *agentRole) layPieces(ctx context.Context, model string, version int64) (int, error) {
	a.mu.Lock()
	m := a.manifests[version]
	a.mu.Unlock()
	replaced := 0
	for i, c := range m.Chunks {
		if _, err := a.readPiece(ctx, model, m, i); err == nil {
			continue
		}
		piece, here := a.fetcher.Chunk(c.Digest)
		if !here {
			return replaced, mulberryspool.AtStep(mulberryspool.ErrNotFound, "read chunk", "")
		}
		replaced++
		if err := a.engine.Stage(ctx, model, i, piece); err != nil {
			return replaced, err
		}
		if _, err := a.readPiece(ctx, model, m, i); err != nil {
			return replaced, err
		}
	}
	return replaced, nil
}
