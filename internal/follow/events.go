package follow

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events logged by the views of the store.
var (
	EvListed             = telemetry.Register(3000, "view-listed", slog.LevelInfo, "A view of the store was read in full.")
	EvCompacted          = telemetry.Register(3001, "view-compacted", slog.LevelWarn, "The store compacted the history after a view's revision; the view is read in full again.")
	EvStoreLost          = telemetry.Register(3002, "store-lost", slog.LevelWarn, "A call that updates a view failed; the view becomes stale until the store answers again.")
	EvStoreRegained      = telemetry.Register(3003, "store-regained", slog.LevelInfo, "The store answers again after failed calls.")
	EvDocumentInForce    = telemetry.Register(3004, "document-in-force", slog.LevelInfo, "A version of the operators' document came into force at this process.")
	EvDocumentUnreadable = telemetry.Register(3005, "document-unreadable", slog.LevelError, "The operators' document cannot be decoded; the previous version stays in force, and ages as if the store had not confirmed it since.")
	EvDocumentFaults     = telemetry.Register(3006, "document-faults", slog.LevelWarn, "The operators' document has faults, but it was accepted by another process and is in force.")
	EvServerChanged      = telemetry.Register(3007, "server-changed", slog.LevelInfo, "A backend server was added, changed or removed.")
	EvServerUnreadable   = telemetry.Register(3008, "server-unreadable", slog.LevelWarn, "An entry of the registry cannot be decoded; its backend server is not used.")
	EvEntryChanged       = telemetry.Register(3009, "entry-changed", slog.LevelInfo, "Another entry of the site was added, changed or removed.")
	EvEntryUnreadable    = telemetry.Register(3010, "entry-unreadable", slog.LevelWarn, "The registration of another entry cannot be decoded and is ignored.")
	EvRegistered         = telemetry.Register(3011, "registered", slog.LevelInfo, "This process has registered in the store under a new lease.")
	EvRegisterFailed     = telemetry.Register(3012, "register-failed", slog.LevelWarn, "This process failed to create, renew or revoke its registration in the store; while it runs, it retries.")
	EvSecretFailed       = telemetry.Register(3014, "secret-unknown", slog.LevelWarn, "The site's shared secret could not be read or created; connections to peers fail until it is.")
	EvWatcherStale       = telemetry.Register(3016, "zone-watcher-unusable", slog.LevelInfo, "The entry of the zone that polls the store for others could not answer a poll; the store is polled directly.")
	EvServerOutdated     = telemetry.Register(3015, "server-outdated", slog.LevelInfo, "An entry of the registry is older than the known state of its server and is ignored.")
	EvSizeRecalled       = telemetry.Register(3017, "site-size-recalled", slog.LevelInfo, "The number of entries stored before a restart of the site was read; quotas are divided among at least that many until the registry is complete.")
	EvSizeUnknown        = telemetry.Register(3018, "site-size-unknown", slog.LevelWarn, "The stored number of entries could not be read; the read is retried.")
	EvStoreRestored      = telemetry.Register(3019, "store-restored", slog.LevelWarn, "The store came back from a copy of an earlier state, with a new generation; the view is read in full again.")
	EvPollRepeated       = telemetry.Register(3020, "store-poll-repeated", slog.LevelInfo, "A poll of the store was not answered in time; it is repeated on a new connection.")
	EvServersKept        = telemetry.Register(3013, "servers-kept", slog.LevelInfo, "Backend servers are missing from the registry after an outage of the store; they stay in use for a grace period in which they may register again.")
)
