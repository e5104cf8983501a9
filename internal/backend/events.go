package backend

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events of the backend clients: 2000 to 2049.
var (
	EvAttemptFailed = telemetry.Register(2000, "attempt-failed", slog.LevelWarn,
		"A call of a backend server failed; the attributes tell how far it got.")
	EvStreamBroken = telemetry.Register(2001, "stream-broken", slog.LevelWarn,
		"An answer ended before it was whole.")
	EvLoadUnreadable = telemetry.Register(2002, "load-unreadable", slog.LevelInfo,
		"A backend server sent a load report that could not be read; it was ignored.")
)
