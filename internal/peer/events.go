package peer

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events of the inner protocol.
var (
	EvListening        = telemetry.Register(1300, "peer.listening", slog.LevelInfo, "The node accepts connections from its peers.")
	EvConnected        = telemetry.Register(1301, "peer.connected", slog.LevelDebug, "A connection to a peer was authenticated.")
	EvLost             = telemetry.Register(1302, "peer.lost", slog.LevelWarn, "A connection to a peer broke; its streams ended with an error.")
	EvHandshakeRefused = telemetry.Register(1303, "peer.handshake-refused", slog.LevelWarn, "A handshake with a peer failed.")
	EvNotifyDropped    = telemetry.Register(1304, "peer.notify-dropped", slog.LevelWarn, "A notification could not be decoded and was dropped.")
	EvHandlerPanic     = telemetry.Register(1305, "peer.handler-panic", slog.LevelError, "A handler panicked; its stream ended with an error.")
	EvAcceptFailed     = telemetry.Register(1306, "peer.accept-failed", slog.LevelWarn, "The listener failed to accept a connection and retries.")
)
