package mulberryspool

import "context"

type (
	// TablesView is the version of the tables that a process uses. It is immutable.
	TablesView struct {
		// Revision only increases during the life of a process.
		Revision Revision
		Tables   *Tables
		// Rejected is the newest invalid revision above Revision; nil for none.
		Rejected *TablesRejection
	}

	// TablesRejection says why a revision is invalid.
	TablesRejection struct {
		Revision Revision `json:"revision"`
		Table    string   `json:"table,omitempty"`
		Row      string   `json:"row,omitempty"`
		Reason   string   `json:"reason"`
	}

	// TablesSource follows the tables through the object API and through peers.
	TablesSource interface {
		// Current returns the view in use. It returns false until a first revision
		// has been confirmed.
		Current() (TablesView, bool)
		// Subscribe calls the function with the current view, if any, and with
		// each later one, in order. The function must not block.
		Subscribe(changed func(TablesView))
		// ObservePeerRevision reports the revision of a peer. If it is above the
		// current one, fetch is called to read the tables from the peer.
		ObservePeerRevision(revision Revision, fetch func(ctx context.Context) (TablesDocument, error))
		// Document returns the document in use if its revision is above the given one.
		Document(above Revision) (TablesDocument, bool)
	}
)
