// Package integration tests whole deployments of real processes.
package integration

import (
	"fmt"
	"os"
	"testing"

	"github.com/mulberryspool/mulberryspool/internal/testkit/process"
)

// builder builds each program once for all tests of the package.
var builder process.Builder

func TestMain(m *testing.M) {
	code := m.Run()
	if err := builder.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
