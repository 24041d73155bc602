package integration

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/fault"
	"github.com/mulberryspool/mulberryspool/internal/standin/objectapi"
	"github.com/mulberryspool/mulberryspool/internal/testkit/system"
)

// operatorTables have a route for each operator and one that both change.
const operatorTables = `
routes:
  - name: north
    kind: plain
    pool: booking
  - name: south
    kind: plain
    pool: booking
  - name: shared
    kind: plain
    pool: booking
pools:
  - name: booking
    kind: plain
`

// Exit codes of `tables apply`.
const (
	applyAccepted = 0
	applyRefused  = 4
)

// applyResult is the result of an operator's change to one row.
type applyResult struct {
	author, row string
	// timeout is the new timeout of the row, which is different in each change.
	timeout  string
	exitCode int
	// output is the output of the command.
	output string
}

// Guards against a change that is silently undone or applied twice, against two
// changes of the same row from the same base that are both accepted, and against
// refusing one of two changes to different rows (R8, R10), when two operators
// apply changes concurrently and the object API loses answers to writes that took
// effect.
func TestRacingOperators(t *testing.T) {
	s := &system.System{Builder: &builder, AgentTimeouts: []string{"heartbeatInterval: 100ms"}, EntryTimeouts: []string{"heartbeatInterval: 100ms"}}
	s.Start(t)
	s.AddPlainAgent(t, "booking")
	s.AddEntry(t)
	s.Apply(t, operatorTables)
	monitor := monitorRevisions(t, s)
	initialChanges := len(readHistory(t, s))
	random := rand.New(rand.NewPCG(31, 1))

	var all []applyResult
	for round := range 8 {
		if lost := random.IntN(3); lost > 0 {
			addFault(t, s, fault.Rule{Kind: fault.LoseAnswer, Operations: []string{objectapi.OperationUpdate}, Calls: lost})
		}
		rows := []string{"north", "south"}
		if round%2 == 1 {
			rows = []string{"shared", "shared"}
		}
		results := applyConcurrently(t, s, round, rows)
		all = append(all, results...)
		accepted := 0
		for _, r := range results {
			if r.exitCode == applyAccepted {
				accepted++
			}
		}
		if want := 2 - round%2; accepted != want {
			t.Errorf("round %d: %d changes of %v were accepted, want %d: %+v", round, accepted, rows, want, results)
		}
		checkRefusals(t, results)
	}
	history := readHistory(t, s)
	checkHistory(t, history[initialChanges:], all)
	checkChain(t, s, history)
	awaitRevision(t, s, history[len(history)-1].Revision, append(slices.Clone(s.Agents), s.Entries...)...)
	monitor.stopAndCheck(t)
}

// applyConcurrently lets two operators change a row each at the same time, from
// the same base.
func applyConcurrently(t *testing.T, s *system.System, round int, rows []string) []applyResult {
	t.Helper()
	base := s.RunCommand(t, 0, "tables", "get")
	results := make([]applyResult, len(rows))
	files := make([]string, len(rows))
	for i, row := range rows {
		results[i] = applyResult{author: fmt.Sprintf("operator-%d", i), row: row, timeout: fmt.Sprintf("%ds", 100+10*round+i)}
		files[i] = s.TablesFile(t, withTimeout(t, base, row, results[i].timeout))
	}
	var group sync.WaitGroup
	for i := range rows {
		group.Go(func() {
			r := &results[i]
			var stdout, stderr string
			r.exitCode, stdout, stderr = s.TryCommand(t, "tables", "apply", "-f", files[i], "--author", r.author)
			r.output = stdout + stderr
		})
	}
	group.Wait()
	return results
}

