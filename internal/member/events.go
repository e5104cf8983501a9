package member

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Log events of the membership.
var (
	EvJoined       = telemetry.Register(1400, "member.joined", slog.LevelInfo, "The node joined the table of members with a new incarnation.")
	EvJoinFailed   = telemetry.Register(1401, "member.join-failed", slog.LevelWarn, "The node failed to join the table of members and will retry.")
	EvLeaseLapsed  = telemetry.Register(1402, "member.lease-lapsed", slog.LevelWarn, "The node's lease lapsed in the store; the node rejoins.")
	EvRenewFailed  = telemetry.Register(1403, "member.renew-failed", slog.LevelWarn, "A renewal of the node's lease failed and will be retried.")
	EvRemoved      = telemetry.Register(1404, "member.removed", slog.LevelWarn, "The node removed members with lapsed leases from the table.")
	EvTableChanged = telemetry.Register(1405, "member.table-changed", slog.LevelInfo, "The node installed a newer table of members.")
	EvWatchBroken  = telemetry.Register(1406, "member.watch-broken", slog.LevelWarn, "The node's watch of the store was interrupted and will be reopened.")
	EvLeft         = telemetry.Register(1407, "member.left", slog.LevelInfo, "The node left the table of members.")
	EvAmbiguous    = telemetry.Register(1408, "member.change-ambiguous", slog.LevelWarn, "The response to a table update was lost; the table is read again.")
	EvDuplicateID  = telemetry.Register(1409, "member.duplicate-id", slog.LevelError, "Another process took over this node's member ID while the node was running.")
)
