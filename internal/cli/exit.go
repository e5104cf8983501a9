package cli

import (
	"errors"

	"buckthornpick/internal/config"
)

// Exit codes of the binaries.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitUsage    = 2
	ExitSettings = 3
)

// exitError is an error with an exit code.
type exitError struct {
	code int
	err  error
}

// WithExitCode returns err with an exit code, nil if err is nil.
func WithExitCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, err: err}
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

// ExitCode returns the exit code for err: the one set by WithExitCode,
// ExitSettings for config.Problems, and ExitFailure for other errors.
func ExitCode(err error) int {
	var coded *exitError
	var problems config.Problems
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &coded):
		return coded.code
	case errors.As(err, &problems):
		return ExitSettings
	}
	return ExitFailure
}
