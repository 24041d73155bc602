package process

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/rollout"
)

const (
	// leaseKind is the object kind of leases. Their object name is the instance.
	leaseKind = "leases"
	// leaseWriteAttempts limits the attempts of a write that conflicts with
	// another one or whose result is uncertain.
	leaseWriteAttempts = 4
)

type (
	// leaseRecord is the stored value of a lease.
	leaseRecord struct {
		Incarnation mulberryspool.Incarnation `json:"incarnation"`
		// Number is the high part of the holder's fencing numbers.
		Number uint64 `json:"number"`
		// Duration is how long the holder may send load orders after each write.
		Duration time.Duration `json:"duration"`
		// Released is set by a holder that sends no more load orders.
		Released bool `json:"released,omitempty"`
	}

	// leaseHolder takes and renews the instance's lease for one incarnation.
	leaseHolder struct {
		store         mulberryspool.ObjectStore
		clock         mulberryspool.Clock
		started       time.Time
		identity      mulberryspool.Identity
		duration      time.Duration
		maxOrderDelay time.Duration

		mu     sync.Mutex
		held   bool
		number uint64
		// previous is the last record of the previous incarnation; nil if there
		// was none.
		previous *leaseRecord
	}
)

var errSuperseded = errors.New("a newer incarnation holds the lease")

// write takes or renews the lease. An incarnation that lost the lease never
// takes it again, because the present holder is newer.
func (h *leaseHolder) write(ctx context.Context, effect rollout.WriteLease) (rollout.LeaseWritten, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var err error
	for range leaseWriteAttempts {
		var written rollout.LeaseWritten
		written, err = h.writeOnce(ctx, effect.AtLeast)
		if err == nil {
			return written, nil
		}
		if !errors.Is(err, mulberryspool.ErrConflict) && !errors.Is(err, mulberryspool.ErrUncertain) {
			break
		}
	}
	return rollout.LeaseWritten{}, mulberryspool.AtStep(err, "write lease", "object API")
}

// writeOnce reads the lease and writes it once. Its validity is counted from
// before the write, so that it expires for this holder before it does for the next
// incarnation.
func (h *leaseHolder) writeOnce(ctx context.Context, atLeast uint64) (rollout.LeaseWritten, error) {
	name := string(h.identity.Instance)
	object, err := h.store.Get(ctx, leaseKind, name)
	exists := err == nil
	if err != nil && !errors.Is(err, mulberryspool.ErrNotFound) {
		return rollout.LeaseWritten{}, err
	}
	var stored leaseRecord
	if exists {
		if err := json.Unmarshal(object.Value, &stored); err != nil {
			return rollout.LeaseWritten{}, errors.Wrap(err, "decode lease")
		}
	}
	own := exists && stored.Incarnation == h.identity.Incarnation
	if h.held && exists && !own {
		return rollout.LeaseWritten{}, errSuperseded
	}
	record := leaseRecord{Incarnation: h.identity.Incarnation, Number: max(stored.Number, h.number, atLeast), Duration: h.duration}
	if exists && !own {
		record.Number = max(stored.Number+1, atLeast)
		h.previous = &stored
	}
	value, err := json.Marshal(record)
	if err != nil {
		return rollout.LeaseWritten{}, errors.Wrap(err, "encode lease")
	}
	sent := h.clock.Since(h.started)
	if exists {
		_, err = h.store.Update(ctx, leaseKind, name, value, object.Version)
	} else {
		_, err = h.store.Create(ctx, leaseKind, name, value)
	}
	if err != nil {
		return rollout.LeaseWritten{}, err
	}
	h.held, h.number = true, record.Number
	return rollout.LeaseWritten{Number: record.Number, ValidUntil: sent + h.duration, OrdersAllowedFrom: h.ordersFrom()}, nil
}

// ordersFrom returns the time at which the lease of the previous incarnation has
// expired and its last load order has taken effect. The time counts from now,
// because the previous incarnation can't have renewed the lease after this
// incarnation's write.
func (h *leaseHolder) ordersFrom() time.Duration {
	if h.previous == nil || h.previous.Released {
		return 0
	}
	return h.clock.Since(h.started) + h.previous.Duration + h.maxOrderDelay
}

// release marks the lease as released, so that the next incarnation need not
// wait until it expires. Errors are ignored: they only cause that wait.
func (h *leaseHolder) release(ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.held {
		return
	}
	object, err := h.store.Get(ctx, leaseKind, string(h.identity.Instance))
	if err != nil {
		return
	}
	var stored leaseRecord
	if json.Unmarshal(object.Value, &stored) != nil || stored.Incarnation != h.identity.Incarnation {
		return
	}
	stored.Released = true
	if value, err := json.Marshal(stored); err == nil {
		_, _ = h.store.Update(ctx, leaseKind, object.Name, value, object.Version)
	}
}

// writeLease performs the rollout's WriteLease effect.
func (p *Process) writeLease(effect rollout.WriteLease) {
	p.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(p.runCtx, callTimeout)
		defer cancel()
		written, err := p.lease.write(ctx, effect)
		if err != nil {
			p.post(rollout.LeaseFailed{Superseded: errors.Is(err, errSuperseded), Error: err.Error()})
			return
		}
		p.post(written)
	})
}
