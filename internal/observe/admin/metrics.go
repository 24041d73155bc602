package admin

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/mulberryspool/mulberryspool"
)

const (
	metricsPrefix = "mulberryspool"
	// reportInterval is how often counters are flushed to the Prometheus
	// reporter.
	reportInterval = time.Second
)

// NewMetrics returns a scope for the metrics of the process, the handler that
// serves them, and a closer that must be closed at the end.
func NewMetrics(identity mulberryspool.Identity) (tally.Scope, http.Handler, io.Closer) {
	// A separate registry allows several instances to run in one process.
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          metricsPrefix,
		Tags:            map[string]string{"instance": string(identity.Instance), "failure_domain": identity.FailureDomain},
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: sanitizer(),
		// The cardinality metrics of the library lack the instance tag.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return scope, reporter.HTTPHandler(), closer
}

// sanitizer replaces characters that Prometheus does not allow in names. The
// default options of the reporter would also change tag values such as agent-1.
func sanitizer() *tally.SanitizeOptions {
	options := prometheus.DefaultSanitizerOpts
	options.ValueCharacters = tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', '~'}}}
	return &options
}
