package hosted

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/pieceorigin"
	"github.com/mulberryspool/mulberryspool/platform"
)

// Guards against an agent that believes a spoilt manifest about the newest version: it would
// want a version that is not there, or load the pieces of one version as another.
func TestSpoiltNewestVersionIsNotBelieved(t *testing.T) {
	for name, spoil := range map[string]func(body []byte) []byte{
		"newer": func(body []byte) []byte { return bytes.Replace(body, []byte(`"version":2`), []byte(`"version":3`), 1) },
		"older": func(body []byte) []byte { return bytes.Replace(body, []byte(`"version":2`), []byte(`"version":1`), 1) },
		"other digests": func(body []byte) []byte {
			return bytes.Replace(body, []byte(`"digests":["`), []byte(`"digests":["0`), 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			origin := &pieceorigin.Server{Model: "m", Pieces: 4, PieceBytes: 64}
			origin.SetNewest(2)
			server := httptest.NewServer(origin)
			defer server.Close()
			clock := clockwork.NewFakeClock()
			a := &agentRole{process: &process{clock: clock, logger: zerolog.Nop()}, manifests: make(map[int64]mulberryspool.Manifest)}
			a.origin = &platform.Weights{Address: func() string { return strings.TrimPrefix(server.URL, "http://") }, HTTP: http.DefaultClient, PieceBytes: func() int64 { return 64 }, Pieces: func() int { return 4 }}
			clean, err := a.origin.Manifest(context.Background(), "m", 2)
			if err != nil {
				t.Fatal(err)
			}
			reads := 0
			origin.SetSpoil(func(_ string, body []byte) []byte {
				if reads++; reads == 1 {
					return spoil(body)
				}
				return body
			})
			got := a.originNewest(context.Background(), "m")
			if got != 0 && got != 2 {
				t.Errorf("version %d is believed, the newest is 2", got)
			}
			for version, m := range a.manifests {
				if version != 2 || m.Digest != clean.Digest {
					t.Errorf("a spoilt manifest of version %d is kept", version)
				}
			}
			clock.Advance(time.Minute)
			if got := a.originNewest(context.Background(), "m"); got != 2 {
				t.Errorf("version %d is believed later, want 2", got)
			}
		})
	}
}
