package mulberryspool

import (
	"context"

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
)
