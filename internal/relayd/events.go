package relayd

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events of a relay process.
var (
	EvReloaded     = telemetry.Register(3300, "settings-read", slog.LevelInfo, "The settings were read again after a signal.")
	EvReloadFailed = telemetry.Register(3301, "settings-bad", slog.LevelError, "The settings that were read after a signal have faults; the old ones hold.")
)
