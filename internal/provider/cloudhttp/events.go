package cloudhttp

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events of the cloud adapter: 2050 to 2099.
var (
	EvCallFailed = telemetry.Register(2050, "cloud-call-failed", slog.LevelWarn,
		"A call to the cloud API failed.")
	EvStartRefused = telemetry.Register(2051, "vm-start-refused", slog.LevelWarn,
		"The platform refused to start a VM.")
	EvVMStarted = telemetry.Register(2052, "vm-started", slog.LevelInfo,
		"The platform accepted a request to start a VM.")
)
