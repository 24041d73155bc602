package hosted

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
	"github.com/mulberryspool/mulberryspool/internal/peer/beat"
	"github.com/mulberryspool/mulberryspool/internal/platform/fleet"
)

// behindTime is how long the store may take to tell what a peer knows already.
const behindTime = 150 * time.Millisecond

// beliefs keeps a fleet up to date from the beats of entries while the store
// tells this process nothing, or later than others.
type beliefs struct {
	fleet  *fleet.Fleet
	clock  mulberryspool.Clock
	fetch  func(ctx context.Context, entry netip.AddrPort) (fleet.State, error)
	logger zerolog.Logger

	mu sync.Mutex
	// busy is set from the time that a peer is seen to know more until what it
	// believes has been read.
	busy bool
}

// heard takes in the beat of an entry.
func (b *beliefs) heard(m beat.Message, from netip.AddrPort) {
	if m.Marks == nil {
		return
	}
	b.fleet.MergeNamed(m.Marks.Named, m.Node)
	if m.Role != mulberryspool.RoleEntry || !b.fleet.Behind(*m.Marks) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.busy {
		return
	}
	b.busy = true
	marks := *m.Marks
	b.clock.AfterFunc(behindTime, func() {
		if b.fleet.Behind(marks) {
			b.catchUp(from, m.Node)
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		b.busy = false
	})
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
}
