package gateway

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events of the callers' listener.
var (
	EvHandlerPanic = telemetry.Register(1100, "handler-panic", slog.LevelError,
		"A handler failed unexpectedly; the caller's connection was closed.")
	EvRequestReceived = telemetry.Register(1101, "request-received", slog.LevelDebug,
		"A caller's request passed authentication and the bounds.")
	EvAnswerAborted = telemetry.Register(1102, "answer-aborted", slog.LevelInfo,
		"A caller went away or the answer could not be written; the request itself goes on.")
	EvAnswerSourceLost = telemetry.Register(1103, "answer-source-lost", slog.LevelWarn,
		"The owner of a request was lost and the answer could not be followed elsewhere.")
)
