package timeline

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/mulberryspool/mulberryspool"
)

type (
	// Merged holds the events of several processes in the order of their
	// timestamps.
	Merged struct {
		Events []mulberryspool.Event `json:"events"`
		// Sources lists the processes in the order of their instances.
		Sources []Source `json:"sources"`
	}

	// Source is one process in a merged time line.
	Source struct {
		Instance      mulberryspool.InstanceID `json:"instance"`
		FailureDomain string                   `json:"failureDomain,omitempty"`
		Events        int                      `json:"events"`
		Dropped       uint64                   `json:"dropped"`
		// Error is why the events of the process are missing; empty if they are
		// not.
		Error string `json:"error,omitempty"`
	}
)

// Merge orders the events of all dumps by their timestamps and removes
// duplicate events, which occur if a dump is passed twice.
func Merge(dumps ...Dump) Merged {
	merged := Merged{Events: []mulberryspool.Event{}, Sources: []Source{}}
	for _, d := range dumps {
		merged.Events = append(merged.Events, d.Events...)
		merged.Sources = append(merged.Sources, Source{
			Instance: d.Instance, FailureDomain: d.FailureDomain, Events: len(d.Events), Dropped: d.Dropped,
		})
	}
	slices.SortStableFunc(merged.Events, compareEvents)
	merged.Events = slices.Compact(merged.Events)
	slices.SortFunc(merged.Sources, func(a, b Source) int { return cmp.Compare(a.Instance, b.Instance) })
	return merged
}

// WriteText writes one line per event, then one line starting with # for each
// source whose events are incomplete.
func (m Merged) WriteText(w io.Writer) error {
	for _, e := range m.Events {
		if _, err := fmt.Fprintln(w, textLine(e)); err != nil {
			return err
		}
	}
	for _, note := range m.notes() {
		if _, err := fmt.Fprintln(w, "#", note); err != nil {
			return err
		}
	}
	return nil
}

// WriteJSON writes the events and sources as one JSON document.
func (m Merged) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(m)
}

func compareEvents(a, b mulberryspool.Event) int {
	return cmp.Or(
		cmp.Compare(a.Time.Wall, b.Time.Wall),
		cmp.Compare(a.Time.Logical, b.Time.Logical),
		cmp.Compare(a.Instance, b.Instance),
	)
}

// timeFormat has a fixed width, which aligns the columns of the text output.
const timeFormat = "2006-01-02T15:04:05.000000Z"

func textLine(e mulberryspool.Event) string {
	line := fmt.Sprintf("%s.%03d %-24s %-18s", e.Time.Time().Format(timeFormat), e.Time.Logical, e.Instance, e.Kind)
	return strings.TrimRight(line+" "+formatDetails(e), " ")
}

// formatDetails returns the fields of the event that are set as name=value
// pairs.
func formatDetails(e mulberryspool.Event) string {
	var parts []string
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+value)
		}
	}
	add("request", string(e.RequestID))
	add("route", e.Route)
	add("pool", e.Pool)
	add("version", e.Version)
	if e.Revision != 0 {
		add("revision", fmt.Sprint(e.Revision))
	}
	add("change", e.Change)
	add("step", e.Step)
	add("peer", e.Peer)
	if e.Detail != "" {
		parts = append(parts, fmt.Sprintf("detail=%q", e.Detail))
	}
	return strings.Join(parts, " ")
}
