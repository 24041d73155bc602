package process

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

const standin = "github.com/mulberryspool/mulberryspool/cmd/standin"

var builder Builder

func TestMain(m *testing.M) {
	code := m.Run()
	if err := builder.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	if err := goleak.Find(); err != nil && code == 0 {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// start starts a stand-in and returns its base URL.
func start(t *testing.T, arguments ...string) (p *Process, url string) {
	t.Helper()
	p = Start(t, builder.Build(t, standin), arguments...)
	var ready struct{ URL string }
	if err := json.Unmarshal([]byte(p.AwaitLine(t)), &ready); err != nil {
		t.Fatal(err)
	}
	return p, ready.URL
}

// Guards against a stand-in that does not start, answer or stop as a process of
// its own, and against losing the process's output or exit code.
func TestEachStandIn(t *testing.T) {
	for name, path := range map[string]string{
		"objectapi":    "/admin/counts",
		"instancelist": "/instances",
		"origin":       "/admin/counts",
		"weightstore":  "/admin/counts",
		"engine":       "/engine/loaded",
		"plainservice": "/admin/executions",
	} {
		p, url := start(t, name, "--listen", "127.0.0.1:0")
		p.AwaitURL(t, url+path)
		p.AwaitURL(t, url+"/admin/faults")
		if err := p.Signal(syscall.SIGTERM); err != nil {
			t.Error(err)
		}
		if code := p.Wait(); code != 0 {
			t.Errorf("%s ended with code %d: %s", name, code, p.Stderr())
		}
		if lines := strings.Count(p.Stdout(), "\n"); lines != 1 {
			t.Errorf("%s printed %d lines, want 1", name, lines)
		}
	}
}

// Guards against a stand-in that accepts invalid arguments, or exits without an
// error message.
func TestWrongArguments(t *testing.T) {
	for _, arguments := range [][]string{{}, {"unknown"}, {"engine", "--listen", "nowhere"}} {
		p := Start(t, builder.Build(t, standin), arguments...)
		if code := p.Wait(); code <= 0 || p.Stderr() == "" {
			t.Errorf("%q ended with code %d and %q", arguments, code, p.Stderr())
		}
	}
}

// Guards against a frozen process that still answers or does not resume after
// SIGCONT, and against an exit code other than -1 after SIGKILL.
func TestPauseAndKill(t *testing.T) {
	p, url := start(t, "objectapi")
	p.Freeze(t)
	client := &http.Client{Timeout: 100 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	if response, err := client.Get(url + "/admin/counts"); err == nil {
		response.Body.Close()
		t.Error("a frozen process answered")
	}
	if err := p.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	p.AwaitURL(t, url+"/admin/counts")
	if err := p.Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	if code := p.Wait(); code != -1 {
		t.Errorf("killed process ended with code %d, want -1", code)
	}
}
