package follow

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events of the views of the store.
var (
	EvListed             = telemetry.Register(3000, "view-listed", slog.LevelInfo, "A view of the store was read in full.")
	EvCompacted          = telemetry.Register(3001, "view-compacted", slog.LevelWarn, "The store dropped the history after a view's revision; the view is read in full again.")
	EvStoreLost          = telemetry.Register(3002, "store-lost", slog.LevelWarn, "A call that keeps a view current failed; the view grows older until the store is regained.")
	EvStoreRegained      = telemetry.Register(3003, "store-regained", slog.LevelInfo, "The store answers again after failures.")
	EvDocumentInForce    = telemetry.Register(3004, "document-in-force", slog.LevelInfo, "A version of the operators' document came into force at this process.")
	EvDocumentUnreadable = telemetry.Register(3005, "document-unreadable", slog.LevelError, "The operators' document cannot be read; the version before stays in force.")
	EvDocumentFaults     = telemetry.Register(3006, "document-faults", slog.LevelWarn, "The operators' document has faults but was accepted elsewhere and is in force.")
	EvServerChanged      = telemetry.Register(3007, "server-changed", slog.LevelInfo, "A backend server came, changed its state or went.")
	EvServerUnreadable   = telemetry.Register(3008, "server-unreadable", slog.LevelWarn, "An entry of the registry cannot be read; it names no backend server to use.")
	EvEntryChanged       = telemetry.Register(3009, "entry-changed", slog.LevelInfo, "Another entry of the site came or went.")
	EvEntryUnreadable    = telemetry.Register(3010, "entry-unreadable", slog.LevelWarn, "The registration of another entry cannot be read and is skipped.")
	EvRegistered         = telemetry.Register(3011, "registered", slog.LevelInfo, "This process is registered in the store, under a new lease.")
	EvRegisterFailed     = telemetry.Register(3012, "register-failed", slog.LevelWarn, "This process could not register or renew its registration and tries again.")
	EvSecretFailed       = telemetry.Register(3014, "secret-unknown", slog.LevelWarn, "The secret of the site could not be read or created; peers cannot be reached until it is.")
	EvWatcherStale       = telemetry.Register(3016, "zone-watcher-unusable", slog.LevelInfo, "An entry of the zone that follows the store could not answer a poll; the store is asked itself.")
	EvServerOutdated     = telemetry.Register(3015, "server-outdated", slog.LevelInfo, "An entry of the registry was written before what is known of its server, and is skipped.")
	EvSizeRecalled       = telemetry.Register(3017, "site-size-recalled", slog.LevelInfo, "The number of entries that an earlier life of the site stored was read; quotas are divided among so many until the registry is complete.")
	EvSizeUnknown        = telemetry.Register(3018, "site-size-unknown", slog.LevelWarn, "The stored number of entries could not be read and is asked for again.")
	EvServersKept        = telemetry.Register(3013, "servers-kept", slog.LevelInfo, "Backend servers are missing in the registry after an outage of the store; they stay in use until they had time to return.")
)
