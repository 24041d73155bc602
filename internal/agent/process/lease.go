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
	// leaseKind is the kind of the lease objects, named by instance.
	leaseKind = "leases"
	// leaseTries bounds the repetitions of a write that met another one.
	leaseTries = 4
)

type (
	// leaseRecord is the value of a lease object.
	leaseRecord struct {
		Incarnation mulberryspool.Incarnation `json:"incarnation"`
		// Number is the upper part of the holder's fencing numbers.
		Number uint64 `json:"number"`
		// Duration is how long the holder orders after each write.
		Duration time.Duration `json:"duration"`
		// Released is set by a holder that orders no more.
		Released bool `json:"released,omitempty"`
	}

	// leaseHolder writes the lease of one incarnation.
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
		// predecessor was the lease's last record before this incarnation took it.
		predecessor *leaseRecord
	}
)

// errSuperseded says that a newer incarnation holds the lease.
var errSuperseded = errors.New("a newer incarnation holds the lease")

// write takes or renews the lease. An incarnation that lost the lease never
// takes it again, because the one that has it is newer.
func (h *leaseHolder) write(ctx context.Context, order rollout.WriteLease) (rollout.LeaseWritten, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var err error
	for range leaseTries {
		var written rollout.LeaseWritten
		written, err = h.try(ctx, order.AtLeast)
		if err == nil {
			return written, nil
		}
		if !errors.Is(err, mulberryspool.ErrConflict) && !errors.Is(err, mulberryspool.ErrUncertain) {
			break
		}
	}
	return rollout.LeaseWritten{}, mulberryspool.AtStep(err, "write lease", "object API")
}

// try reads the lease and writes it once. The validity counts from before the
// write, so that it ends here before a successor may count on its end.
func (h *leaseHolder) try(ctx context.Context, atLeast uint64) (rollout.LeaseWritten, error) {
	name := string(h.identity.Instance)
	object, err := h.store.Get(ctx, leaseKind, name)
	exists := err == nil
	if err != nil && !errors.Is(err, mulberryspool.ErrNotFound) {
		return rollout.LeaseWritten{}, err
	}
	var found leaseRecord
	if exists {
		if err := json.Unmarshal(object.Value, &found); err != nil {
			return rollout.LeaseWritten{}, errors.Wrap(err, "decode lease")
		}
	}
	mine := exists && found.Incarnation == h.identity.Incarnation
	if h.held && exists && !mine {
		return rollout.LeaseWritten{}, errSuperseded
	}
	record := leaseRecord{Incarnation: h.identity.Incarnation, Number: max(found.Number, h.number, atLeast), Duration: h.duration}
	if exists && !mine {
		record.Number = max(found.Number+1, atLeast)
		h.predecessor = &found
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
	return rollout.LeaseWritten{Number: record.Number, ValidUntil: sent + h.duration, OrdersFrom: h.ordersFrom()}, nil
}

// ordersFrom is when the predecessor's lease and its last order are over. The
// predecessor can't have renewed after this incarnation's write.
func (h *leaseHolder) ordersFrom() time.Duration {
	if h.predecessor == nil || h.predecessor.Released {
		return 0
	}
	return h.clock.Since(h.started) + h.predecessor.Duration + h.maxOrderDelay
}

// release spares the successor the wait. An error costs only that wait.
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
	var found leaseRecord
	if json.Unmarshal(object.Value, &found) != nil || found.Incarnation != h.identity.Incarnation {
		return
	}
	found.Released = true
	if value, err := json.Marshal(found); err == nil {
		_, _ = h.store.Update(ctx, leaseKind, object.Name, value, object.Version)
	}
}

// writeLease runs the reducer's order to take or renew the lease.
func (p *Process) writeLease(order rollout.WriteLease) {
	p.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(p.running, callTimeout)
		defer cancel()
		written, err := p.lease.write(ctx, order)
		if err != nil {
			p.post(rollout.LeaseFailed{Superseded: errors.Is(err, errSuperseded), Error: err.Error()})
			return
		}
		p.post(written)
	})
}
