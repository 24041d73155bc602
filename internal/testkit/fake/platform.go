package fake

import (
	"context"
	"slices"
	"sync"

	"github.com/mulberryspool/mulberryspool"
)

type (
	// Tables is a mulberryspool.TablesSource whose view tests set.
	Tables struct {
		mu            sync.Mutex
		view          mulberryspool.TablesView
		subscribers   []func(mulberryspool.TablesView)
		peerRevisions []mulberryspool.Revision
	}

	// Instances is a mulberryspool.InstanceList that tests set.
	Instances struct {
		mu   sync.Mutex
		list []mulberryspool.ListedInstance
	}

	// Events is a mulberryspool.Recorder that keeps all events in memory.
	Events struct {
		mu     sync.Mutex
		events []mulberryspool.Event
	}
)

// Set replaces the view and notifies subscribers.
func (t *Tables) Set(view mulberryspool.TablesView) {
	t.mu.Lock()
	t.view = view
	subscribers := slices.Clone(t.subscribers)
	t.mu.Unlock()
	for _, f := range subscribers {
		f(view)
	}
}

// Current implements mulberryspool.TablesSource.
func (t *Tables) Current() (mulberryspool.TablesView, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view, t.view.Tables != nil
}

// Subscribe implements mulberryspool.TablesSource.
func (t *Tables) Subscribe(changed func(mulberryspool.TablesView)) {
	t.mu.Lock()
	t.subscribers = append(t.subscribers, changed)
	view := t.view
	t.mu.Unlock()
	if view.Tables != nil {
		changed(view)
	}
}

// ObservePeerRevision implements mulberryspool.TablesSource.
func (t *Tables) ObservePeerRevision(revision mulberryspool.Revision, _ func(ctx context.Context) (mulberryspool.TablesDocument, error)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerRevisions = append(t.peerRevisions, revision)
}

// PeerRevisions returns the peers' revisions that were passed to
// ObservePeerRevision.
func (t *Tables) PeerRevisions() []mulberryspool.Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.peerRevisions)
}

// Document implements mulberryspool.TablesSource; it never has a document.
func (t *Tables) Document(mulberryspool.Revision) (mulberryspool.TablesDocument, bool) {
	return mulberryspool.TablesDocument{}, false
}

// Set replaces the list.
func (i *Instances) Set(list ...mulberryspool.ListedInstance) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.list = list
}

// Add appends an instance in the state live.
func (i *Instances) Add(identity mulberryspool.Identity) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.list = append(i.list, mulberryspool.ListedInstance{Identity: identity, State: mulberryspool.InstanceLive})
}

// Instances implements mulberryspool.InstanceList.
func (i *Instances) Instances(context.Context) ([]mulberryspool.ListedInstance, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.list), nil
}

// Record implements mulberryspool.Recorder.
func (e *Events) Record(event mulberryspool.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events = append(e.events, event)
}

// All returns the events, oldest first.
func (e *Events) All() []mulberryspool.Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.events)
}

// Count returns the number of recorded events of a kind.
func (e *Events) Count(kind mulberryspool.EventKind) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, event := range e.events {
		if event.Kind == kind {
			n++
		}
	}
	return n
}
