package quarantine

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events of the quarantine.
var (
	EvCrash = telemetry.Register(1270, "content-crashed-server", slog.LevelError,
		"A backend server crashed while it ran a request; the request's content is marked.")
	EvMarkNotDelivered = telemetry.Register(1271, "mark-not-told", slog.LevelWarn,
		"A peer could not be told of a marked content in time.")
	EvTrial = telemetry.Register(1272, "content-on-trial", slog.LevelInfo,
		"A content that crashed one backend server runs alone.")
)
