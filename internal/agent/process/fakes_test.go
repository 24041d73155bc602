package process

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/testkit/fake"
)

func contentOf(version string) string {
	return strings.Repeat("weights of "+version+"\n", 100)
}

func digestOf(content string) mulberryspool.Digest {
	sum := sha256.Sum256([]byte(content))
	return mulberryspool.Digest(hex.EncodeToString(sum[:]))
}

func manifestOf(version string) mulberryspool.Manifest {
	content := contentOf(version)
	return mulberryspool.Manifest{
		Version: version, Digest: digestOf(content), Size: int64(len(content)),
		Chunks: []mulberryspool.Chunk{{Digest: digestOf(content), Size: int64(len(content))}},
	}
}

// fakeEngine downloads content by HTTP and names the version that it serves in the
// answer to each request.
type fakeEngine struct {
	mu             sync.Mutex
	loaded         mulberryspool.Loaded
	loads          []mulberryspool.LoadOrder
	submitted      map[mulberryspool.RequestID]int
	ignoresFencing bool
	// failing holds versions whose load fails.
	failing map[string]bool
	// hold delays the last part of answers until it is closed.
	hold chan struct{}
	// onLoad is called when a load order arrives, before it takes effect.
	onLoad func(mulberryspool.LoadOrder)
}

func newEngine() *fakeEngine {
	return &fakeEngine{submitted: make(map[mulberryspool.RequestID]int), failing: make(map[string]bool)}
}

func (e *fakeEngine) Submit(ctx context.Context, request mulberryspool.BackendRequest) (mulberryspool.BackendAnswer, error) {
	e.mu.Lock()
	e.submitted[request.RequestID]++
	hold, version := e.hold, e.loaded.Version
	e.mu.Unlock()
	reader, writer := io.Pipe()
	go func() {
		_, _ = io.WriteString(writer, "first part from "+version+";")
		if hold != nil {
			select {
			case <-hold:
			case <-ctx.Done():
				writer.CloseWithError(ctx.Err())
				return
			}
		}
		_, _ = io.WriteString(writer, "last part")
		_ = writer.Close()
	}()
	return mulberryspool.BackendAnswer{Status: http.StatusOK, ContentType: "text/plain", Body: reader}, nil
}

func (e *fakeEngine) Cancel(context.Context, mulberryspool.RequestID) error { return nil }

func (e *fakeEngine) Report(context.Context) (mulberryspool.LoadReport, error) {
	return mulberryspool.LoadReport{Capacity: 8}, nil
}

func (e *fakeEngine) Loaded(context.Context) (mulberryspool.Loaded, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loaded, nil
}

func (e *fakeEngine) Load(ctx context.Context, order mulberryspool.LoadOrder) error {
	e.mu.Lock()
	onLoad := e.onLoad
	e.mu.Unlock()
	if onLoad != nil {
		onLoad(order)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, order.Source, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || int64(len(content)) != order.Size {
		return errors.Newf("source answered %s with %d bytes", response.Status, len(content))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ignoresFencing && order.Fencing <= e.loaded.Fencing {
		return errors.Newf("fencing number %d is not above %d", order.Fencing, e.loaded.Fencing)
	}
	e.loads = append(e.loads, order)
	if e.failing[order.Version] {
		return errors.New("out of memory")
	}
	e.loaded = mulberryspool.Loaded{
		Version: order.Version, Digest: digestOf(string(content)), Adapter: order.Adapter, Role: order.Role,
		Fencing: max(order.Fencing, e.loaded.Fencing),
	}
	return nil
}

func (e *fakeEngine) loadCount() int {
	return len(e.versions())
}

// versions returns the versions of all load orders, in order.
func (e *fakeEngine) versions() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var versions []string
	for _, order := range e.loads {
		versions = append(versions, order.Version)
	}
	return versions
}

// newStore returns an object store that contains the manifests of the versions.
func newStore(versions ...string) *fake.Store {
	s := &fake.Store{}
	for _, version := range versions {
		value, _ := json.Marshal(manifestOf(version))
		_, _ = s.Create(context.Background(), mulberryspool.ManifestKind, version, value)
	}
	return s
}

// fakeStager stages any content immediately.
type fakeStager struct {
	mu     sync.Mutex
	staged map[mulberryspool.Digest]string
}

func newStager() *fakeStager {
	return &fakeStager{staged: make(map[mulberryspool.Digest]string)}
}

func (s *fakeStager) Stage(_ context.Context, manifest mulberryspool.Manifest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staged[manifest.Digest] = contentOf(manifest.Version)
	return nil
}

func (s *fakeStager) Open(manifest mulberryspool.Manifest) (io.ReadCloser, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	content, ok := s.staged[manifest.Digest]
	if !ok {
		return nil, errors.New("not staged")
	}
	return io.NopCloser(strings.NewReader(content)), nil
}

func (s *fakeStager) Release(digest mulberryspool.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.staged, digest)
}

func (s *fakeStager) ExchangeHave(mulberryspool.ChunksHaveParams) mulberryspool.ChunksHaveResult {
	return mulberryspool.ChunksHaveResult{}
}

func (s *fakeStager) Progress() mulberryspool.StageProgress { return mulberryspool.StageProgress{} }

// setPool sets tables with a single pool.
func setPool(tables *fake.Tables, revision mulberryspool.Revision, pool mulberryspool.Pool) {
	tables.Set(mulberryspool.TablesView{Revision: revision, Tables: &mulberryspool.Tables{Pools: []mulberryspool.Pool{pool}}})
}
