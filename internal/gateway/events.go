package gateway

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events of the HTTP API for callers.
var (
	EvHandlerPanic = telemetry.Register(1100, "handler-panic", slog.LevelError,
		"A request handler panicked; the caller's connection was closed.")
	EvRequestReceived = telemetry.Register(1101, "request-received", slog.LevelDebug,
		"A caller's request passed authentication and validation.")
	EvAnswerAborted = telemetry.Register(1102, "answer-aborted", slog.LevelInfo,
		"The caller disconnected or the answer could not be written; the request itself continues.")
	EvAnswerSourceLost = telemetry.Register(1103, "answer-source-lost", slog.LevelWarn,
		"The connection to the owner of a request was lost and its answer could not be continued from another node.")
)
