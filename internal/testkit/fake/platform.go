package fake

import (
	"context"
	"slices"
	"sync"

	"github.com/mulberryspool/mulberryspool"
)

type (
	// Tables holds a view that tests change.
	Tables struct {
		mu      sync.Mutex
		view    mulberryspool.TablesView
		changed []func(mulberryspool.TablesView)
		heard   []mulberryspool.Revision
	}

	// Instances is an instance list that tests change.
	Instances struct {
		mu   sync.Mutex
		list []mulberryspool.ListedInstance
	}

	// Events keeps what was recorded.
	Events struct {
		mu   sync.Mutex
		list []mulberryspool.Event
	}
)

// Set puts a view in force.
func (t *Tables) Set(view mulberryspool.TablesView) {
	t.mu.Lock()
	t.view = view
	changed := slices.Clone(t.changed)
	t.mu.Unlock()
	for _, f := range changed {
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
	t.changed = append(t.changed, changed)
	view := t.view
	t.mu.Unlock()
	if view.Tables != nil {
		changed(view)
	}
}

// Heard implements mulberryspool.TablesSource.
func (t *Tables) Heard(revision mulberryspool.Revision, _ func(ctx context.Context) (mulberryspool.TablesDocument, error)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard = append(t.heard, revision)
}

// HeardOf returns the revisions that peers were said to have.
func (t *Tables) HeardOf() []mulberryspool.Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.heard)
}

// Document implements mulberryspool.TablesSource.
func (t *Tables) Document(mulberryspool.Revision) (mulberryspool.TablesDocument, bool) {
	return mulberryspool.TablesDocument{}, false
}

// Set replaces the list.
func (i *Instances) Set(list ...mulberryspool.ListedInstance) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.list = list
}

// Add appends a live instance.
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
	e.list = append(e.list, event)
}

// All returns the events, oldest first.
func (e *Events) All() []mulberryspool.Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.list)
}

// Count returns how many events of the kind were recorded.
func (e *Events) Count(kind mulberryspool.EventKind) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, event := range e.list {
		if event.Kind == kind {
			n++
		}
	}
	return n
}
