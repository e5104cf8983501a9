package originstore

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events of the origins of streams in the store.
var (
	EvDeclared          = telemetry.Register(3400, "origins-declared", slog.LevelInfo, "This entry has written the declarations of origins to the store; resumable streams begin only at declared software versions.")
	EvDeclareFailed     = telemetry.Register(3401, "origins-declare-failed", slog.LevelWarn, "The declarations of origins could not be read or written; streams do not begin at software versions that are not declared yet.")
	EvArchiveFailed     = telemetry.Register(3402, "origins-archive-failed", slog.LevelWarn, "Records of the origins of streams could not be written to the store; they are written again.")
	EvRecordsRead       = telemetry.Register(3403, "origin-records-read", slog.LevelInfo, "The records of the origins of streams were read from the store, because a caller resumes a stream that neither this entry nor another one knows.")
	EvRecordsUnreadable = telemetry.Register(3404, "origin-records-unreadable", slog.LevelError, "Stored records of the origins of streams have an unknown format and are not used.")
)
