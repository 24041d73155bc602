package admin

import "github.com/mulberryspool/mulberryspool"

type (
	// Status is what a process says of itself at /status.
	Status struct {
		Identity mulberryspool.Identity `json:"identity"`
		Ready    bool                   `json:"ready"`
		// Reason says why the process is not ready.
		Reason string `json:"reason,omitempty"`
		// Revision of the tables in force; 0 for none.
		Revision mulberryspool.Revision `json:"revision"`
		// Rejected is the newest invalid revision above Revision.
		Rejected *mulberryspool.TablesRejection `json:"rejected,omitempty"`
		// ControlBytes counts the bytes to and from other processes of the
		// system since the start, without chunks.
		ControlBytes int64 `json:"controlBytes"`
		// Agent is set for agents, Entry for entries.
		Agent *AgentStatus `json:"agent,omitempty"`
		Entry *EntryStatus `json:"entry,omitempty"`
	}

	// AgentStatus is the part of an agent.
	AgentStatus struct {
		// Heartbeat is what entries are told: phase, versions and load.
		Heartbeat mulberryspool.Heartbeat `json:"heartbeat"`
		// Progress is the state of the latest transfer.
		Progress mulberryspool.StageProgress `json:"progress"`
		// Cause says why the agent does not serve the target; empty if it does.
		Cause string `json:"cause,omitempty"`
		// InFlight counts the requests at the backend server.
		InFlight int `json:"inFlight"`
	}

	// EntryStatus is the part of an entry.
	EntryStatus struct {
		InFlight int         `json:"inFlight"`
		Queued   int         `json:"queued"`
		Pools    []EntryPool `json:"pools,omitempty"`
	}

	// EntryPool is an entry's view of one pool.
	EntryPool struct {
		Pool string `json:"pool"`
		// Agents counts those in the entry's subset.
		Agents    int `json:"agents"`
		Ready     int `json:"ready"`
		Suspected int `json:"suspected"`
	}
)
