package duty

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Log events of the duties.
var (
	EvReported       = telemetry.Register(3200, "usage-reported", slog.LevelInfo, "The usage of a window was reported.")
	EvReportFailed   = telemetry.Register(3201, "usage-report-failed", slog.LevelWarn, "The usage of a window could not be stored or reported; the report is retried.")
	EvCountsDiffer   = telemetry.Register(3202, "usage-counts-differ", slog.LevelInfo, "The stored counts of a window, which are reported, differ from those that this holder knows.")
	EvSnapshotFailed = telemetry.Register(3205, "usage-snapshot-failed", slog.LevelWarn, "The snapshot of the counts of windows that are not reported yet could not be stored or read.")
	EvWindowLost     = telemetry.Register(3206, "usage-window-lost", slog.LevelWarn, "The store lost the counts of a window that an earlier holder may have reported; the window is not reported again.")
	EvDutyTaken      = telemetry.Register(3207, "usage-duty-taken", slog.LevelInfo, "This process reports the usage from now on. Counts of windows before both safe_from and own_from are repeated as the store has them, and never counted anew.")
	EvOrdered        = telemetry.Register(3203, "servers-ordered", slog.LevelInfo, "A new number of backend servers was ordered for a service in a zone; the attributes hold the load that it was based on.")
	EvOrderFailed    = telemetry.Register(3204, "server-order-failed", slog.LevelWarn, "An order of backend servers failed; it is retried.")

	EvRolloutOrdered    = telemetry.Register(3500, "rollout-ordered", slog.LevelInfo, "The holder has taken up an operators' order to move a service to a software version of its backend servers.")
	EvRolloutAdvanced   = telemetry.Register(3501, "rollout-advanced", slog.LevelInfo, "A roll-out has gone on to another phase.")
	EvRolloutDecided    = telemetry.Register(3502, "rollout-decided", slog.LevelWarn, "The outcome of a roll-out was decided; the attributes hold what it is based on. Nothing more goes to a version that is rolled back.")
	EvRolloutEnded      = telemetry.Register(3503, "rollout-ended", slog.LevelInfo, "The outcome of a roll-out is written.")
	EvRolloutFailed     = telemetry.Register(3504, "rollout-call-failed", slog.LevelWarn, "The orders of roll-outs could not be read, or a record of one not be written; it is retried.")
	EvRolloutUnreadable = telemetry.Register(3505, "rollout-unreadable", slog.LevelError, "An order of a roll-out, or the record of one, cannot be read and is not carried out.")
)
