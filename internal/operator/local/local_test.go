package local

import (
	"bytes"
	"context"
	"testing"

	"github.com/jonboulle/clockwork"
)

// Guards against a README command that does not work, and against requests
// that are lost or run twice while a version is swapped.
func TestWholeSystem(t *testing.T) {
	var out, logs bytes.Buffer
	s := &System{Clock: clockwork.NewRealClock(), Out: &out, Logs: &logs}
	if err := s.Run(context.Background()); err != nil {
		t.Fatalf("%v\n%s\n%s", err, out.String(), logs.String())
	}
}
