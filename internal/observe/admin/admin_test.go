package admin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/observe/hlc"
	"github.com/mulberryspool/mulberryspool/internal/observe/timeline"
)

// get sends a GET request and returns the status code and the body.
func get(t *testing.T, url string) (int, string) {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

// Guards against paths that are missing or return a wrong state, ignored
// filters, and a listener that stays open after the context has ended.
func TestServerAnswersAllRoutes(t *testing.T) {
	defer goleak.VerifyNone(t)
	defer http.DefaultClient.CloseIdleConnections()
	identity := mulberryspool.Identity{Instance: "agent-1", FailureDomain: "surat-a"}
	ring := &timeline.Ring{Identity: identity, HLC: &hlc.Clock{Wall: clockwork.NewRealClock()}}
	ring.Record(mulberryspool.Event{Kind: mulberryspool.EventTablesInForce, Revision: 4})
	ring.Record(mulberryspool.Event{Kind: mulberryspool.EventRequestEnded, Pool: "draft-models"})
	scope, metrics, closer := NewMetrics(identity)
	_, second, secondCloser := NewMetrics(identity)
	scope.Counter("requests").Inc(3)
	ready := make(chan error, 1)
	ready <- errors.New("no tables in force")
	server := &Server{
		Events: ring, Metrics: metrics,
		Ready: func() error {
			select {
			case err := <-ready:
				return err
			default:
				return nil
			}
		},
		Status: func() Status { return Status{Identity: identity, Revision: 4} },
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	base := "http://" + listener.Addr().String()

	tests := []struct {
		path string
		code int
		want string
	}{
		{"/healthz", 200, `{"state":"running"}`},
		{"/readyz", 503, `{"state":"notReady","reason":"no tables in force"}`},
		{"/readyz", 200, `{"state":"ready"}`},
		{"/status", 200, `"revision":4`},
		{"/events?pool=draft-models", 200, `"kind":"requestEnded"`},
		{"/events?change=4", 200, `"kind":"tablesInForce"`},
		{"/events?colour=red", 400, `unknown filter`},
		{"/nothing", 404, ``},
	}
	for _, tt := range tests {
		code, body := get(t, base+tt.path)
		if code != tt.code || !strings.Contains(body, tt.want) {
			t.Errorf("%s answered %d with %s, want %d with %s", tt.path, code, body, tt.code, tt.want)
		}
		var dump timeline.Dump
		if strings.HasPrefix(tt.path, "/events") && code == 200 {
			if err := json.Unmarshal([]byte(body), &dump); err != nil || len(dump.Events) != 1 {
				t.Errorf("%s answered %d events, error %v", tt.path, len(dump.Events), err)
			}
		}
	}
	const counter = `mulberryspool_requests{failure_domain="surat-a",instance="agent-1"} 3`
	// Counters are flushed to the reporter once per report interval.
	body := ""
	for range 100 {
		if _, body = get(t, base+"/metrics"); strings.Contains(body, counter) {
			break
		}
		time.Sleep(reportInterval / 10)
	}
	if !strings.Contains(body, counter) {
		t.Errorf("metrics lack %s:\n%s", counter, body)
	}
	if second == nil {
		t.Error("a second process in one program has no metrics")
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
	if err := errors.CombineErrors(closer.Close(), secondCloser.Close()); err != nil {
		t.Error(err)
	}
}
