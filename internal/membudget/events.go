package membudget

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// EvShort is logged once a second at most.
var EvShort = telemetry.Register(3600, "memory-short", slog.LevelWarn, "Callers wait for room in the memory budget; holders that make no progress, or the newest of a crowd, yield.")
