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

const (
	// behindTime is how long the store may take to tell what a peer knows already.
	behindTime = 150 * time.Millisecond
	// farBehindTime is the same before a peer in another failure domain is
	// read: one nearby then knows it too, and its bytes cost nothing.
	farBehindTime = 400 * time.Millisecond
)

// beliefs keeps a fleet up to date from the beats of entries while the store
// tells this process nothing, or later than others.
type beliefs struct {
	fleet  *fleet.Fleet
	clock  mulberryspool.Clock
	fetch  func(ctx context.Context, entry netip.AddrPort) (fleet.State, error)
	logger zerolog.Logger
	// domain is the failure domain of this process.
	domain string
	// rest is the least time between two readings.
	rest time.Duration

	mu sync.Mutex
	// busy is set from the time that a peer is seen to know more until what it
	// believes has been read; for peers nearby (true) and others (false).
	busy map[bool]bool
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
	near, wait := m.Domain == b.domain, behindTime
	if !near {
		wait = farBehindTime
	}
	if b.busy[near] {
		return
	}
	if b.busy == nil {
		b.busy = make(map[bool]bool)
	}
	b.busy[near] = true
	marks := *m.Marks
	ready := func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.busy[near] = false
	}
	b.clock.AfterFunc(wait, func() {
		if !b.fleet.Behind(marks) {
			ready()
			return
		}
		b.catchUp(from, m.Node)
		if b.rest == 0 {
			ready()
			return
		}
		b.clock.AfterFunc(b.rest, ready)
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
