// Package loopback gives out listener addresses that no other process takes.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

// firstPort is below the range from which the system takes ports of outgoing
// connections.
const firstPort = 7001

// Allocator gives out addresses on a loopback IP address derived from the
// process ID. A port found by opening and closing a listener can be taken by
// an outgoing connection of any process before it is used.
type Allocator struct {
	next atomic.Int64
}

// Address returns an IP address and port that was not given out before.
func (a *Allocator) Address() string {
	pid := os.Getpid()
	// 127.0.0.0/10 is left to listeners at the usual addresses.
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>16&63, pid>>8&255, pid&255, firstPort-1+a.next.Add(1))
}
