package mulberryspool

import "context"

type (
	// Origin is the server that holds the content of versions as files.
	Origin interface {
		// ReadRange returns exactly size bytes from the offset on. It calls received, unless
		// that is nil, with the number of bytes of each part that arrives.
		ReadRange(ctx context.Context, path string, offset, size int64, received func(count int)) ([]byte, error)
		// Size returns the length of the content in bytes.
		Size(ctx context.Context, path string) (int64, error)
	}

	// WeightStore is the platform's rate-limited store of chunks.
	WeightStore interface {
		// ReadChunk returns a chunk without verifying it. It fails with ErrNotFound
		// if the store does not have it. It calls received, unless that is nil, with the
		// number of bytes of each part that arrives.
		ReadChunk(ctx context.Context, digest Digest, received func(count int)) ([]byte, error)
		// WriteChunk stores the chunk under its digest.
		WriteChunk(ctx context.Context, digest Digest, data []byte) error
	}
)
