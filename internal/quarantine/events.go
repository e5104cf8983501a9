package quarantine

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Log events of the quarantine.
var (
	EvCrash = telemetry.Register(1270, "content-crashed-server", slog.LevelError,
		"A backend server crashed while it ran a request; the request's content is marked.")
	EvMarkNotDelivered = telemetry.Register(1271, "mark-not-told", slog.LevelWarn,
		"A peer did not confirm the mark of a content in time.")
	EvTrial = telemetry.Register(1272, "content-on-trial", slog.LevelInfo,
		"A request whose content crashed one backend server runs on trial: as the only attempt of this content on the site and the only marked content on its backend server.")
)
