package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"buckthornpick/internal/telemetry"
)

// WithSignals returns a context that ends at the first SIGTERM or SIGINT. The
// process ends at once with ExitFailure at a SIGINT after that.
func WithSignals(parent context.Context, log *telemetry.Logger) (context.Context, func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ctx, stop := handleSignals(parent, signals, log, os.Exit)
	return ctx, func() {
		signal.Stop(signals)
		stop()
	}
}

// awaitInterrupt ends the process at an interrupt from the keyboard. A platform
// may send SIGTERM more than once, and that asks for no more than the first.
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
