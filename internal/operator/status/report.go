package status

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/observe/admin"
)

type (
	// Report summarizes the status of all live processes.
	Report struct {
		// Live is the number of live processes in the instance list, Answered
		// the number of those that returned a status.
		Live     int `json:"live"`
		Answered int `json:"answered"`
		// Revisions lists the revisions of the tables in force, highest first.
		Revisions []RevisionCount `json:"revisions"`
		// Rejected lists the revisions that processes rejected as invalid.
		Rejected []Rejection `json:"rejected,omitempty"`
		Pools    []Pool      `json:"pools"`
		Entries  []Entry     `json:"entries"`
		// Unresponsive lists the processes that returned no status, with the
		// reason.
		Unresponsive []Unresponsive `json:"silent,omitempty"`
	}

	// RevisionCount is the number of processes with a revision in force.
	RevisionCount struct {
		// Revision is 0 if the processes have no tables.
		Revision  mulberryspool.Revision `json:"revision"`
		Processes int                    `json:"processes"`
		// Behind lists the processes if the revision is not the highest one.
		Behind []mulberryspool.InstanceID `json:"behind,omitempty"`
	}

	// Rejection is a revision that was rejected as invalid, with the number of
	// processes that rejected it.
	Rejection struct {
		mulberryspool.TablesRejection
		Processes int `json:"processes"`
	}

	// Pool is the state of one pool.
	Pool struct {
		Name string `json:"name"`
		// Target is the target version of the agent with the newest revision.
		Target string `json:"target,omitempty"`
		// Serving is the number of servers that serve the target, Servers the
		// number of all servers in the pool.
		Serving int `json:"serving"`
		Servers int `json:"servers"`
		// Chunks is the number of chunks held, ChunksTotal the number of chunks
		// needed, each summed over all agents.
		Chunks      int `json:"chunks"`
		ChunksTotal int `json:"chunksTotal"`
		// Bytes received by source, summed over the latest transfers of all
		// agents.
		OriginBytes      int64 `json:"originBytes"`
		WeightStoreBytes int64 `json:"weightStoreBytes"`
		RegionBytes      int64 `json:"regionBytes"`
		PeerBytes        int64 `json:"peerBytes"`
		BytesPerSecond   int64 `json:"bytesPerSecond"`
		// Remaining is the estimated time until all chunks are held; 0 if
		// unknown or complete.
		Remaining time.Duration `json:"remaining,omitempty"`
		InFlight  int           `json:"inFlight"`
		// NotServing lists the agents that do not serve the target.
		NotServing []NotServingAgent `json:"slow,omitempty"`
	}

	// NotServingAgent is an agent that does not serve the target, with the
	// reason.
	NotServingAgent struct {
		Instance mulberryspool.InstanceID `json:"instance"`
		Phase    mulberryspool.Phase      `json:"phase"`
		Chunks   int                      `json:"chunks"`
		Total    int                      `json:"total"`
		Reason   string                   `json:"why"`
	}

	// Entry is the state of one entry.
	Entry struct {
		Instance mulberryspool.InstanceID `json:"instance"`
		Ready    bool                     `json:"ready"`
		Reason   string                   `json:"reason,omitempty"`
		admin.EntryStatus
	}

	// Unresponsive is a live process that returned no status.
	Unresponsive struct {
		Instance mulberryspool.InstanceID `json:"instance"`
		Role     mulberryspool.Role       `json:"role"`
		Reason   string                   `json:"reason"`
	}
)

// Summarize creates a report from the answers.
func Summarize(answers []Answer[admin.Status]) Report {
	report := Report{Live: len(answers), Revisions: []RevisionCount{}, Pools: []Pool{}, Entries: []Entry{}}
	agents := make(map[string][]admin.Status)
	var statuses []admin.Status
	for _, a := range answers {
		if a.Err != nil {
			report.Unresponsive = append(report.Unresponsive, Unresponsive{Instance: a.Instance.Instance, Role: a.Instance.Role, Reason: a.Err.Error()})
			continue
		}
		statuses = append(statuses, a.Value)
		if a.Value.Agent != nil {
			agents[a.Value.Identity.Pool] = append(agents[a.Value.Identity.Pool], a.Value)
		}
		if a.Value.Entry != nil {
			report.Entries = append(report.Entries, Entry{
				Instance: a.Value.Identity.Instance, Ready: a.Value.Ready, Reason: a.Value.Reason, EntryStatus: *a.Value.Entry,
			})
		}
	}
	report.Answered = len(statuses)
	report.Revisions = revisions(statuses)
	report.Rejected = rejections(statuses)
	for name, members := range agents {
		report.Pools = append(report.Pools, summarizePool(name, members))
	}
	slices.SortFunc(report.Pools, func(a, b Pool) int { return cmp.Compare(a.Name, b.Name) })
	return report
}

