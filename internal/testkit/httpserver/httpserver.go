// Package httpserver serves handlers on loopback in tests.
package httpserver

import (
	"net/http"
	"testing"

	"github.com/mulberryspool/mulberryspool/internal/standin/serve"
)

// URL serves the handler until the end of the test and returns its base URL.
func URL(t testing.TB, handler http.Handler) string {
	t.Helper()
	server, err := serve.Start(handler, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server.URL
}

// GoneURL returns a base URL at which nothing listens any more.
func GoneURL(t testing.TB, handler http.Handler) string {
	t.Helper()
	server, err := serve.Start(handler, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server.Close()
	return server.URL
}
