package inventory

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events of the inventory.
var (
	EvListFailed = telemetry.Register(1950, "vm-list-failed", slog.LevelWarn,
		"The platform's VM list could not be read; the last view stays in use.")
	EvNoticesFailed = telemetry.Register(1951, "notices-failed", slog.LevelWarn,
		"Reclaim notices could not be read from the platform; the call is repeated.")
	EvNotice = telemetry.Register(1952, "reclaim-notice", slog.LevelInfo,
		"The platform announced that it takes a VM back at the deadline.")
)
