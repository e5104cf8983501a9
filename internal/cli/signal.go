package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"buckthornpick/internal/telemetry"
)

// WithSignals returns a context that is cancelled by the first SIGTERM or
// SIGINT. A SIGINT after that exits the process immediately with ExitFailure.
// The returned function stops the signal handling.
func WithSignals(parent context.Context, log *telemetry.Logger) (context.Context, func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ctx, stop := handleSignals(parent, signals, log, os.Exit)
	return ctx, func() {
		signal.Stop(signals)
		stop()
	}
}

// exitOnInterrupt exits the process on SIGINT. Further SIGTERMs are only
// logged, because a platform may send SIGTERM more than once.
func exitOnInterrupt(signals <-chan os.Signal, stopped <-chan struct{}, log *telemetry.Logger, exit func(int)) {
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGINT {
				log.Log(EvStopRepeated, "signal", s.String())
				continue
			}
			log.Log(EvForcedExit, "signal", s.String())
			log.Flush()
			exit(ExitFailure)
			return
		case <-stopped:
			return
		}
	}
}

// handleSignals implements WithSignals with the given signal channel and exit
// function.
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
		exitOnInterrupt(signals, stopped, log, exit)
	}()
	return ctx, func() {
		close(stopped)
		<-done
		cancel()
	}
}
