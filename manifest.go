package mulberryspool

// ManifestKind is the kind of the objects that hold manifests, named by version.
const ManifestKind = "manifests"

type (
	// Manifest describes the content of one version. It is immutable.
	Manifest struct {
		Version string `json:"version"`
		// Digest is the SHA-256 sum of the whole content.
		Digest Digest `json:"digest"`
		// Size is the sum of the chunk sizes in bytes.
		Size int64 `json:"size"`
		// OriginPath is the path of the content at the origin.
		OriginPath string `json:"originPath"`
		// Chunks holds the chunks in the order of the content.
		Chunks []Chunk `json:"chunks"`
	}

	// Chunk is a part of the content, addressed by its digest.
	Chunk struct {
		Digest Digest `json:"digest"`
		// Size is in bytes and positive.
		Size int64 `json:"size"`
	}
)
