// Package upstream carries calls to backend servers over kept HTTP/1.1
// connections, one call at a time on each, and tells of each call whether it can
// have run.
//
// It reads answers itself in place of net/http's client, because that client
// repeats calls on its own, cannot tell a call that was never sent from one that
// may have run, and takes any answer on a connection for that to the last call.
package upstream
