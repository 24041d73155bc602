package mulberryspool

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of an ObjectStore. Test for them with errors.Is.
var (
	// ErrNotFound says that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict says that the object's version is not the expected one,
	// or that it exists already.
	ErrConflict = errors.New("object version conflict")
	// ErrUncertain says that a write may or may not have taken effect. The
	// writer has to read the object back.
	ErrUncertain = errors.New("write outcome unknown")
	// ErrUnavailable says that the call had no effect because the object API
	// is down, throttles this process, or the process's call budget is spent.
	ErrUnavailable = errors.New("object API unavailable")
	// ErrNotModified ends a watch whose object did not change in time.
	ErrNotModified = errors.New("object not modified")
	// ErrCompacted says that the history a watch asked for is gone.
	ErrCompacted = errors.New("history of objects is gone")
)

type (
	// Object is a value of the platform's object API.
	Object struct {
		Kind string `json:"kind"`
		Name string `json:"name"`
		// Version rises with every write of any object.
		Version Revision `json:"version"`
		// Value is at most one megabyte.
		Value []byte `json:"value"`
	}

	// ObjectStore is the platform's object API.
	ObjectStore interface {
		Get(ctx context.Context, kind, name string) (Object, error)
		// List returns the objects of a kind whose names start with prefix, sorted by name.
		List(ctx context.Context, kind, prefix string) ([]Object, error)
		// Create fails with ErrConflict if the object exists.
		Create(ctx context.Context, kind, name string, value []byte) (Object, error)
		// Update fails with ErrConflict unless the object has the given version.
		Update(ctx context.Context, kind, name string, value []byte, version Revision) (Object, error)
		// Delete fails with ErrConflict unless the object has the given version.
		Delete(ctx context.Context, kind, name string, version Revision) error
		// Watch waits until the object has a version above after. It ends with
		// ErrNotModified at the latest when its own deadline passes.
		Watch(ctx context.Context, kind, name string, after Revision) (Object, error)
	}

	// ObjectChange is one change of an object.
	ObjectChange struct {
		Object  Object
		Deleted bool
	}

	// ObjectKinds lists and follows whole kinds of objects.
	ObjectKinds interface {
		// List returns the objects of a kind and a revision from which
		// Changes misses nothing.
		List(ctx context.Context, kind string) ([]Object, Revision, error)
		// Changes waits for changes after the revision and returns them with
		// the revision to go on from. It returns none when the wait is over,
		// and ErrCompacted when the changes are no longer known.
		Changes(ctx context.Context, kind string, after Revision, wait time.Duration) ([]ObjectChange, Revision, error)
		// Put creates or replaces an object that no other process writes.
		Put(ctx context.Context, kind, name string, value any) error
	}
)
