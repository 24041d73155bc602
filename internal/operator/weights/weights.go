// Package weights publishes versions of weights and reads their manifests.
//
//	origin --content--> Publish --conditional create--> object manifests/<version>
//	                       \--chunks--> weight store
package weights

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/dustin/go-humanize"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// DefaultChunkBytes is the chunk size if the request gives none.
	DefaultChunkBytes = 8 << 20
	// MaxManifestBytes is the object API's limit for one value.
	MaxManifestBytes = 1_000_000
	// confirmAttempts limits the attempts to create a manifest, and the reads
	// that find out the outcome of each attempt whose response was lost.
	confirmAttempts = 3
	// chunkSizeUnit is the smallest chunk size that is suggested; larger ones
	// are doublings of it.
	chunkSizeUnit = 64 << 10
	// manifestReserve is the space left for the other fields of the manifest
	// when a chunk size is suggested.
	manifestReserve = 4 << 10
)

// Errors returned by a Publisher. Test for them with errors.Is.
var (
	// ErrExists reports that the version is already published with different
	// content or different chunks.
	ErrExists = errors.New("version is already published with different content")
	// ErrTooLarge reports that the manifest would exceed MaxManifestBytes.
	ErrTooLarge = errors.New("manifest is too large")
	// ErrInvalid reports an invalid publish request.
	ErrInvalid = errors.New("invalid publish request")
)

type (
	// Publisher publishes versions. Set the exported fields before use.
	Publisher struct {
		Store  mulberryspool.ObjectStore
		Origin mulberryspool.Origin
		// WeightStore is optional. Every chunk is written to it before the
		// version is registered, so that agents can read from it if the origin
		// is down.
		WeightStore mulberryspool.WeightStore
	}

	// Request describes the version to publish.
	Request struct {
		// Version is the name of the manifest. It can't be reused for different
		// content.
		Version string
		// OriginPath is the path of the content at the origin.
		OriginPath string
		// ChunkBytes is the size of all chunks except the last; 0 means
		// DefaultChunkBytes.
		ChunkBytes int64
	}
)

// Publish reads the content once and registers its manifest. It is idempotent
// for the same content and chunk size.
func (p *Publisher) Publish(ctx context.Context, request Request) (mulberryspool.Manifest, error) {
	manifest, err := p.publish(ctx, request)
	return manifest, mulberryspool.AtStep(err, "publish version "+request.Version, "")
}

// Show returns the manifest of a version, or an error with
// mulberryspool.ErrNotFound if the version is not published.
func (p *Publisher) Show(ctx context.Context, version string) (mulberryspool.Manifest, error) {
	object, err := p.Store.Get(ctx, mulberryspool.ManifestKind, version)
	if err != nil {
		return mulberryspool.Manifest{}, mulberryspool.AtStep(err, "read manifest "+version, "object API")
	}
	var manifest mulberryspool.Manifest
	err = json.Unmarshal(object.Value, &manifest)
	return manifest, mulberryspool.AtStep(err, "decode manifest "+version, "")
}

func (p *Publisher) publish(ctx context.Context, request Request) (mulberryspool.Manifest, error) {
	if request.ChunkBytes == 0 {
		request.ChunkBytes = DefaultChunkBytes
	}
	if err := checkRequest(request); err != nil {
		return mulberryspool.Manifest{}, err
	}
	size, err := p.Origin.Size(ctx, request.OriginPath)
	if err != nil {
		return mulberryspool.Manifest{}, mulberryspool.AtStep(err, "read size of "+request.OriginPath, "origin")
	}
	if err := checkSize(request, size); err != nil {
		return mulberryspool.Manifest{}, err
	}
	manifest, err := p.buildManifest(ctx, request, size)
	if err != nil {
		return mulberryspool.Manifest{}, err
	}
	value, err := json.Marshal(manifest)
	if err != nil {
		return mulberryspool.Manifest{}, errors.Wrap(err, "encode manifest")
	}
	if len(value) > MaxManifestBytes {
		return mulberryspool.Manifest{}, tooLarge(size, int64(len(value)))
	}
	return manifest, p.create(ctx, manifest, value)
}

// checkRequest rejects versions that can't be used as object names, empty
// origin paths and negative chunk sizes.
func checkRequest(request Request) error {
	switch {
	case request.Version == "" || strings.ContainsAny(request.Version, "/ \t\r\n?#%"):
		return errors.Wrapf(ErrInvalid, "version %q must not be empty or contain spaces or any of / ? # %%", request.Version)
	case request.OriginPath == "":
		return errors.Wrap(ErrInvalid, "origin path is empty")
	case request.ChunkBytes < 0:
		return errors.Wrapf(ErrInvalid, "chunk size is %d bytes, must be positive", request.ChunkBytes)
	}
	return nil
}

// checkSize rejects empty content, and content whose estimated manifest is too
// large, before any content is read.
func checkSize(request Request, size int64) error {
	if size <= 0 {
		return errors.Wrapf(ErrInvalid, "content at %s is empty", request.OriginPath)
	}
	count := (size + request.ChunkBytes - 1) / request.ChunkBytes
	if estimate := count * chunkEntryBytes(request.ChunkBytes); estimate > MaxManifestBytes {
		return tooLarge(size, estimate)
	}
	return nil
}

