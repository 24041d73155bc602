// Package process builds and runs programs as separate processes in tests.
//
//	Builder.Build --> binary --> Start --> AwaitLine or AwaitURL --> signals --> Wait
//
// A process that still runs at the end of its test is killed.
package process

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// DefaultReadyTimeout limits the wait for a process to become ready. It only
	// keeps a test from hanging; it sets no requirement on start times.
	DefaultReadyTimeout = 60 * time.Second

	pollInterval = 20 * time.Millisecond
	// maxOutputBytes limits each captured stream.
	maxOutputBytes = 8 << 20
)

type (
	// Builder builds each program once. Call Close after all tests, for example
	// in TestMain.
	Builder struct {
		// Race builds with the race detector; a process that detects a race exits
		// with code 66.
		Race bool

		mu        sync.Mutex
		directory string
		// buildErrors holds the result of each build by import path.
		buildErrors map[string]error
	}

	// Process is a process started by Start.
	Process struct {
		name    string
		command *exec.Cmd
		stdout  *output
		stderr  *output
		done    chan struct{}
		// err is set before done is closed.
		err error
	}
)

// Build builds the main package with the import path and returns the path of
// the binary. Later calls return the same file.
func (b *Builder) Build(t testing.TB, importPath string) string {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.directory == "" {
		directory, err := os.MkdirTemp("", "mulberryspool-test-")
		if err != nil {
			t.Fatal(err)
		}
		b.directory, b.buildErrors = directory, make(map[string]error)
	}
	file := filepath.Join(b.directory, filepath.Base(importPath))
	if _, found := b.buildErrors[importPath]; !found {
		arguments := []string{"build", "-o", file, importPath}
		if b.Race {
			arguments = slices.Insert(arguments, 1, "-race")
		}
		text, err := exec.Command("go", arguments...).CombinedOutput()
		b.buildErrors[importPath] = errors.Wrapf(err, "build %s: %s", importPath, text)
	}
	if err := b.buildErrors[importPath]; err != nil {
		t.Fatal(err)
	}
	return file
}

// Close removes the binaries that were built.
func (b *Builder) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.directory == "" {
		return nil
	}
	return os.RemoveAll(b.directory)
}

// Start starts a process that is killed at the end of the test. If the test
// fails, the end of its standard error is logged.
func Start(t testing.TB, binary string, arguments ...string) *Process {
	t.Helper()
	p := &Process{
		name:    filepath.Base(binary),
		command: exec.Command(binary, arguments...),
		stdout:  newOutput(),
		stderr:  newOutput(),
		done:    make(chan struct{}),
	}
	p.command.Stdout, p.command.Stderr = p.stdout, p.stderr
	if err := p.command.Start(); err != nil {
		t.Fatalf("start %s: %v", binary, err)
	}
	go func() {
		p.err = p.command.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = p.Signal(syscall.SIGKILL)
		<-p.done
		if t.Failed() {
			t.Logf("%s wrote to stderr: %s", p.name, p.stderr.tail())
		}
	})
	return p
}

// AwaitLine waits for the first line of the standard output and returns it.
func (p *Process) AwaitLine(t testing.TB) string {
	t.Helper()
	timer := time.NewTimer(DefaultReadyTimeout)
	defer timer.Stop()
	select {
	case line := <-p.stdout.firstLine:
		// Put the line back for the next call.
		p.stdout.firstLine <- line
		return line
	case <-p.done:
		t.Fatalf("%s ended before it was ready: %v\n%s", p.name, p.err, p.stderr.tail())
	case <-timer.C:
		t.Fatalf("%s printed no line within %v", p.name, DefaultReadyTimeout)
	}
	return ""
}

// AwaitURL waits until a GET of the URL returns status 200.
func (p *Process) AwaitURL(t testing.TB, url string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), DefaultReadyTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for !respondsOK(ctx, client, url) {
		select {
		case <-time.After(pollInterval):
		case <-p.done:
			t.Fatalf("%s ended before it was ready: %v\n%s", p.name, p.err, p.stderr.tail())
		case <-ctx.Done():
			t.Fatalf("%s did not answer at %s within %v", p.name, url, DefaultReadyTimeout)
		}
	}
}

func respondsOK(ctx context.Context, client *http.Client, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// ID returns the process ID.
func (p *Process) ID() int {
	return p.command.Process.Pid
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error {
	return errors.Wrapf(p.command.Process.Signal(signal), "send %s to %s", signal, p.name)
}

// Freeze sends SIGSTOP and waits until all threads have stopped, because they
// keep running for a moment after the signal was sent. SIGCONT resumes the
// process.
func (p *Process) Freeze(t testing.TB) {
	t.Helper()
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(DefaultReadyTimeout)
	for !p.frozen() {
		select {
		case <-time.After(time.Millisecond):
		case <-p.done:
			t.Fatalf("%s ended before it froze: %v", p.name, p.err)
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s is still running %v after SIGSTOP", p.name, DefaultReadyTimeout)
		}
	}
}

// frozen reports whether all threads are stopped, from /proc (see proc(5)).
func (p *Process) frozen() bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.ID()))
	if err != nil || len(files) == 0 {
		return false
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		// The state follows the command name, which is in parentheses.
		if err != nil || !bytes.HasPrefix(text[bytes.LastIndexByte(text, ')')+1:], []byte(" T")) {
			return false
		}
	}
	return true
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// Wait waits until the process has ended and returns its exit code; -1 if a
// signal ended it.
func (p *Process) Wait() int {
	<-p.done
	return p.command.ProcessState.ExitCode()
}

// Stdout returns the captured standard output so far.
func (p *Process) Stdout() string {
	return p.stdout.String()
}

// Stderr returns the captured standard error so far.
func (p *Process) Stderr() string {
	return p.stderr.String()
}
