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
	EvElementsDropped = telemetry.Register(2053, "cloud-elements-dropped", slog.LevelWarn,
		"Elements of a list of the cloud API could not be read; the others are used.")
	EvVMStarted = telemetry.Register(2052, "vm-started", slog.LevelInfo,
		"The platform accepted a request to start a VM.")
)
