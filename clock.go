package mulberryspool

import "github.com/jonboulle/clockwork"

// Clock is the source of time for every component. Tests pass a fake one.
type Clock interface {
	clockwork.Clock
}
