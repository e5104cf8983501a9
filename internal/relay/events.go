package relay

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events of the relay and of the exchange of state between entries.
var (
	EvRequestEnded         = telemetry.Register(3100, "request-ended", slog.LevelInfo, "A request received its final response, or its caller disconnected; the attributes show what decided the result.")
	EvAttemptEnded         = telemetry.Register(3101, "attempt-ended", slog.LevelWarn, "A send to a backend server produced no final response for the request.")
	EvStreamResumed        = telemetry.Register(3102, "stream-resumed", slog.LevelInfo, "A stream that broke was resumed at another backend server after its last event.")
	EvContentCrashed       = telemetry.Register(3103, "content-crashed", slog.LevelWarn, "A backend server crashed while it ran a request; all entries count the crash for the request's content and the parts of its prompt.")
	EvContentCleared       = telemetry.Register(3104, "content-cleared", slog.LevelInfo, "A request was answered of which a part, or the whole, had been running during a crash; the crashes recorded for it are cleared.")
	EvDraining             = telemetry.Register(3105, "relay-draining", slog.LevelInfo, "The relay fails its readiness check, asks callers to close their connections and completes the requests in flight.")
	EvDrained              = telemetry.Register(3106, "relay-drained", slog.LevelInfo, "The relay has no requests in flight any more, or its grace period has expired.")
	EvNotifyFailed         = telemetry.Register(3108, "entry-notify-failed", slog.LevelInfo, "A message to another entry could not be sent; the next one contains the same totals.")
	EvEntryUnreachable     = telemetry.Register(3109, "entry-out-of-touch", slog.LevelWarn, "Another entry is registered but its messages do not arrive; quotas are divided until it is reachable again.")
	EvEntryReachable       = telemetry.Register(3110, "entry-in-touch", slog.LevelInfo, "Messages from another entry arrive again.")
	EvExchangePeersChanged = telemetry.Register(3111, "exchange-placed", slog.LevelInfo, "The set of entries with which this entry exchanges totals and loads has changed.")
	EvSiteSizeChanged      = telemetry.Register(3112, "site-counted", slog.LevelInfo, "The number of a large site's entries, or of those whose spending is known, has changed; quotas are divided accordingly.")
	EvStreamNotResumed     = telemetry.Register(3113, "stream-not-resumed", slog.LevelWarn, "A stream that broke or was silent was not resumed at another backend server; the reason is what prevented it.")
	EvCrashDoubted         = telemetry.Register(3119, "crash-doubted", slog.LevelInfo, "Runs at a backend server broke, and neither it nor other servers of its zone accept connections: the zone or this entry is cut off, and no content is blamed. Neither is it if a brittle server ends that has just turned requests away.")
	EvPathLost             = telemetry.Register(3130, "path-lost", slog.LevelWarn, "This entry has no path to any backend server of a service; its calls to them are made by way of other entries.")
	EvPathRegained         = telemetry.Register(3131, "path-regained", slog.LevelInfo, "This entry has reached a backend server of the service again and makes its calls itself.")
	EvDetourEnded          = telemetry.Register(3132, "detour-ended", slog.LevelInfo, "A call to a backend server ended that this entry made for another one, which had no path to any of its service.")
	EvBrittlenessChanged   = telemetry.Register(3133, "servers-brittle-changed", slog.LevelWarn, "The servers of a service say in their answers that they fall over if they have to turn many requests away, or no longer say so; or such a server has turned a request away, and all entries leave it alone for a while.")
	EvServerLimitChanged   = telemetry.Register(3118, "server-limit-changed", slog.LevelWarn, "A backend server has named in an answer how many requests a second it takes from all entries together, or names no limit any more.")
	EvLoadDistrusted       = telemetry.Register(3700, "server-load-distrusted", slog.LevelWarn, "A backend server turned a request away and stated in the refusal that it has room; what it states of its load is not used for some seconds.")
	EvLoadChecksPaused     = telemetry.Register(3701, "server-load-checks-paused", slog.LevelInfo, "A backend server did not answer when it was asked for its load; it is not asked for a while, and gets requests as if it stated nothing.")
	EvCapacityChanged      = telemetry.Register(3702, "server-capacity-changed", slog.LevelInfo, "The answers of all entries together show that work at a backend server takes longer or shorter than at others of its service (speed, 1 is as long), or that more than so many requests at once only make all slower (limit); or no longer show it.")
	EvStreamCorrected      = telemetry.Register(3303, "stream-version-corrected", slog.LevelWarn, "A backend server had started again as another software version when a stream was begun there; only servers of the corrected version may continue it, and none while it is empty.")
	EvStreamPinned         = telemetry.Register(3114, "stream-pinned", slog.LevelInfo, "A caller resumes a stream; only servers of the service and software version that began it may continue it.")
	EvSpendingRecalled     = telemetry.Register(3121, "spending-recalled", slog.LevelInfo, "The copy of the organisations' spending was read after a start; until entries that have run for longer report, quotas count it and the most that may have been spent since.")
	EvSpendingUnknown      = telemetry.Register(3122, "spending-unknown", slog.LevelWarn, "The copy of the organisations' spending could not be read; until it is, quotas allow half of their rate.")
	EvSpendingUnreadable   = telemetry.Register(3123, "spending-unreadable", slog.LevelError, "The copy of the organisations' spending has an unknown format and is not used.")
	EvSpendingNotCopied    = telemetry.Register(3124, "spending-not-copied", slog.LevelWarn, "The organisations' spending could not be copied to the store; if all entries fail now, quotas allow less after their restart.")
)
