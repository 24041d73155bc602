package mulberryspool

import "context"

type (
	// TablesView is what a process has in force. It is never changed after it
	// was handed out.
	TablesView struct {
		// Revision only rises during the life of a process.
		Revision Revision
		Tables   *Tables
		// Rejected is the newest invalid revision above Revision; nil for none.
		Rejected *TablesRejection
	}

	// TablesRejection says why a revision is not in force.
	TablesRejection struct {
		Revision Revision `json:"revision"`
		Table    string   `json:"table,omitempty"`
		Row      string   `json:"row,omitempty"`
		Reason   string   `json:"reason"`
	}

	// TablesSource follows the tables in force, through the object API and
	// through peers.
	TablesSource interface {
		// Current returns false until a first revision is confirmed.
		Current() (TablesView, bool)
		// Subscribe calls the function with the current view, if any, and with
		// each later one, in order. The function must not block.
		Subscribe(changed func(TablesView))
		// Heard takes in that a peer has the revision; if it is above the
		// current one, fetch is called to get it.
		Heard(revision Revision, fetch func(ctx context.Context) (TablesDocument, error))
		// Document returns the document in force if it is above the revision.
		Document(above Revision) (TablesDocument, bool)
	}
)
