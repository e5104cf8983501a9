package admin

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events of the operators' API.
var (
	EvUnauthorized   = telemetry.Register(1650, "operator refused", slog.LevelWarn, "A request to the operators' API had a missing or invalid token.")
	EvDrainRequested = telemetry.Register(1651, "drain asked for", slog.LevelInfo, "An operator requested a drain of this node.")
	EvRequest        = telemetry.Register(1652, "operator request", slog.LevelDebug, "A request to the operators' API was processed.")
)
