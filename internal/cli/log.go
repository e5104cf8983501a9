package cli

import (
	"context"
	"io"
	"log/slog"

	"buckthornpick/internal/config"
	"buckthornpick/internal/telemetry"
)

// startLog returns a logger that writes to w asynchronously. The returned
// function flushes the queued lines; later lines are written synchronously.
func startLog(w io.Writer, level slog.Level, node config.NodeSettings) (*telemetry.Logger, func()) {
	lines := telemetry.NewAsyncWriter(w, telemetry.DefaultMaxLines, telemetry.DefaultMaxBytes)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = lines.Run(ctx, func(w io.Writer, dropped int) {
			telemetry.NewLogger(w, level, node.ID, node.Zone).Log(telemetry.EvLinesDropped, "lines", dropped)
		})
	}()
	return telemetry.NewLogger(lines, level, node.ID, node.Zone).WithFlush(lines.Flush), func() {
		cancel()
		<-done
	}
}