// revisions counts the processes by revision in force, highest revision first.
func revisions(statuses []admin.Status) []RevisionCount {
	counts := make(map[mulberryspool.Revision]*RevisionCount)
	var highest mulberryspool.Revision
	for _, s := range statuses {
		highest = max(highest, s.Revision)
	}
	for _, s := range statuses {
		count, ok := counts[s.Revision]
		if !ok {
			count = &RevisionCount{Revision: s.Revision}
			counts[s.Revision] = count
		}
		count.Processes++
		if s.Revision < highest {
			count.Behind = append(count.Behind, s.Identity.Instance)
		}
	}
	all := []RevisionCount{}
	for _, count := range counts {
		all = append(all, *count)
	}
	slices.SortFunc(all, func(a, b RevisionCount) int { return cmp.Compare(b.Revision, a.Revision) })
	return all
}

// rejections counts the processes by rejected revision, highest revision first.
func rejections(statuses []admin.Status) []Rejection {
	var all []Rejection
	for _, s := range statuses {
		if s.Rejected == nil {
			continue
		}
		i := slices.IndexFunc(all, func(r Rejection) bool { return r.TablesRejection == *s.Rejected })
		if i < 0 {
			all = append(all, Rejection{TablesRejection: *s.Rejected})
			i = len(all) - 1
		}
		all[i].Processes++
	}
	slices.SortFunc(all, func(a, b Rejection) int {
		return cmp.Or(cmp.Compare(b.Revision, a.Revision), cmp.Compare(a.Reason, b.Reason))
	})
	return all
}

func summarizePool(name string, members []admin.Status) Pool {
	pool := Pool{Name: name, Servers: len(members)}
	var newest mulberryspool.Revision
	for _, m := range members {
		if m.Revision >= newest && m.Agent.Heartbeat.Target != "" {
			newest, pool.Target = m.Revision, m.Agent.Heartbeat.Target
		}
	}
	for _, m := range members {
		pool.addProgress(m.Agent.Progress)
		pool.InFlight += m.Agent.InFlight
		if reason := reasonNotServing(m, pool.Target); reason != "" {
			pool.NotServing = append(pool.NotServing, NotServingAgent{
				Instance: m.Identity.Instance, Phase: m.Agent.Heartbeat.Phase,
				Chunks: m.Agent.Progress.Chunks, Total: m.Agent.Progress.Total, Reason: reason,
			})
			continue
		}
		pool.Serving++
	}
	pool.estimateRemaining()
	return pool
}

func (p *Pool) addProgress(progress mulberryspool.StageProgress) {
	p.Chunks += progress.Chunks
	p.ChunksTotal += progress.Total
	p.OriginBytes += progress.OriginBytes
	p.WeightStoreBytes += progress.WeightStoreBytes
	p.RegionBytes += progress.RegionBytes
	p.PeerBytes += progress.PeerBytes
	p.BytesPerSecond += progress.BytesPerSecond
}

// estimateRemaining sets Remaining, assuming that missing chunks have the
// average size of those received.
func (p *Pool) estimateRemaining() {
	received := p.OriginBytes + p.WeightStoreBytes + p.RegionBytes + p.PeerBytes
	missing := p.ChunksTotal - p.Chunks
	if received == 0 || p.Chunks == 0 || missing == 0 || p.BytesPerSecond == 0 {
		return
	}
	bytes := float64(received) / float64(p.Chunks) * float64(missing)
	p.Remaining = time.Duration(bytes / float64(p.BytesPerSecond) * float64(time.Second)).Round(time.Second)
}

// reasonNotServing returns why an agent does not serve the target; empty if it
// does.
func reasonNotServing(s admin.Status, target string) string {
	heartbeat := s.Agent.Heartbeat
	switch {
	case heartbeat.Phase == mulberryspool.PhaseServing && heartbeat.ServedVersion == target:
		return ""
	case s.Agent.Cause != "":
		return s.Agent.Cause
	case heartbeat.FailedVersion != "" && heartbeat.FailedVersion == target:
		return "loading version " + heartbeat.FailedVersion + " failed"
	case s.Agent.Progress.Stalled != "":
		return s.Agent.Progress.Stalled
	case heartbeat.Target != target:
		return fmt.Sprintf("works towards %q, revision %d", heartbeat.Target, s.Revision)
	case heartbeat.Phase == mulberryspool.PhaseServing:
		return fmt.Sprintf("serves %q and waits for its turn", heartbeat.ServedVersion)
	case s.Reason != "":
		return s.Reason
	}
	return string(heartbeat.Phase)
}
