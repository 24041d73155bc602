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
	// reportInterval is how often counters are passed on to the reporter.
	reportInterval = time.Second
)

// NewMetrics returns a scope for the process's metrics and the handler that
// serves them. Close the closer at the end.
func NewMetrics(identity mulberryspool.Identity) (tally.Scope, http.Handler, io.Closer) {
	// A registry of its own lets several processes' parts run in one program.
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          metricsPrefix,
		Tags:            map[string]string{"instance": string(identity.Instance), "failure_domain": identity.FailureDomain},
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: sanitizer(),
		// The library's own cardinality metrics carry no instance.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return scope, reporter.HTTPHandler(), closer
}

// sanitizer replaces characters that Prometheus does not allow in names. The
// reporter's own options would also change tag values such as agent-1.
func sanitizer() *tally.SanitizeOptions {
	options := prometheus.DefaultSanitizerOpts
	options.ValueCharacters = tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', '~'}}}
	return &options
}
