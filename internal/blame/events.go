package blame

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events of the blame of content for crashes.
var (
	EvBlocked   = telemetry.Register(3116, "content-blocked", slog.LevelError, "Requests with a part of a prompt, or a whole content, are refused because backend servers crash when they run it.")
	EvTried     = telemetry.Register(3115, "content-tried", slog.LevelWarn, "A request with content that has crashed servers is sent once, to find out whether it still does.")
	EvRecalled  = telemetry.Register(3120, "content-recalled", slog.LevelInfo, "The evidence against blocked content from before a restart of all entries was read.")
	EvUnblocked = telemetry.Register(3117, "content-unblocked", slog.LevelInfo, "Content that was refused runs again: a request with it was answered, or its crashes have another cause or have expired.")
)
