package integration

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/standin/objectapi"
	"github.com/mulberryspool/mulberryspool/internal/standin/origin"
	"github.com/mulberryspool/mulberryspool/internal/testkit/process"
	"github.com/mulberryspool/mulberryspool/internal/testkit/system"
)

const (
	// idleDuration is the duration of a measurement of an idle system.
	idleDuration = 20 * time.Second
)

// memberUsage is what a member's process has used since its start.
type memberUsage struct {
	process.Usage
	// controlBytes is the control traffic in both directions.
	controlBytes int64
	// objectAPICalls is the number of calls to the object API.
	objectAPICalls int
}

// readUsage reads the usage of a member: its control traffic from its status, its
// calls from the counters of the object API stand-in.
func readUsage(b *testing.B, s *system.System, m *system.Member) memberUsage {
	b.Helper()
	u := memberUsage{Usage: m.Process.Usage(b)}
	status, err := m.Status(context.Background())
	if err != nil {
		b.Fatal(err)
	}
	u.controlBytes = status.ControlBytes
	var counts objectapi.Counts
	s.SendJSON(b, http.MethodGet, s.ObjectAPIURL+"/admin/counts", nil, &counts)
	for _, byCaller := range counts.Calls {
		u.objectAPICalls += byCaller[string(m.Identity.Instance)]
	}
	return u
}

// reportUsage reports the memory of a member, and the rates of its CPU time,
// control traffic and calls between two readings.
func reportUsage(b *testing.B, role string, before, after memberUsage) {
	seconds := idleDuration.Seconds()
	b.ReportMetric(100*(after.CPUTime-before.CPUTime).Seconds()/seconds, role+"-core-%")
	b.ReportMetric(float64(after.ResidentBytes)/(1<<20), role+"-MiB")
	b.ReportMetric(float64(after.controlBytes-before.controlBytes)/seconds, role+"-B/s")
	b.ReportMetric(float64(after.objectAPICalls-before.objectAPICalls)/seconds, role+"-calls/s")
}

// BenchmarkControl measures the control overhead of one entry and one agent in an
// idle system, by the number of agents in the entry's subset and the number of
// entries connected to each agent. The cases with engines add what the agents of
// a pool exchange among themselves for rolling updates.
func BenchmarkControl(b *testing.B) {
	for _, size := range []struct{ agents, entries int }{{4, 1}, {8, 1}, {16, 1}, {4, 2}, {4, 4}, {4, 8}} {
		b.Run(fmt.Sprintf("agents=%d/entries=%d", size.agents, size.entries), func(b *testing.B) {
			s := &system.System{Builder: &builder, DefaultIntervals: true}
			s.Start(b)
			for range size.agents {
				s.AddPlainAgent(b, "booking")
			}
			for range size.entries {
				s.AddEntry(b)
			}
			s.Apply(b, bookingTables)
			s.AwaitReadyAgents(b, "booking", size.agents)
			measureIdle(b, s)
		})
	}
	for _, agents := range []int{4, 8, 16} {
		b.Run(fmt.Sprintf("engines=%d", agents), func(b *testing.B) {
			s := &system.System{Builder: &builder, DefaultIntervals: true}
			s.Start(b)
			s.PutContent(b, "scribe-1", origin.Generated{Seed: 1, Size: 1 << 20})
			for range agents {
				s.AddEngineAgent(b, "scribe")
			}
			s.AddEntry(b)
			s.Publish(b, "v1", "scribe-1", "64 KiB")
			s.Apply(b, strings.ReplaceAll(chatTables, "VERSION", "v1"))
			s.AwaitReadyAgents(b, "scribe", agents)
			measureIdle(b, s)
		})
	}
}

// measureIdle measures the first entry and the first agent.
func measureIdle(b *testing.B, s *system.System) {
	b.Helper()
	for range b.N {
		entry, agent := readUsage(b, s, s.Entries[0]), readUsage(b, s, s.Agents[0])
		time.Sleep(idleDuration)
		reportUsage(b, "entry", entry, readUsage(b, s, s.Entries[0]))
		reportUsage(b, "agent", agent, readUsage(b, s, s.Agents[0]))
	}
}
