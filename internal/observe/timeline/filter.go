package timeline

import (
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

// Filter selects events. Empty fields match all events.
type Filter struct {
	Request mulberryspool.RequestID
	Pool    string
	Version string
	// Change is the ID of a change to the tables, or a revision as a decimal
	// number.
	Change string
	Kind   mulberryspool.EventKind
	Since  time.Time
}

// Query parameters of a filter.
const (
	queryRequest = "request"
	queryPool    = "pool"
	queryVersion = "version"
	queryChange  = "change"
	queryKind    = "kind"
	querySince   = "since"
)

// Match reports whether the event matches all fields of the filter.
func (f Filter) Match(event mulberryspool.Event) bool {
	return matchesField(f.Request, event.RequestID) &&
		matchesField(f.Pool, event.Pool) &&
		matchesField(f.Version, event.Version) &&
		matchesField(f.Kind, event.Kind) &&
		(matchesField(f.Change, event.Change) || f.Change == strconv.FormatUint(uint64(event.Revision), 10)) &&
		(f.Since.IsZero() || !event.Time.Time().Before(f.Since))
}

// Query returns the filter as query parameters.
func (f Filter) Query() url.Values {
	query := url.Values{}
	set := func(name, value string) {
		if value != "" {
			query.Set(name, value)
		}
	}
	set(queryRequest, string(f.Request))
	set(queryPool, f.Pool)
	set(queryVersion, f.Version)
	set(queryChange, f.Change)
	set(queryKind, string(f.Kind))
	if !f.Since.IsZero() {
		set(querySince, f.Since.UTC().Format(time.RFC3339Nano))
	}
	return query
}

// ParseFilter parses query parameters. Unknown parameters are errors.
func ParseFilter(query url.Values) (Filter, error) {
	var f Filter
	for name := range query {
		value := query.Get(name)
		switch name {
		case queryRequest:
			f.Request = mulberryspool.RequestID(value)
		case queryPool:
			f.Pool = value
		case queryVersion:
			f.Version = value
		case queryChange:
			f.Change = value
		case queryKind:
			f.Kind = mulberryspool.EventKind(value)
		case querySince:
			since, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return Filter{}, errors.Newf("since %q is not a time; expected one such as 2026-01-31T12:00:00Z", value)
			}
			f.Since = since
		default:
			return Filter{}, errors.Newf("unknown filter %q; expected request, pool, version, change, kind or since", name)
		}
	}
	return f, nil
}

func matchesField[T ~string](wanted, value T) bool {
	return wanted == "" || wanted == value
}
