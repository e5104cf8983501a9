package duty

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events of the duties.
var (
	EvReported       = telemetry.Register(3200, "usage-reported", slog.LevelInfo, "The usage of a window was reported.")
	EvReportFailed   = telemetry.Register(3201, "usage-report-failed", slog.LevelWarn, "The usage of a window could not be stored or reported; it is tried again.")
	EvCountsDiffer   = telemetry.Register(3202, "usage-counts-differ", slog.LevelInfo, "The counts of a window that are stored, and reported, are not those that this holder knows.")
	EvSnapshotFailed = telemetry.Register(3205, "usage-snapshot-failed", slog.LevelWarn, "The counts of windows that are not reported yet could not be stored or read.")
	EvOrdered        = telemetry.Register(3203, "servers-ordered", slog.LevelInfo, "Another number of backend servers was ordered for a service in a zone; the line holds the load and the reason.")
	EvOrderFailed    = telemetry.Register(3204, "server-order-failed", slog.LevelWarn, "An order of backend servers was not taken; it is given again.")
)
