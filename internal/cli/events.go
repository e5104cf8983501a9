package cli

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events of a process.
var (
	EvStarting            = telemetry.Register(1000, "process starting", slog.LevelInfo, "The settings are valid and the process is starting.")
	EvStopping            = telemetry.Register(1001, "process stopping", slog.LevelInfo, "The process received a signal to stop and is shutting down gracefully. A further SIGINT ends it immediately.")
	EvStopped             = telemetry.Register(1002, "process stopped", slog.LevelInfo, "The process has shut down gracefully and exits.")
	EvFailed              = telemetry.Register(1003, "process failed", slog.LevelError, "The process exits because of an error.")
	EvForcedExit          = telemetry.Register(1004, "process ended at once", slog.LevelWarn, "A SIGINT after the first signal ended the process before its graceful shutdown was complete.")
	EvStopRepeated        = telemetry.Register(1008, "stop repeated", slog.LevelInfo, "The process received another signal to stop while shutting down; the shutdown continues.")
	EvListening           = telemetry.Register(1005, "listening", slog.LevelInfo, "A listener accepts connections.")
	EvCertificateReloaded = telemetry.Register(1006, "certificate reloaded", slog.LevelInfo, "A listener's certificate files changed and were reloaded.")
	EvCertificateFailed   = telemetry.Register(1007, "certificate reload failed", slog.LevelError, "A listener's certificate files changed but could not be loaded; the old certificate stays in use.")
)
