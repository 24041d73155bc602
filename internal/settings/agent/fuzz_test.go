package agent

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool/internal/settings/decode"
)

// Checks that no content makes the parser panic, and that every rejected file
// has at least one problem in its error.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	for _, content := range []string{
		"a: [1, {b: c}]\n- x", `{"instance": "a", "limits": {"maxBodySize": "1 MB"}}`, "- a", "a", "\t", ":", "? [a, b]\n: c", "%YAML 1.2\n---\n",
		"instance: &a [*a]", "<<: *x", "listen: !!binary x", "limits: |\n  text", "pool: [", "instance: \"\\x", "1: 2", "null: 1", "timeouts: {loadTimeout: -1s}",
	} {
		f.Add([]byte(content))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		var problems decode.Problems
		if _, err := Parse("agent.yaml", content); err != nil && (!errors.As(err, &problems) || len(problems) == 0) {
			t.Fatalf("content %q gives %v", content, err)
		}
	})
}
