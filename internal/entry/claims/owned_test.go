package claims

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

const ownerKind = "claimOwners"

type (
	// owned is the third way that the benchmark compares: each range of keys
	// has one owner by a lease, which alone writes the range's ledger object;
	// the other entries forward to it.
	owned struct {
		self   mulberryspool.InstanceID
		store  mulberryspool.ObjectStore
		clock  mulberryspool.Clock
		ranges int
		lease  time.Duration
		// forward calls Swap at another entry.
		forward func(owner mulberryspool.InstanceID, expected *Claim, next Claim) (Claim, error)
		ledger  *Ledger

		mu    sync.Mutex
		known map[string]*ownership
	}

	ownership struct {
		// taking serializes the reads and writes of one range's lease.
		taking  sync.Mutex
		owner   mulberryspool.InstanceID
		version mulberryspool.Revision
		// seen is when the version was first read or written here.
		seen time.Time
	}

	leaseRecord struct {
		Owner mulberryspool.InstanceID `json:"owner"`
	}
)

func (o *owned) Swap(ctx context.Context, expected *Claim, next Claim) (Claim, error) {
	name := strconv.Itoa(int(xxhash.Sum64String(next.Key) % uint64(o.ranges)))
	o.mu.Lock()
	own := o.known[name]
	if own == nil {
		own = &ownership{}
		o.known[name] = own
	}
	o.mu.Unlock()
	owner, err := o.ownerOf(ctx, name, own)
	if err != nil {
		return Claim{}, errors.Mark(err, mulberryspool.ErrUnavailable)
	}
	if owner == o.self {
		return o.ledger.Swap(ctx, expected, next)
	}
	return o.forward(owner, expected, next)
}

// ownerOf returns the owner of a range, taking over a lease that lapsed and
// renewing one that is half over.
func (o *owned) ownerOf(ctx context.Context, name string, own *ownership) (mulberryspool.InstanceID, error) {
	own.taking.Lock()
	defer own.taking.Unlock()
	age := o.clock.Since(own.seen)
	if own.version != 0 && (age < o.lease/2 || own.owner != o.self && age < o.lease) {
		return own.owner, nil
	}
	if own.owner != o.self {
		if err := o.readLease(ctx, name, own); err != nil || own.owner != "" && o.clock.Since(own.seen) < o.lease {
			return own.owner, err
		}
	}
	value, err := json.Marshal(leaseRecord{Owner: o.self})
	if err != nil {
		return "", err
	}
	var object mulberryspool.Object
	if own.version == 0 {
		object, err = o.store.Create(ctx, ownerKind, name, value)
	} else {
		object, err = o.store.Update(ctx, ownerKind, name, value, own.version)
	}
	if err == nil {
		own.owner, own.version, own.seen = o.self, object.Version, o.clock.Now()
		return o.self, nil
	}
	if !errors.Is(err, mulberryspool.ErrConflict) {
		return "", err
	}
	return own.owner, o.readLease(ctx, name, own)
}

func (o *owned) readLease(ctx context.Context, name string, own *ownership) error {
	object, err := o.store.Get(ctx, ownerKind, name)
	if errors.Is(err, mulberryspool.ErrNotFound) {
		own.owner, own.version = "", 0
		return nil
	}
	if err != nil {
		return err
	}
	var record leaseRecord
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return err
	}
	if object.Version != own.version {
		own.owner, own.version, own.seen = record.Owner, object.Version, o.clock.Now()
	}
	return nil
}
