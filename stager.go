package mulberryspool

import (
	"context"
	"io"
)

type (
	// Stager holds the content of versions in an agent's memory.
	Stager interface {
		// Stage returns when all chunks of the manifest are held and verified.
		// It keeps trying until the context ends, and drops the chunks of
		// earlier manifests that are neither shared nor held.
		Stage(ctx context.Context, manifest Manifest) error
		// Open streams a staged content in order.
		Open(manifest Manifest) (io.ReadCloser, error)
		// Release drops the chunks that only this manifest has.
		Release(digest Digest)
		// Have takes in what another agent holds and answers with what this one holds.
		Have(params ChunksHaveParams) ChunksHaveResult
		// Progress returns the state of the manifest staged last.
		Progress() StageProgress
	}

	// StageProgress says how far a transfer is.
	StageProgress struct {
		Manifest Digest `json:"manifest,omitempty"`
		Version  string `json:"version,omitempty"`
		// Chunks of Total are held and verified.
		Chunks int `json:"chunks"`
		Total  int `json:"total"`
		// Bytes by source since the transfer began.
		OriginBytes      int64 `json:"originBytes"`
		WeightStoreBytes int64 `json:"weightStoreBytes"`
		RegionBytes      int64 `json:"regionBytes"`
		PeerBytes        int64 `json:"peerBytes"`
		// BytesPerSecond is the recent rate.
		BytesPerSecond int64 `json:"bytesPerSecond"`
		// Stalled says why nothing arrives; empty while something does.
		Stalled string `json:"stalled,omitempty"`
	}
)
