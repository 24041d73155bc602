package fleet

import (
	"encoding/json"
	"testing"

	"github.com/jonboulle/clockwork"
)

// FuzzMergeState guards against a state of a peer that ends the process, or brings rows
// that can't be those of a server.
func FuzzMergeState(f *testing.F) {
	for _, state := range []string{
		`{"servers":{"a":{"instance":"a","slots":16,"revision":3,"address":"10.0.0.1:80"}},"serversAt":5}`,
		`{"servers":{"a":{"instance":"a","slots":9223372036854775807,"revision":3}},"serversAt":5}`,
		`{"servers":{"a":{"instance":"a","address":"10.0.0.1:0","revision":3}},"unchanged":["b"],"serversAt":5}`,
		`{"ingress":{"version":9,"pools":{"p":{}},"routes":[{}]}}`, `{"servers":null,"serversAt":18446744073709551615}`,
	} {
		f.Add([]byte(state))
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var s State
		if json.Unmarshal(encoded, &s) != nil {
			return
		}
		fleet := newFleet(clockwork.NewFakeClock())
		fleet.Merge(s, "peer")
		for id, b := range fleet.State().Servers {
			if err := b.Validate(); err != nil || b.Instance != id {
				t.Errorf("server %s is used: %+v, %v", id, b, err)
			}
		}
	})
}
