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

// fakeEngine loads content by HTTP and answers each request with its version.
type fakeEngine struct {
	mu             sync.Mutex
	loaded         mulberryspool.Loaded
	loads          []mulberryspool.LoadOrder
	submitted      map[mulberryspool.RequestID]int
	ignoresFencing bool
	// broken versions are refused.
	broken map[string]bool
	// hold delays answers until it is closed.
	hold chan struct{}
	// loading is called when an order arrived, before it takes effect.
	loading func(mulberryspool.LoadOrder)
}

func newEngine() *fakeEngine {
	return &fakeEngine{submitted: make(map[mulberryspool.RequestID]int), broken: make(map[string]bool)}
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
	loading := e.loading
	e.mu.Unlock()
	if loading != nil {
		loading(order)
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
	if e.broken[order.Version] {
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

// versions lists what the engine was ordered to load.
func (e *fakeEngine) versions() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var versions []string
	for _, order := range e.loads {
		versions = append(versions, order.Version)
	}
	return versions
}

// fakeStore is an object API that can be down.
type fakeStore struct {
	mu      sync.Mutex
	objects map[string]mulberryspool.Object
	version mulberryspool.Revision
	down    bool
}

func newStore(versions ...string) *fakeStore {
	s := &fakeStore{objects: make(map[string]mulberryspool.Object)}
	for _, version := range versions {
		value, _ := json.Marshal(manifestOf(version))
		_, _ = s.Create(context.Background(), mulberryspool.ManifestKind, version, value)
	}
	return s
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) Get(_ context.Context, kind, name string) (mulberryspool.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return mulberryspool.Object{}, mulberryspool.ErrUnavailable
	}
	object, ok := s.objects[kind+"/"+name]
	if !ok {
		return mulberryspool.Object{}, mulberryspool.ErrNotFound
	}
	return object, nil
}

func (s *fakeStore) Create(_ context.Context, kind, name string, value []byte) (mulberryspool.Object, error) {
	return s.put(kind, name, value, 0)
}

func (s *fakeStore) Update(_ context.Context, kind, name string, value []byte, version mulberryspool.Revision) (mulberryspool.Object, error) {
	return s.put(kind, name, value, version)
}

func (s *fakeStore) put(kind, name string, value []byte, version mulberryspool.Revision) (mulberryspool.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return mulberryspool.Object{}, mulberryspool.ErrUnavailable
	}
	if s.objects[kind+"/"+name].Version != version {
		return mulberryspool.Object{}, mulberryspool.ErrConflict
	}
	s.version++
	object := mulberryspool.Object{Kind: kind, Name: name, Version: s.version, Value: value}
	s.objects[kind+"/"+name] = object
	return object, nil
}

func (s *fakeStore) List(context.Context, string, string) ([]mulberryspool.Object, error) {
	return nil, errors.New("not used by an agent")
}

func (s *fakeStore) Delete(context.Context, string, string, mulberryspool.Revision) error {
	return errors.New("not used by an agent")
}

func (s *fakeStore) Watch(context.Context, string, string, mulberryspool.Revision) (mulberryspool.Object, error) {
	return mulberryspool.Object{}, errors.New("not used by an agent")
}

// fakeStager holds whatever it was asked to stage.
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

func (s *fakeStager) Have(mulberryspool.ChunksHaveParams) mulberryspool.ChunksHaveResult {
	return mulberryspool.ChunksHaveResult{}
}

func (s *fakeStager) Progress() mulberryspool.StageProgress { return mulberryspool.StageProgress{} }

// fakeTables hands out the views that the test sets.
type fakeTables struct {
	mu   sync.Mutex
	view *mulberryspool.TablesView
	subs []func(mulberryspool.TablesView)
}

func (f *fakeTables) set(revision mulberryspool.Revision, pool mulberryspool.Pool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	view := mulberryspool.TablesView{Revision: revision, Tables: &mulberryspool.Tables{Pools: []mulberryspool.Pool{pool}}}
	f.view = &view
	for _, changed := range f.subs {
		changed(view)
	}
}

func (f *fakeTables) Current() (mulberryspool.TablesView, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view == nil {
		return mulberryspool.TablesView{}, false
	}
	return *f.view, true
}

func (f *fakeTables) Subscribe(changed func(mulberryspool.TablesView)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subs = append(f.subs, changed)
	if f.view != nil {
		changed(*f.view)
	}
}

func (f *fakeTables) Heard(mulberryspool.Revision, func(context.Context) (mulberryspool.TablesDocument, error)) {
}

func (f *fakeTables) Document(mulberryspool.Revision) (mulberryspool.TablesDocument, bool) {
	return mulberryspool.TablesDocument{}, false
}

// fakeInstances is an instance list that the test fills.
type fakeInstances struct {
	mu   sync.Mutex
	rows []mulberryspool.ListedInstance
}

func (f *fakeInstances) Instances(context.Context) ([]mulberryspool.ListedInstance, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]mulberryspool.ListedInstance(nil), f.rows...), nil
}

func (f *fakeInstances) add(identity mulberryspool.Identity) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rows = append(f.rows, mulberryspool.ListedInstance{Identity: identity, State: mulberryspool.InstanceLive})
}
