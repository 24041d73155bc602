// Package httpserver starts HTTP servers on loopback for tests.
package httpserver

import (
	"net/http"
	"testing"

	"github.com/mulberryspool/mulberryspool/internal/standin/serve"
)

// Start starts a server that runs until the end of the test, and returns its
// base URL.
func Start(t testing.TB, handler http.Handler) string {
	t.Helper()
	server, err := serve.Start(handler, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server.URL
}

// ClosedURL returns the base URL of a server that has been closed, so that
// connections to it are refused.
func ClosedURL(t testing.TB, handler http.Handler) string {
	t.Helper()
	server, err := serve.Start(handler, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server.Close()
	return server.URL
}
