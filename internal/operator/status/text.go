package status

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/dustin/go-humanize"
)

// WriteJSON writes the report as one JSON document.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the report as human-readable text.
func (r Report) WriteText(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%d of %d live processes answered\n", r.Answered, r.Live)
	r.writeRevisions(&text)
	r.writePools(&text)
	r.writeEntries(&text)
	for _, s := range r.Unresponsive {
		fmt.Fprintf(&text, "no status from %s %s: %s\n", s.Role, s.Instance, s.Reason)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

func (r Report) writeRevisions(text *strings.Builder) {
	for _, c := range r.Revisions {
		if c.Revision == 0 {
			fmt.Fprintf(text, "no tables in force at %d processes", c.Processes)
		} else {
			fmt.Fprintf(text, "revision %d in force at %d processes", c.Revision, c.Processes)
		}
		if len(c.Behind) > 0 {
			fmt.Fprintf(text, ": %s", joinNames(c.Behind))
		}
		text.WriteString("\n")
	}
	for _, j := range r.Rejected {
		fmt.Fprintf(text, "revision %d is rejected by %d processes: %s: %s\n", j.Revision, j.Processes, strings.Trim(j.Table+"/"+j.Row, "/"), j.Reason)
	}
}

func (r Report) writePools(text *strings.Builder) {
	if len(r.Pools) == 0 {
		return
	}
	rows := []string{"POOL\tTARGET\tSERVING\tCHUNKS\tORIGIN\tSTORE\tREGIONS\tPEERS\tRATE\tREMAINING\tIN FLIGHT"}
	for _, p := range r.Pools {
		remaining := ""
		if p.Remaining > 0 {
			remaining = p.Remaining.String()
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%d of %d\t%d of %d\t%s\t%s\t%s\t%s\t%s/s\t%s\t%d",
			p.Name, p.Target, p.Serving, p.Servers, p.Chunks, p.ChunksTotal,
			size(p.OriginBytes), size(p.WeightStoreBytes), size(p.RegionBytes), size(p.PeerBytes),
			size(p.BytesPerSecond), remaining, p.InFlight))
	}
	writeTable(text, rows)
	for _, p := range r.Pools {
		for _, s := range p.NotServing {
			fmt.Fprintf(text, "%s: %s is %s, %d of %d chunks: %s\n", p.Name, s.Instance, s.Phase, s.Chunks, s.Total, s.Reason)
		}
	}
}

func (r Report) writeEntries(text *strings.Builder) {
	if len(r.Entries) == 0 {
		return
	}
	rows := []string{"ENTRY\tREADY\tIN FLIGHT\tQUEUED\tAGENTS READY BY POOL"}
	for _, e := range r.Entries {
		ready := "yes"
		if !e.Ready {
			ready = "no: " + e.Reason
		}
		var pools []string
		for _, p := range e.Pools {
			pools = append(pools, fmt.Sprintf("%s %d of %d", p.Pool, p.Ready, p.Agents))
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%d\t%d\t%s", e.Instance, ready, e.InFlight, e.Queued, strings.Join(pools, ", ")))
	}
	writeTable(text, rows)
}

// writeTable writes tab-separated rows with aligned columns. Errors are
// ignored, because a strings.Builder never returns one.
func writeTable(text *strings.Builder, rows []string) {
	columns := tabwriter.NewWriter(text, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(columns, "\n%s\n", strings.Join(rows, "\n"))
	_ = columns.Flush()
}

// size formats a number of bytes; negative ones count as 0.
func size(bytes int64) string {
	return humanize.Bytes(uint64(max(0, bytes)))
}

func joinNames[T ~string](names []T) string {
	parts := make([]string, len(names))
	for i, name := range names {
		parts[i] = string(name)
	}
	return strings.Join(parts, ", ")
}
