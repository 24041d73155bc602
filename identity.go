package mulberryspool

type (
	// InstanceID names an instance; the platform gives it out once.
	InstanceID string
	// Incarnation names one run of a process and is never used again.
	Incarnation string
	// RequestID names one live request through all processes.
	RequestID string
	// Digest is a SHA-256 sum in lower-case hexadecimal.
	Digest string
	// Revision is the object API's version of the tables object. It only rises.
	Revision uint64
	// Role is what a process does.
	Role string
)

// Roles of the processes in the instance list.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Identity says who a process is, where it runs and how it is reached.
type Identity struct {
	Instance      InstanceID  `json:"instance"`
	Incarnation   Incarnation `json:"incarnation"`
	Role          Role        `json:"role"`
	FailureDomain string      `json:"failureDomain"`
	Region        string      `json:"region"`
	// Pool is the pool of the backend server; empty for an entry.
	Pool string `json:"pool,omitempty"`
	// Control is the IP address and port of the jsonrpc2 listener.
	Control string `json:"control,omitempty"`
	// Chunks is the IP address and port that serves chunks to other agents.
	Chunks string `json:"chunks,omitempty"`
	// Admin is the IP address and port of health, metrics and events.
	Admin string `json:"admin,omitempty"`
}
