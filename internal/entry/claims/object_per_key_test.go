package claims

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

// objectPerKeyStore is a Store with one object per key, for comparison in the
// benchmark. Each claim, each outcome and each removal of an old claim costs a
// write.
type objectPerKeyStore struct {
	objects mulberryspool.ObjectStore
}

// CompareAndSwap implements Store.
func (o *objectPerKeyStore) CompareAndSwap(ctx context.Context, expected *Claim, next Claim) (Claim, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return Claim{}, errors.Wrap(err, "encode claim")
	}
	name := keyName(next.Key)
	uncertain := false
	for range maxUnavailableAttempts {
		present, version, err := o.read(ctx, name, expected == nil && !uncertain)
		switch {
		case err != nil:
		case present != nil && uncertain && present.SameState(next):
			return next, nil
		case !matches(present, expected):
			if present == nil {
				present = &Claim{}
			}
			return *present, ErrTaken
		case present == nil:
			_, err = o.objects.Create(ctx, ObjectKind, name, value)
		default:
			_, err = o.objects.Update(ctx, ObjectKind, name, value, version)
		}
		switch {
		case err == nil:
			return next, nil
		case errors.Is(err, mulberryspool.ErrConflict):
			// The next attempt reads the stored claim.
			uncertain = true
		case errors.Is(err, mulberryspool.ErrUncertain):
			uncertain = true
		case !uncertain:
			return Claim{}, errors.Mark(err, mulberryspool.ErrUnavailable)
		}
	}
	return Claim{}, mulberryspool.AtStep(mulberryspool.ErrUncertain, "record claim", next.Key)
}

// read returns the stored claim and its version, without a read of the object
// if the claim is expected to be absent.
func (o *objectPerKeyStore) read(ctx context.Context, name string, expectAbsent bool) (*Claim, mulberryspool.Revision, error) {
	if expectAbsent {
		return nil, 0, nil
	}
	object, err := o.objects.Get(ctx, ObjectKind, name)
	if errors.Is(err, mulberryspool.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var claim Claim
	if err := json.Unmarshal(object.Value, &claim); err != nil {
		return nil, 0, errors.Wrapf(err, "decode claim %s", name)
	}
	return &claim, object.Version, nil
}
