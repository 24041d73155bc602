package mulberryspool

import "context"

// InstanceState is what the platform says of an instance.
type InstanceState string

// States in the instance list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

type (
	// ListedInstance is a row of the platform's instance list, which lags
	// behind the truth in both directions. Its Incarnation is empty.
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
