package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"buckthornpick/internal/telemetry"
)

// WithSignals returns a context that ends at the first SIGTERM or SIGINT. The
// second ends the process at once with ExitFailure.
func WithSignals(parent context.Context, log *telemetry.Logger) (context.Context, func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ctx, stop := handleSignals(parent, signals, log, os.Exit)
	return ctx, func() {
		signal.Stop(signals)
		stop()
	}
}

func handleSignals(parent context.Context, signals <-chan os.Signal, log *telemetry.Logger, exit func(int)) (context.Context, func()) {
	ctx, cancel := context.WithCancel(parent)
	stopped := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case s := <-signals:
			log.Log(EvStopping, "signal", s.String())
			cancel()
		case <-stopped:
			return
		}
		select {
		case s := <-signals:
			log.Log(EvKilled, "signal", s.String())
			log.Flush()
			exit(ExitFailure)
		case <-stopped:
		}
	}()
	return ctx, func() {
		close(stopped)
		<-done
		cancel()
	}
}
