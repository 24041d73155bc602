// Package status asks all live processes for their status and events and
// sums them up for operators.
//
//	instance list --> GET /status, /events of each admin address --> Report
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

// Defaults of a Collector's fields.
const (
	DefaultConcurrency = 32
	DefaultTimeout     = 2 * time.Second
)

// maxAnswer bounds one answer, so that a broken process can't fill the
// operator's memory.
const maxAnswer = 64 << 20

type (
	// Collector asks processes. Set the exported fields before use.
	Collector struct {
		List mulberryspool.InstanceList
		// Client is http.DefaultClient when it is nil.
		Client *http.Client
		// Concurrency bounds the calls at once.
		Concurrency int
		// Timeout bounds each call.
		Timeout time.Duration
	}

	// Answer is what one process said.
	Answer[T any] struct {
		Instance mulberryspool.ListedInstance
		Value    T
		// Err is set when there is no value.
		Err error
	}
)

// Statuses returns the status of every live process, ordered by instance.
func (c *Collector) Statuses(ctx context.Context) ([]Answer[admin.Status], error) {
	return collect[admin.Status](ctx, c, "/status", nil)
}

// Events returns the matching events of every live process, merged.
func (c *Collector) Events(ctx context.Context, filter timeline.Filter) (timeline.Merged, error) {
	answers, err := collect[timeline.Dump](ctx, c, "/events", filter.Query())
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

func collect[T any](ctx context.Context, c *Collector, path string, query url.Values) ([]Answer[T], error) {
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
			answers[i].Value, answers[i].Err = ask[T](ctx, c, instance, path, query)
			return nil
		})
	}
	return answers, group.Wait()
}

func ask[T any](ctx context.Context, c *Collector, instance mulberryspool.ListedInstance, path string, query url.Values) (T, error) {
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
	err = json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(&value)
	return value, errors.Wrapf(err, "decode answer of %s", target.String())
}
