package mulberryspool

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of an ObjectStore. Test for them with errors.Is.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object's version is not the expected one, or
	// that the object exists already.
	ErrConflict = errors.New("object version conflict")
	// ErrUncertain means that a write may or may not have taken effect. The
	// writer must read the object back.
	ErrUncertain = errors.New("write outcome unknown")
	// ErrUnavailable means that the call had no effect because the object API is
	// down or throttles this process, or because the process's call budget is used
	// up.
	ErrUnavailable = errors.New("object API unavailable")
	// ErrNotModified is returned by a watch if the object did not change in time.
	ErrNotModified = errors.New("object not modified")
	// ErrCompacted means that the history requested by a watch has been dropped.
	ErrCompacted = errors.New("history of objects is gone")
)

type (
	// Object is a value of the platform's object API.
	Object struct {
		Kind string `json:"kind"`
		Name string `json:"name"`
		// Version increases with every write of any object.
		Version Revision `json:"version"`
		// Era is that of Version.
		Era Era `json:"era,omitzero"`
		// Value has a size of at most 1 MB.
		Value []byte `json:"value"`
	}

	// ObjectStore is the platform's object API.
	ObjectStore interface {
		Get(ctx context.Context, kind, name string) (Object, error)
		// List returns the objects of a kind whose names start with prefix, sorted by name.
		List(ctx context.Context, kind, prefix string) ([]Object, error)
		// Create fails with ErrConflict if the object exists.
		Create(ctx context.Context, kind, name string, value []byte) (Object, error)
		// Update replaces the value. It fails with ErrConflict unless the object has
		// the given version.
		Update(ctx context.Context, kind, name string, value []byte, version Revision) (Object, error)
		// Delete fails with ErrConflict unless the object has the given version.
		Delete(ctx context.Context, kind, name string, version Revision) error
		// Watch waits until the object has a version above after. It fails with
		// ErrNotModified if that does not happen before the watch deadline.
		Watch(ctx context.Context, kind, name string, after Revision) (Object, error)
	}

	// ObjectChange is one change of an object.
	ObjectChange struct {
		Object  Object
		Deleted bool
	}

	// ChangeList is the answer to a watch.
	ChangeList struct {
		// Changes is empty if the wait ended before any change. They are changes after the
		// requested revision of the era of At, which may be another than that of the caller.
		Changes []ObjectChange
		// At is the position to continue from.
		At Position
		// SentAt is when the answered attempt was sent. A call may include earlier
		// attempts that were not answered.
		SentAt time.Time
		// Waited is how long the answered attempt allowed the store to wait.
		Waited time.Duration
	}

	// KindStore is a store that lists and watches all objects of a kind.
	KindStore interface {
		// List returns the objects of a kind and a position. Changes after its
		// revision returns every change that the list does not include, while the era lasts.
		List(ctx context.Context, kind string) ([]Object, Position, error)
		// Changes waits for changes after the revision, in whatever era the store is in
		// when it answers. It returns ErrCompacted if the store no longer has the changes.
		Changes(ctx context.Context, kind string, after Revision, wait time.Duration) (ChangeList, error)
		// Put creates or replaces an object. No other process may write the object.
		Put(ctx context.Context, kind, name string, value any) error
	}
)
