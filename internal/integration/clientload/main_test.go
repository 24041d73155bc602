// Package clientload tests processes of the system against clients that misbehave. Its tests
// compare memory with a bound, so that they run one at a time and apart from other tests.
package clientload

import (
	"fmt"
	"os"
	"testing"

	"github.com/mulberryspool/mulberryspool/internal/testkit/process"
)

// builder builds each program once for all tests, without the race detector, which multiplies
// the memory of a process.
var builder process.Builder

func TestMain(m *testing.M) {
	code := m.Run()
	if err := builder.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
