package integration

import (
	"encoding/json"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/testkit/hostedagents"
	"github.com/mulberryspool/mulberryspool/internal/testkit/hostedsystem"
	"github.com/mulberryspool/mulberryspool/internal/testkit/process"
)

// Guards against processes that end, or miss a change, because SIGHUP comes while they start.
// They get it every millisecond of their first second, from the moment on at which they open
// their settings, which change while they are being read.
func TestSignalsToReloadWhileStarting(t *testing.T) {
	t.Run("entry", func(t *testing.T) {
		s := &hostedsystem.System{Builder: &builder, GracefulStop: time.Second, Timeout: time.Second, Entries: 1, Backends: 1}
		s.Start(t)
		e := s.Members[0]
		checkReloadWhileStarting(t, e.SettingsFile, e.Process, func() *process.Process {
			e.Start(t, &builder)
			return e.Process
		})
	})
	t.Run("agent", func(t *testing.T) {
		s := &hostedagents.System{Builder: &builder, Agents: 1, Bound: 8 * time.Second}
		s.Start(t)
		m := s.Machines[0]
		checkReloadWhileStarting(t, m.SettingsFile, m.Agent, func() *process.Process {
			m.StartAgent(t)
			return m.Agent
		})
	})
}

// checkReloadWhileStarting kills a running process and starts it again.
func checkReloadWhileStarting(t *testing.T, settingsFile string, running *process.Process, start func() *process.Process) {
	t.Helper()
	_ = running.Signal(syscall.SIGKILL)
	<-running.Done()
	settings, err := os.ReadFile(settingsFile)
	if err != nil {
		t.Fatal(err)
	}
	changedFile := settingsFile + ".changed"
	if err := os.WriteFile(changedFile, append(settings, "logLevel: debug\n"...), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(settingsFile); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(settingsFile, 0o600); err != nil {
		t.Fatal(err)
	}
	p := start()
	// Waits until the process opens its settings.
	pipe, err := os.OpenFile(settingsFile, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	signals := make(chan struct{})
	go func() {
		defer close(signals)
		for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			_ = p.Signal(syscall.SIGHUP)
		}
	}()
	time.Sleep(100 * time.Millisecond)
	if err := os.Rename(changedFile, settingsFile); err != nil {
		t.Fatal(err)
	}
	if _, err := pipe.Write(settings); err != nil {
		t.Fatal(err)
	}
	if err := pipe.Close(); err != nil {
		t.Fatal(err)
	}
	<-signals
	const started, reloaded = "process started", "settings reloaded"
	for deadline := time.Now().Add(10 * time.Second); !strings.Contains(p.Stdout(), reloaded); time.Sleep(10 * time.Millisecond) {
		select {
		case <-p.Done():
			t.Fatalf("the process ended with code %d", p.Wait())
		default:
		}
		if time.Now().After(deadline) {
			t.Fatal("the changed settings were not read")
		}
	}
	// The file is also read every 2 s without a signal.
	if after := lineTime(t, p, reloaded).Sub(lineTime(t, p, started)); after > 1500*time.Millisecond {
		t.Errorf("the changed settings were read %v after the start, not on the signal", after)
	}
}

// lineTime returns the time of the first log line with a message.
func lineTime(t *testing.T, p *process.Process, message string) time.Time {
	t.Helper()
	for line := range strings.Lines(p.Stdout()) {
		var fields struct {
			Time    time.Time `json:"time"`
			Message string    `json:"message"`
		}
		if err := json.Unmarshal([]byte(line), &fields); err == nil && fields.Message == message {
			return fields.Time
		}
	}
	t.Fatalf("no log line %q", message)
	return time.Time{}
}
