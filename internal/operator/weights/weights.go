// Package weights publishes versions and shows their manifests.
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
	// DefaultChunkBytes is the chunk size when none is given.
	DefaultChunkBytes = 8 << 20
	// MaximumManifestBytes is the object API's limit on a value.
	MaximumManifestBytes = 1_000_000
	// readAttempts bounds the tries to settle a create whose answer was lost.
	readAttempts = 3
	// chunkUnit is what proposed chunk sizes are multiples of.
	chunkUnit = 64 << 10
	// manifestReserve is left free beside the chunks in a proposed size.
	manifestReserve = 4 << 10
)

// Errors of a Publisher. Test for them with errors.Is.
var (
	// ErrExists says that the version is published with other content.
	ErrExists = errors.New("version is published with other content")
	// ErrTooLarge says that the manifest would exceed the object API's limit.
	ErrTooLarge = errors.New("manifest is too large")
	// ErrInvalid says that the request to publish is wrong.
	ErrInvalid = errors.New("invalid publish request")
)

type (
	// Publisher registers versions. Set the exported fields before use.
	Publisher struct {
		Store  mulberryspool.ObjectStore
		Origin mulberryspool.Origin
		// WeightStore is optional. It gets each chunk before the version is
		// registered, so that agents can turn to it when the origin is down.
		WeightStore mulberryspool.WeightStore
	}

	// Request names what is published.
	Request struct {
		// Version becomes the name of the manifest; it can't be used again for
		// other content.
		Version string
		// OriginPath is the path of the content at the origin.
		OriginPath string
		// ChunkBytes is the size of all chunks but the last; 0 means DefaultChunkBytes.
		ChunkBytes int64
	}
)

// Publish reads the content once and registers it. Publishing the same content
// in the same chunks again returns the registered manifest.
func (p *Publisher) Publish(ctx context.Context, request Request) (mulberryspool.Manifest, error) {
	manifest, err := p.publish(ctx, request)
	return manifest, mulberryspool.AtStep(err, "publish version "+request.Version, "")
}

// Show returns the manifest of a version; ErrNotFound if it is not published.
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
	if err := check(request); err != nil {
		return mulberryspool.Manifest{}, err
	}
	size, err := p.Origin.Size(ctx, request.OriginPath)
	if err != nil {
		return mulberryspool.Manifest{}, mulberryspool.AtStep(err, "read size of "+request.OriginPath, "origin")
	}
	if err := checkSize(request, size); err != nil {
		return mulberryspool.Manifest{}, err
	}
	manifest, err := p.read(ctx, request, size)
	if err != nil {
		return mulberryspool.Manifest{}, err
	}
	value, err := json.Marshal(manifest)
	if err != nil {
		return mulberryspool.Manifest{}, errors.Wrap(err, "encode manifest")
	}
	if len(value) > MaximumManifestBytes {
		return mulberryspool.Manifest{}, tooLarge(size, int64(len(value)))
	}
	return manifest, p.create(ctx, manifest, value)
}

