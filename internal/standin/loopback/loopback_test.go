package loopback

import (
	"net"
	"testing"
)

// Guards against addresses that can't be listened on or are allocated twice.
func TestAddressesAreFree(t *testing.T) {
	var a Allocator
	for range 100 {
		listener, err := net.Listen("tcp", a.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
	}
}
