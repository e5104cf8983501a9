// Package fault provides typed errors that record the step and the peer of the
// failure. The step names the operation ("claim.commit"); the peer is the node,
// backend server or service on the other side ("entry-b1", "10.0.3.7:8000").
package fault

import (
	"errors"

	"github.com/joomcode/errorx"
)

// Namespace contains all error types of the system.
var Namespace = errorx.NewNamespace("buckthornpick")

// Error types, distinguished by how a caller can react to them.
var (
	// Invalid means that the input is wrong; retrying it fails again.
	Invalid = Namespace.NewType("invalid")
	// Unavailable means that a peer could not be reached or is not ready.
	Unavailable = Namespace.NewType("unavailable", errorx.Temporary())
	// Conflict means that a compare-and-swap failed.
	Conflict = Namespace.NewType("conflict")
	// Ambiguous means that the operation may or may not have taken effect.
	Ambiguous = Namespace.NewType("ambiguous")
	// Protocol means that a peer violated the protocol.
	Protocol = Namespace.NewType("protocol")
	// Exhausted means that a limit was reached (queue, budget, buffer).
	Exhausted = Namespace.NewType("exhausted", errorx.Temporary())
)

var (
	propStep = errorx.RegisterPrintableProperty("step")
	propPeer = errorx.RegisterPrintableProperty("peer")
)

// New returns an error of type t with the given step and peer. peer is empty if
// no other process was involved.
func New(t *errorx.Type, step, peer, format string, args ...any) *errorx.Error {
	return annotate(t.New(format, args...), step, peer)
}

// Wrap returns an error of type t caused by err. It returns nil if err is nil.
func Wrap(err error, t *errorx.Type, step, peer, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return annotate(t.Wrap(err, format, args...), step, peer)
}

// Is reports whether the outermost error of this package in err's chain has
// type t. Unlike errors.Is it does not look at its causes: an Ambiguous error
// caused by an Unavailable one is only Ambiguous.
func Is(err error, t *errorx.Type) bool {
	e, ok := outermost(err)
	return ok && e.IsOfType(t)
}

// Step returns the step recorded in err, or "".
func Step(err error) string { return property(err, propStep) }

// Peer returns the peer recorded in err, or "".
func Peer(err error) string { return property(err, propPeer) }

func annotate(e *errorx.Error, step, peer string) *errorx.Error {
	e = e.WithProperty(propStep, step)
	if peer != "" {
		e = e.WithProperty(propPeer, peer)
	}
	return e
}

func property(err error, p errorx.Property) string {
	e, ok := outermost(err)
	if !ok {
		return ""
	}
	v, ok := e.Property(p)
	if !ok {
		return ""
	}
	s, _ := v.(string)
	return s
}

func outermost(err error) (*errorx.Error, bool) {
	var e *errorx.Error
	ok := errors.As(err, &e)
	return e, ok
}

// Text returns the message of err and of its causes without types, steps and
// peers, for responses to callers.
func Text(err error) string {
	e, ok := outermost(err)
	if !ok || e.Message() == "" {
		return err.Error()
	}
	if cause := e.Cause(); cause != nil {
		return e.Message() + ": " + Text(cause)
	}
	return e.Message()
}
