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

// applied is what an operator got for one change of one row.
type applied struct {
	author, row string
	// after is the timeout given to the row; no two changes have the same.
	after string
	code  int
	text  string
}

// Guards against a change that is silently undone or made twice, against two
// accepted changes of the same row from the same base, and against a change
// to another row that is refused (R8, R10), when two operators race and the
// object API loses answers to writes that took effect.
func TestRacingOperators(t *testing.T) {
	s := &system.System{Builder: &builder, AgentTimeouts: []string{"heartbeatInterval: 100ms"}, EntryTimeouts: []string{"heartbeatInterval: 100ms"}}
	s.Start(t)
	s.AddPlainAgent(t, "booking")
	s.AddEntry(t)
	s.Apply(t, operatorTables)
	watch := watchRevisions(t, s)
	first := len(changes(t, s))
	random := rand.New(rand.NewPCG(31, 1))

	var all []applied
	for round := range 8 {
		if lost := random.IntN(3); lost > 0 {
			addFault(t, s, fault.Rule{Kind: fault.LoseAnswer, Operations: []string{objectapi.OperationUpdate}, Calls: lost})
		}
		rows := []string{"north", "south"}
		if round%2 == 1 {
			rows = []string{"shared", "shared"}
		}
		results := race(t, s, round, rows)
		all = append(all, results...)
		accepted := 0
		for _, r := range results {
			if r.code == applyAccepted {
				accepted++
			}
		}
		if want := 2 - round%2; accepted != want {
			t.Errorf("round %d: %d changes of %v were accepted, want %d: %+v", round, accepted, rows, want, results)
		}
		checkRefusals(t, results)
	}
	history := changes(t, s)
	checkHistory(t, history[first:], all)
	checkChain(t, s, history)
	awaitRevision(t, s, history[len(history)-1].Revision, append(slices.Clone(s.Agents), s.Entries...)...)
	watch.check(t)
}

// race lets two operators change a row each from the same base at once.
func race(t *testing.T, s *system.System, round int, rows []string) []applied {
	t.Helper()
	base := s.RunCommand(t, 0, "tables", "get")
	results := make([]applied, len(rows))
	files := make([]string, len(rows))
	for i, row := range rows {
		results[i] = applied{author: fmt.Sprintf("operator-%d", i), row: row, after: fmt.Sprintf("%ds", 100+10*round+i)}
		files[i] = s.TablesFile(t, withTimeout(t, base, row, results[i].after))
	}
	var group sync.WaitGroup
	for i := range rows {
		group.Go(func() {
			r := &results[i]
			var stdout, stderr string
			r.code, stdout, stderr = s.TryCommand(t, "tables", "apply", "-f", files[i], "--author", r.author)
			r.text = stdout + stderr
		})
	}
	group.Wait()
	return results
}

// withTimeout sets the timeout of a route in the text of `tables get`.
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

// checkRefusals checks that a refusal names the other operator.
func checkRefusals(t *testing.T, results []applied) {
	t.Helper()
	for i, r := range results {
		other := results[1-i]
		switch {
		case r.code == applyAccepted:
		case r.code != applyRefused:
			t.Errorf("change %+v ended with %d, want %d or %d", r, r.code, applyAccepted, applyRefused)
		case !strings.Contains(r.text, other.author) || !strings.Contains(r.text, r.row):
			t.Errorf("refusal of %s does not name %s and row %s: %s", r.author, other.author, r.row, r.text)
		}
	}
}

// checkHistory checks that accepted changes are in the history exactly once
// and refused ones never.
func checkHistory(t *testing.T, history []acceptedChange, all []applied) {
	t.Helper()
	accepted := 0
	for _, a := range all {
		count := 0
		for _, change := range history {
			for _, row := range change.Rows {
				if change.Author == a.author && row.Row == a.row && timeoutOf(t, row.After) == a.after {
					count++
				}
			}
		}
		want := 0
		if a.code == applyAccepted {
			want = 1
			accepted++
		}
		if count != want {
			t.Errorf("change %s of %s to %s ended with %d and is in the history %d times, want %d", a.author, a.row, a.after, a.code, count, want)
		}
	}
	for _, change := range history {
		if len(change.Rows) != 1 {
			t.Errorf("change %s of %s touched %d rows, want its own one: %+v", change.ID, change.Author, len(change.Rows), change.Rows)
		}
	}
	if len(history) != accepted {
		t.Errorf("history has %d changes, %d were accepted", len(history), accepted)
	}
}

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

// checkChain checks that each change was made to what the one before left,
// and that the stored tables are what the last ones left.
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
				t.Errorf("revision %d changed %s from %s, it was %s", change.Revision, key, row.Before, rows[key])
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