// withTimeout sets the timeout of a route in the output of `tables get`.
func withTimeout(t *testing.T, text, row, timeout string) string {
	t.Helper()
	var lines []string
	found, inRow := false, false
	for _, line := range strings.Split(text, "\n") {
		if name, isName := strings.CutPrefix(strings.TrimLeft(line, " -"), "name: "); isName {
			inRow = name == row
		}
		if inRow && strings.HasPrefix(strings.TrimSpace(line), "timeout: ") {
			continue
		}
		lines = append(lines, line)
		if inRow && strings.HasPrefix(strings.TrimSpace(line), "kind: ") {
			indent := line[:strings.Index(line, "kind")]
			lines = append(lines, indent+"timeout: "+timeout)
			found = true
		}
	}
	if !found {
		t.Fatalf("no row %s in\n%s", row, text)
	}
	return strings.Join(lines, "\n")
}

// checkRefusals checks that a refusal names the other operator and the row.
func checkRefusals(t *testing.T, results []applyResult) {
	t.Helper()
	for i, r := range results {
		other := results[1-i]
		switch {
		case r.exitCode == applyAccepted:
		case r.exitCode != applyRefused:
			t.Errorf("change %+v exited with code %d, want %d or %d", r, r.exitCode, applyAccepted, applyRefused)
		case !strings.Contains(r.output, other.author) || !strings.Contains(r.output, r.row):
			t.Errorf("refusal of %s does not name %s and row %s: %s", r.author, other.author, r.row, r.output)
		}
	}
}

// checkHistory checks that the history contains each accepted change exactly once
// and no refused one.
func checkHistory(t *testing.T, history []acceptedChange, all []applyResult) {
	t.Helper()
	accepted := 0
	for _, a := range all {
		count := 0
		for _, change := range history {
			for _, row := range change.Rows {
				if change.Author == a.author && row.Row == a.row && timeoutOf(t, row.After) == a.timeout {
					count++
				}
			}
		}
		want := 0
		if a.exitCode == applyAccepted {
			want = 1
			accepted++
		}
		if count != want {
			t.Errorf("change by %s of %s to %s exited with code %d and is in the history %d times, want %d", a.author, a.row, a.timeout, a.exitCode, count, want)
		}
	}
	for _, change := range history {
		if len(change.Rows) != 1 {
			t.Errorf("change %s by %s changed %d rows, want only its own: %+v", change.ID, change.Author, len(change.Rows), change.Rows)
		}
	}
	if len(history) != accepted {
		t.Errorf("history has %d changes, %d were accepted", len(history), accepted)
	}
}

// timeoutOf returns the timeout of a route that is given as JSON.
func timeoutOf(t *testing.T, row string) string {
	t.Helper()
	if row == "" {
		return ""
	}
	var route mulberryspool.Route
	if err := json.Unmarshal([]byte(row), &route); err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%ds", int(route.Timeout.Seconds()))
}

// checkChain checks that each change starts from the state that the changes before
// it left, and that the stored tables are the result of all changes.
func checkChain(t *testing.T, s *system.System, history []acceptedChange) {
	t.Helper()
	rows := make(map[string]string)
	last := mulberryspool.Revision(0)
	for _, change := range history {
		if change.Revision <= last {
			t.Errorf("revision %d comes after %d in the history", change.Revision, last)
		}
		last = change.Revision
		for _, row := range change.Rows {
			key := row.Table + "/" + row.Row
			if row.Before != rows[key] {
				t.Errorf("revision %d changed %s from %s, but it was %s", change.Revision, key, row.Before, rows[key])
			}
			rows[key] = row.After
		}
	}
	var stored struct {
		Routes []struct{ Name, Timeout string }
	}
	if err := json.Unmarshal([]byte(s.RunCommand(t, 0, "tables", "get", "--json")), &stored); err != nil {
		t.Fatal(err)
	}
	for _, route := range stored.Routes {
		got, err := time.ParseDuration(route.Timeout)
		if want := timeoutOf(t, rows["routes/"+route.Name]); err != nil || fmt.Sprintf("%ds", int(got.Seconds())) != want {
			t.Errorf("stored route %s has timeout %q, want %s", route.Name, route.Timeout, want)
		}
	}
}
