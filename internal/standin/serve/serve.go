// Package serve runs the HTTP server of a stand-in and holds the request and
// response helpers that all stand-ins share.
package serve

import (
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

const (
	// CallerHeader carries the instance ID of the calling process.
	CallerHeader = "X-Caller"
	// RequestIDHeader carries the ID of a live request.
	RequestIDHeader = "X-Request-ID"

	maxAdminBodyBytes = 1 << 20
)

type (
	// Server is a running HTTP server.
	Server struct {
		// URL is the base URL, without a final slash.
		URL string
		// Address is the IP address and port.
		Address string

		server *http.Server
		done   chan struct{}
	}

	// ErrorBody is the body of an error response.
	ErrorBody struct {
		Error Error `json:"error"`
	}

	// Error describes the error to the client.
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}
)

// Start listens on an address such as 127.0.0.1:0 and serves the handler in the
// background until Close.
func Start(handler http.Handler, address string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return StartOn(handler, listener), nil
}

// StartOn serves the handler on a listener in the background until Close.
func StartOn(handler http.Handler, listener net.Listener) *Server {
	bound := listener.Addr().String()
	s := &Server{
		URL:     "http://" + bound,
		Address: bound,
		server:  &http.Server{Handler: handler},
		done:    make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.server.Serve(listener)
	}()
	return s
}

// Close closes the listener and all connections, and waits for the server to
// end.
func (s *Server) Close() {
	_ = s.server.Close()
	<-s.done
}

// WriteJSON sends a response with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

// WriteError sends a response with an ErrorBody.
func WriteError(w http.ResponseWriter, status int, code, message string) {
	WriteJSON(w, status, ErrorBody{Error: Error{Code: code, Message: message}})
}

// ReadJSON decodes the request's body. If that fails, it responds with status
// 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, body any) bool {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxAdminBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil {
		WriteError(w, http.StatusBadRequest, "invalidBody", err.Error())
		return false
	}
	return true
}
