package claims

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

// objectBook is the first way that the benchmark compares. It keeps one object per key. Each claim and each outcome costs a
// write, and so does the removal of an old claim.
type objectBook struct {
	store mulberryspool.ObjectStore
}

// Swap implements Book.
func (o *objectBook) Swap(ctx context.Context, expected *Claim, next Claim) (Claim, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return Claim{}, errors.Wrap(err, "encode claim")
	}
	name := nameOf(next.Key)
	uncertain := false
	for range settleTries {
		present, version, err := o.read(ctx, name, expected == nil && !uncertain)
		switch {
		case err != nil:
		case present != nil && uncertain && present.Is(next):
			return next, nil
		case !matches(present, expected):
			if present == nil {
				present = &Claim{}
			}
			return *present, ErrTaken
		case present == nil:
			_, err = o.store.Create(ctx, Kind, name, value)
		default:
			_, err = o.store.Update(ctx, Kind, name, value, version)
		}
		switch {
		case err == nil:
			return next, nil
		case errors.Is(err, mulberryspool.ErrConflict):
			// The next round reads what is there now.
			uncertain = true
		case errors.Is(err, mulberryspool.ErrUncertain):
			uncertain = true
		case !uncertain:
			return Claim{}, errors.Mark(err, mulberryspool.ErrUnavailable)
		}
	}
	return Claim{}, mulberryspool.AtStep(mulberryspool.ErrUncertain, "record claim", next.Key)
}

// read returns the present claim, or nothing when it is expected to be absent.
func (o *objectBook) read(ctx context.Context, name string, expectAbsent bool) (*Claim, mulberryspool.Revision, error) {
	if expectAbsent {
		return nil, 0, nil
	}
	object, err := o.store.Get(ctx, Kind, name)
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