// check rejects names that are not usable as object names.
func check(request Request) error {
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

// checkSize estimates the manifest before the content is read.
func checkSize(request Request, size int64) error {
	if size <= 0 {
		return errors.Wrapf(ErrInvalid, "content at %s is empty", request.OriginPath)
	}
	count := (size + request.ChunkBytes - 1) / request.ChunkBytes
	if estimate := count * chunkEntryBytes(request.ChunkBytes); estimate > MaximumManifestBytes {
		return tooLarge(size, estimate)
	}
	return nil
}

// chunkEntryBytes returns the bytes that one chunk of this size takes in a manifest.
func chunkEntryBytes(chunkBytes int64) int64 {
	entry, err := json.Marshal(mulberryspool.Chunk{Digest: mulberryspool.Digest(strings.Repeat("0", hex.EncodedLen(sha256.Size))), Size: chunkBytes})
	if err != nil {
		panic(err)
	}
	return int64(len(entry)) + 1
}

func tooLarge(size, manifestBytes int64) error {
	return errors.Wrapf(ErrTooLarge, "it would have %s, the limit is %s; a chunk size of %s fits",
		humanize.Comma(manifestBytes), humanize.Comma(MaximumManifestBytes), humanize.IBytes(uint64(FittingChunkBytes(size))))
}

// FittingChunkBytes returns a chunk size whose manifest stays below the limit.
func FittingChunkBytes(size int64) int64 {
	chunks := (MaximumManifestBytes - manifestReserve) / chunkEntryBytes(size)
	unit := int64(chunkUnit)
	for unit*chunks < size {
		unit *= 2
	}
	return unit
}

// read cuts the content into chunks.
func (p *Publisher) read(ctx context.Context, request Request, size int64) (mulberryspool.Manifest, error) {
	manifest := mulberryspool.Manifest{Version: request.Version, Size: size, OriginPath: request.OriginPath}
	total := sha256.New()
	for offset := int64(0); offset < size; offset += request.ChunkBytes {
		length := min(request.ChunkBytes, size-offset)
		data, err := p.Origin.ReadRange(ctx, request.OriginPath, offset, length)
		if err != nil {
			return mulberryspool.Manifest{}, mulberryspool.AtStep(err, "read content", "origin")
		}
		if int64(len(data)) != length {
			return mulberryspool.Manifest{}, mulberryspool.AtStep(errors.Newf("got %d bytes at offset %d, want %d", len(data), offset, length), "read content", "origin")
		}
		_, _ = total.Write(data)
		sum := sha256.Sum256(data)
		chunk := mulberryspool.Chunk{Digest: mulberryspool.Digest(hex.EncodeToString(sum[:])), Size: length}
		if p.WeightStore != nil {
			if err := p.WeightStore.WriteChunk(ctx, chunk.Digest, data); err != nil {
				return mulberryspool.Manifest{}, mulberryspool.AtStep(err, "write chunk", "weight store")
			}
		}
		manifest.Chunks = append(manifest.Chunks, chunk)
	}
	manifest.Digest = mulberryspool.Digest(hex.EncodeToString(total.Sum(nil)))
	return manifest, nil
}

// create registers the manifest. After a lost answer it reads back what is
// registered and tries again if nothing is.
func (p *Publisher) create(ctx context.Context, manifest mulberryspool.Manifest, value []byte) error {
	var err error
	for range readAttempts {
		_, err = p.Store.Create(ctx, mulberryspool.ManifestKind, manifest.Version, value)
		if err == nil {
			return nil
		}
		if !errors.Is(err, mulberryspool.ErrConflict) && !errors.Is(err, mulberryspool.ErrUncertain) {
			return mulberryspool.AtStep(err, "create manifest", "object API")
		}
		var found bool
		if found, err = p.settle(ctx, manifest); found || err != nil {
			return err
		}
	}
	return mulberryspool.AtStep(mulberryspool.ErrUncertain, "create manifest", "object API")
}

// settle compares what is registered with the manifest.
func (p *Publisher) settle(ctx context.Context, manifest mulberryspool.Manifest) (bool, error) {
	var registered mulberryspool.Manifest
	var err error
	for range readAttempts {
		registered, err = p.Show(ctx, manifest.Version)
		if !errors.Is(err, mulberryspool.ErrUnavailable) {
			break
		}
	}
	switch {
	case errors.Is(err, mulberryspool.ErrNotFound):
		return false, nil
	case err != nil:
		return false, errors.Wrapf(errors.CombineErrors(err, mulberryspool.ErrUncertain), "read back version %s, run publish again", manifest.Version)
	case registered.Digest != manifest.Digest:
		return false, errors.Wrapf(ErrExists, "version %s has digest %s, the content at %s has %s", manifest.Version, registered.Digest, manifest.OriginPath, manifest.Digest)
	case !reflect.DeepEqual(registered.Chunks, manifest.Chunks):
		return false, errors.Wrapf(ErrExists, "version %s has the same content in other chunks (%d, not %d)", manifest.Version, len(registered.Chunks), len(manifest.Chunks))
	}
	return true, nil
}
