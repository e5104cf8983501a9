// Package upstream sends HTTP/1.1 requests to backend servers over persistent
// connections, one request at a time on each, and reports for each failed request
// whether the server may have run it.
//
// It parses responses itself instead of using the client of net/http, because
// that client retries requests on its own, does not distinguish a request that
// was never sent from one that may have run, and attributes any response on a
// connection to the latest request.
package upstream
