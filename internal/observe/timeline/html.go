package timeline

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

type (
	// page is the data for page.html.
	page struct {
		Lanes             []*lane
		Events            []pageEvent
		Notes             []string
		First, Last, Span string
	}

	// lane is the row of the page that shows the events of one instance, from
	// left to right.
	lane struct {
		Instance      mulberryspool.InstanceID
		FailureDomain string
		Dots          []dot
	}

	// dot marks one event in a lane.
	dot struct {
		// Left is the horizontal position: the time since the first event, in
		// percent of the time between the first and the last event.
		Left  float64
		Class string
		Title string
		Index int
	}

	// pageEvent is a row in the table of events.
	pageEvent struct {
		Index                         int
		Time, Kind, Details, Instance string
		// Search is the lower-case text that the filter box searches.
		Search string
	}
)

// WriteHTML writes a self-contained HTML page, which loads nothing over the
// network. It has a lane for each instance, a table of all events and a filter
// box.
func (m Merged) WriteHTML(w io.Writer) error {
	p := page{Notes: m.notes()}
	var first, last int64
	if n := len(m.Events); n > 0 {
		first, last = m.Events[0].Time.Wall, m.Events[n-1].Time.Wall
		p.First, p.Last = m.Events[0].Time.Time().Format(timeFormat), m.Events[n-1].Time.Time().Format(timeFormat)
		p.Span = time.Duration(last - first).String()
	}
	lanes := make(map[mulberryspool.InstanceID]*lane)
	for _, s := range m.Sources {
		l := &lane{Instance: s.Instance, FailureDomain: s.FailureDomain}
		lanes[s.Instance] = l
		p.Lanes = append(p.Lanes, l)
	}
	for i, e := range m.Events {
		l, ok := lanes[e.Instance]
		if !ok {
			l = &lane{Instance: e.Instance, FailureDomain: e.FailureDomain}
			lanes[e.Instance] = l
			p.Lanes = append(p.Lanes, l)
		}
		text := pageEvent{
			Index: i, Time: fmt.Sprintf("%s.%03d", e.Time.Time().Format(timeFormat), e.Time.Logical),
			Kind: string(e.Kind), Details: formatDetails(e), Instance: string(e.Instance),
		}
		text.Search = strings.ToLower(strings.Join([]string{text.Instance, e.FailureDomain, text.Kind, text.Details}, " "))
		p.Events = append(p.Events, text)
		l.Dots = append(l.Dots, dot{
			Left: percentOfSpan(e.Time.Wall, first, last), Class: kindClass(e.Kind), Index: i,
			Title: text.Time + " " + text.Kind + " " + text.Details,
		})
	}
	return pageTemplate.Execute(w, p)
}

// notes describes the sources whose events are missing or dropped.
func (m Merged) notes() []string {
	var notes []string
	for _, s := range m.Sources {
		if s.Error != "" {
			notes = append(notes, fmt.Sprintf("events of %s are missing: %s", s.Instance, s.Error))
		}
		if s.Dropped > 0 {
			notes = append(notes, fmt.Sprintf("%s no longer holds %d older events", s.Instance, s.Dropped))
		}
	}
	return notes
}

// percentOfSpan returns the position of wall between first and last in percent.
func percentOfSpan(wall, first, last int64) float64 {
	if last == first {
		return 0
	}
	return 100 * float64(wall-first) / float64(last-first)
}

// kindClass returns the CSS class of an event kind, which sets its colour.
func kindClass(kind mulberryspool.EventKind) string {
	switch kind {
	case mulberryspool.EventTablesRejected, mulberryspool.EventChunkCorrupted, mulberryspool.EventPeerSuspected,
		mulberryspool.EventRequestRefused:
		return "trouble"
	case mulberryspool.EventTablesInForce:
		return "tables"
	case mulberryspool.EventChunkStored, mulberryspool.EventPhaseChanged, mulberryspool.EventEngineOrdered,
		mulberryspool.EventEngineReadBack:
		return "weights"
	case mulberryspool.EventRequestAdmitted, mulberryspool.EventRequestStarted, mulberryspool.EventRequestResolved,
		mulberryspool.EventRequestEnded, mulberryspool.EventSubmissionClaim, mulberryspool.EventDeferredAccepted,
		mulberryspool.EventDeferredEnded:
		return "request"
	}
	return "other"
}
