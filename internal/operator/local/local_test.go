package local

import (
	"bytes"
	"context"
	"testing"

	"github.com/jonboulle/clockwork"
)

// Guards against a `mulberryspool local` command, as given in the README, that
// does not work, and against requests that are lost or run twice during a
// rollout.
func TestWholeSystem(t *testing.T) {
	var out, logs bytes.Buffer
	s := &System{Clock: clockwork.NewRealClock(), Out: &out, Logs: &logs}
	if err := s.Run(context.Background()); err != nil {
		t.Fatalf("%v\n%s\n%s", err, out.String(), logs.String())
	}
}
