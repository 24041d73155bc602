// Package loopback allocates listener addresses that no other process uses.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

// firstPort is below the ephemeral port range, from which the operating system
// takes the ports of outgoing connections.
const firstPort = 7001

// Shared allocates the addresses of systems that may run at the same time.
var Shared Allocator

// Allocator allocates ports on a loopback IP address that is derived from the
// process ID. It doesn't look for a free port by opening and closing a
// listener, because an outgoing connection of any process could take such a
// port before it is used.
type Allocator struct {
	next atomic.Int64
}

// Address returns an IP address and port that it has not returned before.
func (a *Allocator) Address() string {
	pid := os.Getpid()
	// 127.0.0.0/10 is left to listeners on the usual loopback addresses.
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>16&63, pid>>8&255, pid&255, firstPort-1+a.next.Add(1))
}
