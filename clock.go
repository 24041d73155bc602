package mulberryspool

import "github.com/jonboulle/clockwork"

// Clock is the source of time for all components. Tests replace it by a fake clock.
type Clock interface {
	clockwork.Clock
}
