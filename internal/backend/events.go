package backend

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events of the backend client, numbers 2000 to 2049.
var (
	EvAttemptFailed = telemetry.Register(2000, "attempt-failed", slog.LevelWarn,
		"A call to a backend server failed; the attributes say how far it got.")
	EvStreamBroken = telemetry.Register(2001, "stream-broken", slog.LevelWarn,
		"An answer ended before it was complete.")
	EvLoadUnreadable = telemetry.Register(2002, "load-unreadable", slog.LevelInfo,
		"A backend server sent a load report that could not be read; it was ignored.")
)
