package logging

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

// Guards against changed field names, and against log lines that lack the step
// and the peer of the error.
func TestLinesHaveTheSameFields(t *testing.T) {
	var out bytes.Buffer
	logger, err := New(&out, mulberryspool.Identity{Instance: "entry-1", FailureDomain: "surat-a"}, "info")
	if err != nil {
		t.Fatal(err)
	}
	cause := mulberryspool.AtStep(mulberryspool.AtStep(errors.New("refused"), "dial", "127.0.0.1:7001"), "start request", "agent-1")
	fields := Fields{Route: "chat", Pool: "draft-models", Version: "v1", RequestID: "r-1"}
	logger.Debug().EmbedObject(fields).Msg("not written")
	logger.Info().EmbedObject(fields.WithStep(cause)).Err(cause).Msg("request failed")
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatalf("%v in %s", err, out.String())
	}
	want := map[string]string{
		"instance": "entry-1", "failureDomain": "surat-a", "route": "chat", "pool": "draft-models", "version": "v1",
		"requestID": "r-1", "step": "start request", "peer": "agent-1", "level": "info", "message": "request failed",
		"error": "start request with agent-1: dial with 127.0.0.1:7001: refused",
	}
	for name, value := range want {
		if line[name] != value {
			t.Errorf("%s is %v, want %s", name, line[name], value)
		}
	}
	if _, err := New(&out, mulberryspool.Identity{}, "loud"); err == nil {
		t.Error("an unknown level was accepted")
	}
}