// chunkEntryBytes returns the encoded size of a chunk in the manifest.
func chunkEntryBytes(chunkBytes int64) int64 {
	entry, err := json.Marshal(mulberryspool.Chunk{Digest: mulberryspool.Digest(strings.Repeat("0", hex.EncodedLen(sha256.Size))), Size: chunkBytes})
	if err != nil {
		panic(err)
	}
	return int64(len(entry)) + 1
}

func tooLarge(size, manifestBytes int64) error {
	return errors.Wrapf(ErrTooLarge, "manifest would have %s bytes, the limit is %s; use a chunk size of %s",
		humanize.Comma(manifestBytes), humanize.Comma(MaxManifestBytes), humanize.IBytes(uint64(FittingChunkBytes(size))))
}

// FittingChunkBytes returns a chunk size, 64 KiB or a doubling of it, with
// which the manifest of content of this size stays below MaxManifestBytes.
func FittingChunkBytes(size int64) int64 {
	chunks := (MaxManifestBytes - manifestReserve) / chunkEntryBytes(size)
	unit := int64(chunkSizeUnit)
	for unit*chunks < size {
		unit *= 2
	}
	return unit
}

// buildManifest reads the content in chunks, writes each of them to the weight
// store if there is one, and returns the manifest.
func (p *Publisher) buildManifest(ctx context.Context, request Request, size int64) (mulberryspool.Manifest, error) {
	manifest := mulberryspool.Manifest{Version: request.Version, Size: size, OriginPath: request.OriginPath}
	contentHash := sha256.New()
	for offset := int64(0); offset < size; offset += request.ChunkBytes {
		length := min(request.ChunkBytes, size-offset)
		data, err := p.Origin.ReadRange(ctx, request.OriginPath, offset, length, nil)
		if err != nil {
			return mulberryspool.Manifest{}, mulberryspool.AtStep(err, "read content", "origin")
		}
		if int64(len(data)) != length {
			return mulberryspool.Manifest{}, mulberryspool.AtStep(errors.Newf("got %d bytes at offset %d, want %d", len(data), offset, length), "read content", "origin")
		}
		_, _ = contentHash.Write(data)
		sum := sha256.Sum256(data)
		chunk := mulberryspool.Chunk{Digest: mulberryspool.Digest(hex.EncodeToString(sum[:])), Size: length}
		if p.WeightStore != nil {
			if err := p.WeightStore.WriteChunk(ctx, chunk.Digest, data); err != nil {
				return mulberryspool.Manifest{}, mulberryspool.AtStep(err, "write chunk", "weight store")
			}
		}
		manifest.Chunks = append(manifest.Chunks, chunk)
	}
	manifest.Digest = mulberryspool.Digest(hex.EncodeToString(contentHash.Sum(nil)))
	return manifest, nil
}

// create registers the manifest. If the outcome is unknown or the version
// exists, it reads the registered manifest, and tries again if there is none.
func (p *Publisher) create(ctx context.Context, manifest mulberryspool.Manifest, value []byte) error {
	var err error
	for range confirmAttempts {
		_, err = p.Store.Create(ctx, mulberryspool.ManifestKind, manifest.Version, value)
		if err == nil {
			return nil
		}
		if !errors.Is(err, mulberryspool.ErrConflict) && !errors.Is(err, mulberryspool.ErrUncertain) {
			return mulberryspool.AtStep(err, "create manifest", "object API")
		}
		var found bool
		if found, err = p.confirmRegistered(ctx, manifest); found || err != nil {
			return err
		}
	}
	return mulberryspool.AtStep(mulberryspool.ErrUncertain, "create manifest", "object API")
}

// confirmRegistered reports whether the manifest is registered. It fails with
// ErrExists if the version is registered with a different manifest.
func (p *Publisher) confirmRegistered(ctx context.Context, manifest mulberryspool.Manifest) (bool, error) {
	var registered mulberryspool.Manifest
	var err error
	for range confirmAttempts {
		registered, err = p.Show(ctx, manifest.Version)
		if !errors.Is(err, mulberryspool.ErrUnavailable) {
			break
		}
	}
	switch {
	case errors.Is(err, mulberryspool.ErrNotFound):
		return false, nil
	case err != nil:
		return false, errors.Wrapf(errors.CombineErrors(err, mulberryspool.ErrUncertain), "can't confirm that version %s is registered; run publish again", manifest.Version)
	case registered.Digest != manifest.Digest:
		return false, errors.Wrapf(ErrExists, "version %s has digest %s, the content at %s has %s", manifest.Version, registered.Digest, manifest.OriginPath, manifest.Digest)
	case !reflect.DeepEqual(registered.Chunks, manifest.Chunks):
		return false, errors.Wrapf(ErrExists, "version %s has the same content in different chunks (%d registered, %d requested)", manifest.Version, len(registered.Chunks), len(manifest.Chunks))
	}
	return true, nil
}
