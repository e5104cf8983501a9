package peer

import (
	"errors"
	"fmt"

	"github.com/joomcode/errorx"

	"buckthornpick/internal/fault"
)

// RemoteError is an error returned by the handler on the other node.
type RemoteError struct {
	// Step is the operation that failed on the peer.
	Step string `msgpack:"s"`
	// Peer is the node that ran the handler.
	Peer string `msgpack:"-"`
	// Type is the fault type's name without namespace ("conflict"), or
	// "internal" for an error without one.
	Type string `msgpack:"t"`
	// Message is the error message.
	Message string `msgpack:"m"`
}

const typeInternal = "internal"

var faultTypes = map[string]*errorx.Type{
	"invalid": fault.Invalid, "unavailable": fault.Unavailable, "conflict": fault.Conflict,
	"ambiguous": fault.Ambiguous, "protocol": fault.Protocol, "exhausted": fault.Exhausted,
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("%s at %s: %s: %s", e.Step, e.Peer, e.Type, e.Message)
}

// Fault converts e to an error of package fault, so that fault.Is works on it.
// An error of type "internal" becomes fault.Ambiguous, because it is not known
// how far the handler got.
func (e *RemoteError) Fault() error {
	t, ok := faultTypes[e.Type]
	if !ok {
		t = fault.Ambiguous
	}
	return fault.New(t, e.Step, e.Peer, "%s", e.Message)
}

// Unwrap returns e.Fault().
func (e *RemoteError) Unwrap() error { return e.Fault() }

// remoteError converts an error of a handler to its wire form. step is used if
// err carries none.
func remoteError(step string, err error) *RemoteError {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return &RemoteError{Step: remote.Step, Type: remote.Type, Message: remote.Error()}
	}
	e := &RemoteError{Step: fault.Step(err), Type: typeInternal, Message: fault.Text(err)}
	if e.Step == "" {
		e.Step = step
	}
	for name, t := range faultTypes {
		if fault.Is(err, t) {
			e.Type = name
		}
	}
	return e
}
