package relayd

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events logged by a relay process.
var (
	EvReloaded     = telemetry.Register(3300, "settings-read", slog.LevelInfo, "The settings file was read again after a SIGHUP.")
	EvReloadFailed = telemetry.Register(3301, "settings-bad", slog.LevelError, "The settings file read after a SIGHUP is invalid; the previous settings stay in force.")
	EvCallerClosed = telemetry.Register(3302, "caller-connection-closed", slog.LevelInfo, "The relay closed a caller's connection on which it was waiting for a request; the attributes give the reason and the time waited.")
)
