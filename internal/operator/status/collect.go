// Package status collects the status and the events of all live processes and
// summarizes them for operators.
//
//	instance list --> GET /status or /events at each admin address --> Report, timeline.Merged
package status

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/observe/admin"
	"github.com/mulberryspool/mulberryspool/internal/observe/timeline"
)

// Defaults for the fields of a Collector.
const (
	DefaultConcurrency = 32
	DefaultTimeout     = 2 * time.Second
)

// maxAnswerBytes limits one response, so that a faulty process can't exhaust
// the memory of the operator's command.
const maxAnswerBytes = 64 << 20

type (
	// Collector queries all live processes. Set the exported fields before use.
	Collector struct {
		List mulberryspool.InstanceList
		// Client defaults to http.DefaultClient.
		Client *http.Client
		// Concurrency limits the concurrent calls; 0 means DefaultConcurrency.
		Concurrency int
		// Timeout limits each call; 0 means DefaultTimeout.
		Timeout time.Duration
	}

	// Answer is the response of one process.
	Answer[T any] struct {
		Instance mulberryspool.ListedInstance
		Value    T
		// Err is set if there is no value.
		Err error
	}
)

// Statuses returns the status of every live process, ordered by instance.
func (c *Collector) Statuses(ctx context.Context) ([]Answer[admin.Status], error) {
	return collectAll[admin.Status](ctx, c, "/status", nil)
}

// Events returns the matching events of all live processes, merged in order.
func (c *Collector) Events(ctx context.Context, filter timeline.Filter) (timeline.Merged, error) {
	answers, err := collectAll[timeline.Dump](ctx, c, "/events", filter.Query())
	if err != nil {
		return timeline.Merged{}, err
	}
	var dumps []timeline.Dump
	var missing []timeline.Source
	for _, a := range answers {
		if a.Err != nil {
			missing = append(missing, timeline.Source{
				Instance: a.Instance.Instance, FailureDomain: a.Instance.FailureDomain, Error: a.Err.Error(),
			})
			continue
		}
		dumps = append(dumps, a.Value)
	}
	merged := timeline.Merge(dumps...)
	merged.Sources = append(merged.Sources, missing...)
	return merged, nil
}

// collectAll queries all live processes concurrently. It fails only if the
// instance list can't be read.
func collectAll[T any](ctx context.Context, c *Collector, path string, query url.Values) ([]Answer[T], error) {
	listed, err := c.List.Instances(ctx)
	if err != nil {
		return nil, mulberryspool.AtStep(err, "read instance list", "")
	}
	live := slices.DeleteFunc(slices.Clone(listed), func(i mulberryspool.ListedInstance) bool {
		return i.State != mulberryspool.InstanceLive
	})
	slices.SortFunc(live, func(a, b mulberryspool.ListedInstance) int { return cmp.Compare(a.Instance, b.Instance) })
	answers := make([]Answer[T], len(live))
	var group errgroup.Group
	group.SetLimit(cmp.Or(c.Concurrency, DefaultConcurrency))
	for i, instance := range live {
		group.Go(func() error {
			answers[i].Instance = instance
			answers[i].Value, answers[i].Err = fetch[T](ctx, c, instance, path, query)
			return nil
		})
	}
	return answers, group.Wait()
}

// fetch sends one GET request to the admin address of an instance.
func fetch[T any](ctx context.Context, c *Collector, instance mulberryspool.ListedInstance, path string, query url.Values) (T, error) {
	var value T
	if instance.Admin == "" {
		return value, errors.New("the instance list has no admin address")
	}
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(c.Timeout, DefaultTimeout))
	defer cancel()
	target := url.URL{Scheme: "http", Host: instance.Admin, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return value, errors.Wrap(err, "make request")
	}
	response, err := cmp.Or(c.Client, http.DefaultClient).Do(request)
	if err != nil {
		return value, errors.Wrapf(err, "no answer from %s", instance.Admin)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return value, errors.Newf("%s answered %s", target.String(), response.Status)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&value)
	return value, errors.Wrapf(err, "decode answer of %s", target.String())
}
