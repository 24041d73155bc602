package admin

import "github.com/mulberryspool/mulberryspool"

type (
	// Status is the response body of /status.
	Status struct {
		Identity mulberryspool.Identity `json:"identity"`
		Ready    bool                   `json:"ready"`
		// Reason is why the process is not ready.
		Reason string `json:"reason,omitempty"`
		// Revision is the revision of the tables in force; 0 for none.
		Revision mulberryspool.Revision `json:"revision"`
		// Rejected is the newest revision above Revision that was rejected as
		// invalid.
		Rejected *mulberryspool.TablesRejection `json:"rejected,omitempty"`
		// ControlBytes is the number of bytes exchanged with other processes of
		// the system since the start of the process, excluding chunks.
		ControlBytes int64 `json:"controlBytes"`
		// Agent is set by agents, Entry by entries.
		Agent *AgentStatus `json:"agent,omitempty"`
		Entry *EntryStatus `json:"entry,omitempty"`
	}

	// AgentStatus is the part of Status that is specific to agents.
	AgentStatus struct {
		// Heartbeat is the heartbeat as sent to entries: phase, versions and
		// load.
		Heartbeat mulberryspool.Heartbeat `json:"heartbeat"`
		// Progress is the progress of the latest transfer of weights.
		Progress mulberryspool.StageProgress `json:"progress"`
		// Cause is why the agent does not serve the target; empty if it does.
		Cause string `json:"cause,omitempty"`
		// InFlight is the number of requests at the backend server.
		InFlight int `json:"inFlight"`
	}

	// EntryStatus is the part of Status that is specific to entries.
	EntryStatus struct {
		InFlight int               `json:"inFlight"`
		Queued   int               `json:"queued"`
		Pools    []EntryPoolStatus `json:"pools,omitempty"`
	}

	// EntryPoolStatus is the state of one pool as seen by an entry.
	EntryPoolStatus struct {
		Pool string `json:"pool"`
		// Agents is the number of agents in the subset that the entry connects
		// to.
		Agents    int `json:"agents"`
		Ready     int `json:"ready"`
		Suspected int `json:"suspected"`
	}
)
