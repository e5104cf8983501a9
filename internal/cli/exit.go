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

// exitError carries an exit code.
type exitError struct {
	code int
	err  error
}

// WithCode returns err with an exit code. A nil err gives nil.
func WithExitCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, err: err}
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// Code returns the exit code for err: its own, ExitSettings for problems of
// settings, ExitFailure for other errors.
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
