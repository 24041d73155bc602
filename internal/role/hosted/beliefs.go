package hosted

import (
	"context"
	"net/netip"
	"sync"

	"github.com/rs/zerolog"

	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
	"github.com/mulberryspool/mulberryspool/internal/peer/beat"
	"github.com/mulberryspool/mulberryspool/internal/platform/fleet"
)

// beliefs keeps a fleet up to date from the beats of entries while the store
// does not answer this process.
type beliefs struct {
	fleet  *fleet.Fleet
	fetch  func(ctx context.Context, entry netip.AddrPort) (fleet.State, error)
	logger zerolog.Logger

	mu sync.Mutex
	// fetching is set while the beliefs of a peer are read.
	fetching bool
}

// heard takes in the beat of an entry.
func (b *beliefs) heard(m beat.Message, from netip.AddrPort) {
	if m.Marks == nil {
		return
	}
	b.fleet.MergeNamed(m.Marks.Named, m.Node)
	if !b.fleet.Behind(*m.Marks) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fetching {
		return
	}
	b.fetching = true
	go b.catchUp(from, m.Node)
}

// catchUp reads what a peer believes.
func (b *beliefs) catchUp(from netip.AddrPort, node string) {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	state, err := b.fetch(ctx, from)
	if err != nil {
		b.logger.Info().EmbedObject(logging.Fields{}.Err(err)).Err(err).Msg("beliefs of a peer were not read")
	} else {
		b.fleet.Merge(state, node)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fetching = false
}
