package netx

import (
	"net/http"
	"time"
)

// unreadBodyTimeout bounds the wait for a body that the handler does not read. http.Server
// reads a short one before it sends the response, whatever time that takes.
const unreadBodyTimeout = 500 * time.Millisecond

// BoundUnreadBodies bounds the time that requests take whose bodies next does not read. A
// handler that reads a body sets a read deadline of its own.
func BoundUnreadBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout)) // fails if the connection is closed
		}
		next.ServeHTTP(w, r)
	})
}
