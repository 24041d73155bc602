// Package process runs real processes in tests.
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
	// DefaultReadyTimeout bounds the wait for a process to become ready. It
	// keeps a test from hanging and is no measure of the process.
	DefaultReadyTimeout = 60 * time.Second

	pollInterval = 20 * time.Millisecond
	// maxOutputBytes bounds each captured stream.
	maxOutputBytes = 8 << 20
)

type (
	// Builder builds each program once. Close it when all tests are over,
	// for example in TestMain.
	Builder struct {
		// Race builds with the race detector; a process that finds a race ends
		// with exit code 66.
		Race bool

		mu        sync.Mutex
		directory string
		built     map[string]error
	}

	// Process is a running process.
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

// Build builds the main package with the import path and returns the file's
// path. Later calls return the same file.
func (b *Builder) Build(t testing.TB, importPath string) string {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.directory == "" {
		directory, err := os.MkdirTemp("", "mulberryspool-test-")
		if err != nil {
			t.Fatal(err)
		}
		b.directory, b.built = directory, make(map[string]error)
	}
	file := filepath.Join(b.directory, filepath.Base(importPath))
	if _, found := b.built[importPath]; !found {
		arguments := []string{"build", "-o", file, importPath}
		if b.Race {
			arguments = slices.Insert(arguments, 1, "-race")
		}
		text, err := exec.Command("go", arguments...).CombinedOutput()
		b.built[importPath] = errors.Wrapf(err, "build %s: %s", importPath, text)
	}
	if err := b.built[importPath]; err != nil {
		t.Fatal(err)
	}
	return file
}

// Close removes the binaries.
func (b *Builder) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.directory == "" {
		return nil
	}
	return os.RemoveAll(b.directory)
}

// Start starts a process that is killed at the end of the test. If the test
// fails, the end of the process's output is logged.
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

// AwaitLine returns the first line of the standard output.
func (p *Process) AwaitLine(t testing.TB) string {
	t.Helper()
	timer := time.NewTimer(DefaultReadyTimeout)
	defer timer.Stop()
	select {
	case line := <-p.stdout.first:
		// The next call gets the line as well.
		p.stdout.first <- line
		return line
	case <-p.done:
		t.Fatalf("%s ended before it was ready: %v\n%s", p.name, p.err, p.stderr.tail())
	case <-timer.C:
		t.Fatalf("%s printed no line in %v", p.name, DefaultReadyTimeout)
	}
	return ""
}

// AwaitURL returns when the URL answers with status 200.
func (p *Process) AwaitURL(t testing.TB, url string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), DefaultReadyTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for !answers(ctx, client, url) {
		select {
		case <-time.After(pollInterval):
		case <-p.done:
			t.Fatalf("%s ended before it was ready: %v\n%s", p.name, p.err, p.stderr.tail())
		case <-ctx.Done():
			t.Fatalf("%s does not answer at %s after %v", p.name, url, DefaultReadyTimeout)
		}
	}
}

func answers(ctx context.Context, client *http.Client, url string) bool {
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

// Signal sends a signal, such as SIGTERM, SIGKILL, SIGSTOP or SIGCONT.
func (p *Process) Signal(signal syscall.Signal) error {
	return errors.Wrapf(p.command.Process.Signal(signal), "send %s to %s", signal, p.name)
}

// Freeze sends SIGSTOP and returns when all threads have stopped. The signal
// alone leaves them running for a moment. SIGCONT lets the process go on.
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
			t.Fatalf("%s still runs %v after SIGSTOP", p.name, DefaultReadyTimeout)
		}
	}
}

// frozen reads the states of the threads, which the kernel shows in proc(5).
func (p *Process) frozen() bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.ID()))
	if err != nil || len(files) == 0 {
		return false
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		// The state follows the name, which is in parentheses.
		if err != nil || !bytes.HasPrefix(text[bytes.LastIndexByte(text, ')')+1:], []byte(" T")) {
			return false
		}
	}
	return true
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// Wait returns the exit code when the process has ended; -1 after a signal.
func (p *Process) Wait() int {
	<-p.done
	return p.command.ProcessState.ExitCode()
}

// Stdout returns what the process has written to its standard output so far.
func (p *Process) Stdout() string {
	return p.stdout.String()
}

// Stderr returns what the process has written to its standard error so far.
func (p *Process) Stderr() string {
	return p.stderr.String()
}
