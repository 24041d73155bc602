package mulberryspool

import "context"

// InstanceState is the state of an instance in the instance list.
type InstanceState string

// States in the instance list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

type (
	// ListedInstance is a row of the platform's instance list. The list lags: it
	// may lack new instances and still hold stopped ones. Incarnation is empty.
	ListedInstance struct {
		Identity
		State InstanceState `json:"state"`
	}

	// InstanceList is the platform's list of live and leaving instances.
	InstanceList interface {
		// Instances returns all rows.
		Instances(ctx context.Context) ([]ListedInstance, error)
	}
)
