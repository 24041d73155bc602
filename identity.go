package mulberryspool

type (
	// InstanceID identifies an instance. The platform assigns each one only once.
	InstanceID string
	// Incarnation identifies one run of a process. It is never reused.
	Incarnation string
	// RequestID identifies a live request in all processes.
	RequestID string
	// Digest is a SHA-256 sum in lower-case hexadecimal.
	Digest string
	// Revision is a version in the object API or in the platform's store, such as
	// that of the tables object. It only increases.
	Revision uint64
	// Role is the role of a process.
	Role string
)

// Roles of the processes in the instance list.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Identity identifies a process and says where it runs and at which addresses it
// is reached.
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
	// Chunks is the IP address and port of the server of chunks for other agents.
	Chunks string `json:"chunks,omitempty"`
	// Admin is the IP address and port of health checks, metrics and events.
	Admin string `json:"admin,omitempty"`
}
