package mulberryspool

import "net/http"

// MaxHeadBytes limits the status line and headers that a client reads of an HTTP
// response. The default of net/http is 10 MiB, too much for the machines of agents.
const MaxHeadBytes = 64 << 10

// IsResponseStatus reports whether a status is that of an HTTP response, informational or
// final. A backend server in trouble may send any three digits. 101 would end HTTP on the
// connection, which no request asks for.
func IsResponseStatus(status int) bool {
	return status >= http.StatusContinue && status < 600 && status != http.StatusSwitchingProtocols
}
