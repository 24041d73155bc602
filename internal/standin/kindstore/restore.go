package kindstore

import (
	"maps"
	"slices"
)

type (
	// Copy is the content of a store at a moment. It may be restored more than once.
	Copy struct {
		content content
	}

	// RestoreOptions says how a store is restored.
	RestoreOptions struct {
		// KeepWatches lets waiting watches wait for the changes of the new era, whatever
		// their revision. Otherwise, their connections are closed.
		KeepWatches bool
	}
)

// Copy returns a copy of the objects, the revision and the history.
func (s *Server) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.content.clone()}
}

// Restore replaces the content with that of a copy and begins the next era. Changes since the
// copy are gone, and their revisions are given out again.
func (s *Server) Restore(from Copy, o RestoreOptions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content = from.content.clone()
	s.restores++
	s.eraStart = s.content.revision
	if o.KeepWatches {
		s.wakeWatches()
		return
	}
	if s.cutOff != nil {
		close(s.cutOff)
		s.cutOff = nil
	}
}

// clone copies what changes in place.
func (c content) clone() content {
	objects := make(map[string]map[string]object, len(c.objects))
	for kind, named := range c.objects {
		objects[kind] = maps.Clone(named)
	}
	c.objects, c.events = objects, slices.Clone(c.events)
	return c
}
