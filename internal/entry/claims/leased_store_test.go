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
	// leasedStore is a Store for comparison in the benchmark. Each range of
	// keys is owned by one entry by means of a lease, and only the owner
	// writes the range's claims; the other entries forward to it.
	leasedStore struct {
		self    mulberryspool.InstanceID
		objects mulberryspool.ObjectStore
		clock   mulberryspool.Clock
		ranges  int
		lease   time.Duration
		// forward calls CompareAndSwap at another entry.
		forward func(owner mulberryspool.InstanceID, expected *Claim, next Claim) (Claim, error)
		sharded *ShardedLog

		mu         sync.Mutex
		ownerships map[string]*ownership
	}

	ownership struct {
		// leaseMu serializes the reads and writes of one range's lease.
		leaseMu sync.Mutex
		owner   mulberryspool.InstanceID
		version mulberryspool.Revision
		// seenAt is when the version was first read or written here.
		seenAt time.Time
	}

	leaseRecord struct {
		Owner mulberryspool.InstanceID `json:"owner"`
	}
)

func (o *leasedStore) CompareAndSwap(ctx context.Context, expected *Claim, next Claim) (Claim, error) {
	name := strconv.Itoa(int(xxhash.Sum64String(next.Key) % uint64(o.ranges)))
	o.mu.Lock()
	own := o.ownerships[name]
	if own == nil {
		own = &ownership{}
		o.ownerships[name] = own
	}
	o.mu.Unlock()
	owner, err := o.ownerOf(ctx, name, own)
	if err != nil {
		return Claim{}, errors.Mark(err, mulberryspool.ErrUnavailable)
	}
	if owner == o.self {
		return o.sharded.CompareAndSwap(ctx, expected, next)
	}
	return o.forward(owner, expected, next)
}

// ownerOf returns the owner of a range. It acquires a lease that has expired,
// and renews its own lease after half of the lease time.
func (o *leasedStore) ownerOf(ctx context.Context, name string, own *ownership) (mulberryspool.InstanceID, error) {
	own.leaseMu.Lock()
	defer own.leaseMu.Unlock()
	age := o.clock.Since(own.seenAt)
	if own.version != 0 && (age < o.lease/2 || own.owner != o.self && age < o.lease) {
		return own.owner, nil
	}
	if own.owner != o.self {
		if err := o.readLease(ctx, name, own); err != nil || own.owner != "" && o.clock.Since(own.seenAt) < o.lease {
			return own.owner, err
		}
	}
	value, err := json.Marshal(leaseRecord{Owner: o.self})
	if err != nil {
		return "", err
	}
	var object mulberryspool.Object
	if own.version == 0 {
		object, err = o.objects.Create(ctx, ownerKind, name, value)
	} else {
		object, err = o.objects.Update(ctx, ownerKind, name, value, own.version)
	}
	if err == nil {
		own.owner, own.version, own.seenAt = o.self, object.Version, o.clock.Now()
		return o.self, nil
	}
	if !errors.Is(err, mulberryspool.ErrConflict) {
		return "", err
	}
	return own.owner, o.readLease(ctx, name, own)
}

func (o *leasedStore) readLease(ctx context.Context, name string, own *ownership) error {
	object, err := o.objects.Get(ctx, ownerKind, name)
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
		own.owner, own.version, own.seenAt = record.Owner, object.Version, o.clock.Now()
	}
	return nil
}
