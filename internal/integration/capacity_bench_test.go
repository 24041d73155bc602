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
	// capacityWindow is how long an idle system is watched.
	capacityWindow = 20 * time.Second
)

// usage is what a process has spent.
type usage struct {
	process.Usage
	// bytes counts control traffic in both directions.
	bytes int64
	calls int
}

// measure reads the usage of a member, its control traffic from its metrics.
func measure(b *testing.B, s *system.System, m *system.Member) usage {
	b.Helper()
	u := usage{Usage: m.Process.Usage(b)}
	status, err := m.Status(context.Background())
	if err != nil {
		b.Fatal(err)
	}
	u.bytes = status.ControlBytes
	var counts objectapi.Counts
	s.SendJSON(b, http.MethodGet, s.ObjectAPIURL+"/admin/counts", nil, &counts)
	for _, byCaller := range counts.Calls {
		u.calls += byCaller[string(m.Identity.Instance)]
	}
	return u
}

// report compares two readings of a member.
func report(b *testing.B, role string, before, after usage) {
	seconds := capacityWindow.Seconds()
	b.ReportMetric(100*(after.CPUTime-before.CPUTime).Seconds()/seconds, role+"-core-%")
	b.ReportMetric(float64(after.ResidentBytes)/(1<<20), role+"-MiB")
	b.ReportMetric(float64(after.bytes-before.bytes)/seconds, role+"-B/s")
	b.ReportMetric(float64(after.calls-before.calls)/seconds, role+"-calls/s")
}

// BenchmarkControl measures what one entry and one agent spend for control in
// an idle system, by the number of agents in the entry's subset and of entries
// at each agent, and what rolling updates add between the agents of a pool.
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
			watch(b, s)
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
			watch(b, s)
		})
	}
}

func watch(b *testing.B, s *system.System) {
	b.Helper()
	for range b.N {
		entry, agent := measure(b, s, s.Entries[0]), measure(b, s, s.Agents[0])
		time.Sleep(capacityWindow)
		report(b, "entry", entry, measure(b, s, s.Entries[0]))
		report(b, "agent", agent, measure(b, s, s.Agents[0]))
	}
}
