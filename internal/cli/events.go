package cli

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events of a process.
var (
	EvStarting            = telemetry.Register(1000, "process starting", slog.LevelInfo, "The settings are good and the process starts.")
	EvStopping            = telemetry.Register(1001, "process stopping", slog.LevelInfo, "A signal asked the process to stop; it finishes its work. A second interrupt from the keyboard ends it at once.")
	EvStopped             = telemetry.Register(1002, "process stopped", slog.LevelInfo, "The process has finished its work and ends.")
	EvFailed              = telemetry.Register(1003, "process failed", slog.LevelError, "The process ends because of an error.")
	EvForcedExit          = telemetry.Register(1004, "process ended at once", slog.LevelWarn, "An interrupt after the first signal ended the process before its work was finished.")
	EvStopRepeated        = telemetry.Register(1008, "stop repeated", slog.LevelInfo, "A stopping process was told again to stop; it goes on finishing its work.")
	EvListening           = telemetry.Register(1005, "listening", slog.LevelInfo, "A listener accepts connections.")
	EvCertificateReloaded = telemetry.Register(1006, "certificate reloaded", slog.LevelInfo, "A listener's certificate files changed and were read again.")
	EvCertificateFailed   = telemetry.Register(1007, "certificate reload failed", slog.LevelError, "A listener's certificate files changed but are wrong; the old certificate stays.")
)
