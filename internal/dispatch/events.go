package dispatch

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events that the owner logs while it runs requests.
var (
	EvRoute = telemetry.Register(1200, "route-decision", slog.LevelInfo,
		"A backend server was chosen: rule, reason and the candidates with their cost terms.")
	EvEnded = telemetry.Register(1201, "request-ended", slog.LevelInfo,
		"A request ended with the given outcome.")
	EvAttemptLost = telemetry.Register(1202, "attempt-lost", slog.LevelWarn,
		"An attempt ended without a complete answer. Depending on how far it got, it is resumed, repeated or given up.")
	EvResumed = telemetry.Register(1203, "attempt-resumed", slog.LevelInfo,
		"The owner reattached to an attempt at its backend server.")
	EvMoving = telemetry.Register(1204, "attempt-moving", slog.LevelInfo,
		"An attempt is moved because its backend server is being reclaimed.")
	EvLateAnswer = telemetry.Register(1205, "late-answer-dropped", slog.LevelInfo,
		"An event of an attempt's answer was dropped because the record refused it, as it does once the attempt is superseded.")
	EvRefused = telemetry.Register(1206, "request-refused", slog.LevelInfo,
		"A request was refused before any dispatch.")
	EvAdopted = telemetry.Register(1207, "request-adopted", slog.LevelInfo,
		"A request was taken over from a node that is leaving.")
	EvHandedOver = telemetry.Register(1208, "request-handed-over", slog.LevelInfo,
		"A request was handed over to its new owner.")
	EvStateRefused = telemetry.Register(1209, "state-change-refused", slog.LevelError,
		"A request's state machine refused a transition.")
	EvClaimNotReleased = telemetry.Register(1210, "claim-not-released", slog.LevelWarn,
		"The claim of a request that did not run could not be released; later submissions get the outcome \"unknown\".")
	EvRunsWithoutClaim = telemetry.Register(1211, "runs-without-claim", slog.LevelWarn,
		"The store is unavailable and the service's outage policy allows it: a non-repeatable request runs without a claim.")
	EvDeferredClaim = telemetry.Register(1212, "owed-claim-settled", slog.LevelInfo,
		"The deferred claim of a request that ran without one was written, or was dropped after the key window.")
	EvMoveDecision = telemetry.Register(1213, "move-decision", slog.LevelInfo,
		"An answer moves to another engine: whether its KV cache is transferred or computed again.")
	EvKVNotMoved = telemetry.Register(1214, "kv-not-moved", slog.LevelInfo,
		"The KV cache of a moved answer could not be transferred; the target server computes it again.")
)
