// Package integration tests complete deployments of real processes.
//
// R2, R8 and so on in comments are the numbers in docs/requirements.md.
package integration

import (
	"fmt"
	"os"
	"testing"

	"github.com/mulberryspool/mulberryspool/internal/testkit/process"
)

// builder builds each program once for all tests of this package.
var builder process.Builder

func TestMain(m *testing.M) {
	code := m.Run()
	if err := builder.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
