// Package fault builds errors that carry the step and the peer at which they
// arose. The step names the operation ("claim.commit"), the peer the node,
// backend server or service on the other side ("entry-b1", "10.0.3.7:8000").
package fault

import (
	"errors"

	"github.com/joomcode/errorx"
)

// Namespace holds every error type of the system.
var Namespace = errorx.NewNamespace("buckthornpick")

// Error types by what a caller may do about them.
var (
	// Invalid marks input that is wrong and stays wrong when sent again.
	Invalid = Namespace.NewType("invalid")
	// Unavailable marks a peer that could not be reached or is not ready.
	Unavailable = Namespace.NewType("unavailable", errorx.Temporary())
	// Conflict marks a lost compare-and-swap.
	Conflict = Namespace.NewType("conflict")
	// Ambiguous marks an operation that may or may not have taken effect.
	Ambiguous = Namespace.NewType("ambiguous")
	// Protocol marks a peer that broke the agreed protocol.
	Protocol = Namespace.NewType("protocol")
	// Exhausted marks a bound that was reached (queue, budget, buffer).
	Exhausted = Namespace.NewType("exhausted", errorx.Temporary())
)

var (
	propStep = errorx.RegisterPrintableProperty("step")
	propPeer = errorx.RegisterPrintableProperty("peer")
)

// New returns an error of type t that arose at step with peer.
// An empty peer means that no other process took part.
func New(t *errorx.Type, step, peer, format string, args ...any) *errorx.Error {
	return annotate(t.New(format, args...), step, peer)
}

// Wrap returns an error of type t caused by err. A nil err gives nil.
func Wrap(err error, t *errorx.Type, step, peer, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return annotate(t.Wrap(err, format, args...), step, peer)
}

// Is reports whether the outermost error of this package in err's chain has
// type t. Its causes do not count: an Ambiguous error caused by an Unavailable
// one is Ambiguous only.
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

// Text returns what went wrong and why, without types, steps and peers, for
// callers.
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
