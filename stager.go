package mulberryspool

import (
	"context"
	"io"
)

type (
	// Stager holds the content of versions in an agent's memory.
	Stager interface {
		// Stage fetches the chunks of the manifest and returns when all of them are
		// held and verified. It retries until the context ends, and drops the chunks
		// of earlier manifests that are neither shared nor held.
		Stage(ctx context.Context, manifest Manifest) error
		// Open returns a reader of a staged content.
		Open(manifest Manifest) (io.ReadCloser, error)
		// Release drops the chunks that no other manifest has.
		Release(digest Digest)
		// ExchangeHave records the chunks that another agent holds and returns those that
		// this one holds.
		ExchangeHave(params ChunksHaveParams) ChunksHaveResult
		// Progress returns the progress of the last call of Stage.
		Progress() StageProgress
	}

	// StageProgress is the progress of a transfer.
	StageProgress struct {
		Manifest Digest `json:"manifest,omitempty"`
		Version  string `json:"version,omitempty"`
		// Chunks is the number of the Total chunks that are held and verified.
		Chunks int `json:"chunks"`
		Total  int `json:"total"`
		// The bytes received from each source since the start of the transfer.
		OriginBytes      int64 `json:"originBytes"`
		WeightStoreBytes int64 `json:"weightStoreBytes"`
		RegionBytes      int64 `json:"regionBytes"`
		PeerBytes        int64 `json:"peerBytes"`
		// BytesPerSecond is the recent transfer rate.
		BytesPerSecond int64 `json:"bytesPerSecond"`
		// Stalled is why no data arrives; empty while data arrives.
		Stalled string `json:"stalled,omitempty"`
	}
)
