package forward

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/mulberryspool/mulberryspool"
)

// newVersionedEntry returns an entry whose pool serves version 1 of a model, and
// the buffer that its log is written to.
func newVersionedEntry(t *testing.T, grace time.Duration, backends ...*backend) (*entry, *bytes.Buffer) {
	t.Helper()
	e := newEntry(t, backends...)
	e.scheduler.Placement.VersionGrace = grace
	i := ingress()
	i.Version = 2
	i.Pools = map[string]mulberryspool.IngressPool{"p": {Name: "p", Model: "m", Engine: &mulberryspool.EngineProfile{
		Slots: 4, TokenTime: time.Millisecond, PromptTokensPerSecond: 1e6, TokensPerEvent: 1, MeanPromptTokens: 10, MeanAnswerTokens: 10,
	}}}
	e.scheduler.SetIngress(i)
	var log bytes.Buffer
	e.handler.Logger = zerolog.New(zerolog.SyncWriter(&log))
	return e, &log
}

// Guards against responses from an outdated version that leave no trace: the log
// lines of successful requests are sampled.
func TestOutdatedStartIsLogged(t *testing.T) {
	const message = "response began on an older version"
	for _, c := range []struct {
		age    time.Duration
		logged bool
	}{
		{500 * time.Millisecond, true},
		{0, false},
	} {
		b := newBackend(t, "i-1", func(w *bufio.Writer, r *http.Request, _ int) bool {
			time.Sleep(600 * time.Millisecond)
			writeEvents(w, r, 1, 2, true)
			return true
		})
		e, log := newVersionedEntry(t, time.Second, b)
		e.handler.Sampled = func(mulberryspool.RequestID) bool { return false }
		e.scheduler.SetNamedVersion("m", 2, time.Now().Add(-c.age))
		if _, _, complete := e.call(t, http.MethodPost, "/stream/1", "x"); !complete {
			t.Fatalf("version named %v ago: the stream is not complete", c.age)
		}
		if got := strings.Contains(log.String(), message); got != c.logged {
			t.Errorf("version named %v ago: logged %v, want %v; log: %s", c.age, got, c.logged, log)
		}
	}
}
