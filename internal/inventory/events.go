package inventory

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events of the inventory.
var (
	EvListFailed = telemetry.Register(1950, "vm-list-failed", slog.LevelWarn,
		"The platform's VM list could not be read; the last view remains in use.")
	EvNoticesFailed = telemetry.Register(1951, "notices-failed", slog.LevelWarn,
		"Reclaim notices could not be read from the platform; the call is retried.")
	EvNotice = telemetry.Register(1952, "reclaim-notice", slog.LevelInfo,
		"The platform announced that it reclaims a VM at the deadline.")
)
