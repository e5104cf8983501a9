package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/pprof"
	"time"

	"buckthornpick/internal/wait"
)

// Options configures a run.
type Options struct {
	Seed uint64
	// Rate is the arrival rate in requests per second; default 37.
	Rate float64
	// Duration is how long requests arrive in each phase; default 20 s.
	Duration time.Duration
	// MaxRate bounds the search for the highest sustained rate, in requests per
	// second; 0 skips the search.
	MaxRate float64
	// Progress receives one line for each phase; nil discards it.
	Progress io.Writer
	// CPUProfile and AllocProfile are the files to which profiles of the phase
	// ProfiledPhase are written; empty writes none.
	CPUProfile    string
	AllocProfile  string
	ProfiledPhase string
}

// Defaults of Options.
const (
	DefaultRate     = 37
	DefaultDuration = 20 * time.Second
)

// Names of the phases.
const (
	PhaseDirect = "direct"
	PhaseEntry  = "entry"
	PhaseRelay  = "relay"
)

// Report is the result of a run.
type Report struct {
	Machine Machine `json:"machine"`
	Direct  Phase   `json:"direct"`
	Entry   Phase   `json:"entry"`
	Relay   Phase   `json:"relay"`
	// IdleProcessors is the CPU time that the idle site uses per second, in
	// seconds.
	IdleProcessors float64 `json:"idleProcessors"`
	// Steps are the phases of the search for the highest sustained rate.
	Steps []Phase `json:"steps,omitempty"`
}

const (
	idleDuration   = 3 * time.Second
	warmUpDuration = 3 * time.Second
	// stepFactor is the ratio of the rates of two consecutive search steps.
	stepFactor   = 1.5
	stepDuration = 8 * time.Second
	// sustainedP50Millis is the highest median delay of a token, in
	// milliseconds, at which a rate counts as sustained: the time in which an
	// engine generates one token. The p99 is reported but not limited.
	sustainedP50Millis = 1000 / decodeTokensPerSecond
)

// Run starts a site, runs all phases on it and returns the report. If a phase fails,
// it returns the partial report with the error.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Rate == 0 {
		o.Rate = DefaultRate
	}
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	b, err := start(ctx, o.Seed)
	if err != nil {
		return nil, err
	}
	defer b.close()
	r := &Report{Machine: machine()}
	if err := b.warmUp(ctx, o); err != nil {
		return nil, err
	}
	before := processorTime()
	wait.For(ctx, idleDuration)
	r.IdleProcessors = (processorTime() - before).Seconds() / idleDuration.Seconds()
	if err := b.compare(ctx, o, r); err != nil {
		return r, err
	}
	return r, b.search(ctx, o, r)
}

// warmUp sends calls to the engines and to the entry without reporting them.
func (b *bench) warmUp(ctx context.Context, o Options) error {
	all := calls(o.Seed+1, o.Rate, warmUpDuration)
	runPhase(ctx, "warm-up", all, b.toEngines(), b.client, b.rec)
	p := runPhase(ctx, "warm-up", withoutKeys(all), b.toEntry(), b.client, b.rec)
	return p.check(ctx)
}

// compare runs the direct, entry and relay phases with the same arrivals.
func (b *bench) compare(ctx context.Context, o Options, r *Report) error {
	all := calls(o.Seed, o.Rate, o.Duration)
	var err error
	phase := func(result *Phase, run func() Phase) {
		if err == nil {
			*result = run()
			_, _ = fmt.Fprintln(o.Progress, result)
			err = result.check(ctx)
		}
	}
	phase(&r.Direct, func() Phase {
		return profiled(o, PhaseDirect, func() Phase {
			return runPhase(ctx, PhaseDirect, all, b.toEngines(), b.client, b.rec)
		})
	})
	phase(&r.Entry, func() Phase {
		return profiled(o, PhaseEntry, func() Phase {
			return runPhase(ctx, PhaseEntry, withoutKeys(all), b.toEntry(), b.client, b.rec)
		})
	})
	phase(&r.Relay, func() Phase {
		return profiled(o, PhaseRelay, func() Phase {
			return runPhase(ctx, PhaseRelay, b.withKeysOwnedElsewhere(all), b.toEntry(), b.client, b.rec)
		})
	})
	return err
}

// search raises the rate of calls through one entry until it is not sustained or
// MaxRate is exceeded.
func (b *bench) search(ctx context.Context, o Options, r *Report) error {
	for rate := o.Rate * stepFactor; rate <= o.MaxRate; rate *= stepFactor {
		all := withoutKeys(calls(o.Seed, rate, stepDuration))
		p := runPhase(ctx, fmt.Sprintf("%.0f requests/s", rate), all, b.toEntry(), b.client, b.rec)
		_, _ = fmt.Fprintln(o.Progress, &p)
		r.Steps = append(r.Steps, p)
		if ctx.Err() != nil || !p.isSustained() {
			return ctx.Err()
		}
	}
	return nil
}

// isSustained reports whether no call failed and the median delay of a token is
// within sustainedP50Millis.
func (p *Phase) isSustained() bool { return p.Failed == 0 && p.Token.P50 <= sustainedP50Millis }

// check returns an error if calls failed or the context has ended.
func (p *Phase) check(ctx context.Context) error {
	if p.Failed > 0 && ctx.Err() == nil {
		return fmt.Errorf("phase %s: %d of %d calls failed: %s", p.Name, p.Failed, p.Calls, p.Problem)
	}
	return ctx.Err()
}

// String formats the phase as one line.
func (p *Phase) String() string {
	return fmt.Sprintf("%-14s %6.0f tokens/s offered, %d calls, %d failed, token p50 %.3f p99 %.3f ms, first p50 %.3f p99 %.3f ms, %.2f processors",
		p.Name, p.Offered, p.Calls, p.Failed, p.Token.P50, p.Token.P99, p.FirstToken.P50, p.FirstToken.P99, p.Processors)
}

// profiled runs f, and writes profiles if phase is the one to profile.
func profiled(o Options, phase string, f func() Phase) Phase {
	if o.ProfiledPhase != phase {
		return f()
	}
	if o.CPUProfile != "" {
		if file, err := os.Create(o.CPUProfile); err == nil {
			defer func() { _ = file.Close() }()
			if pprof.StartCPUProfile(file) == nil {
				defer pprof.StopCPUProfile()
			}
		}
	}
	p := f()
	if o.AllocProfile != "" {
		if file, err := os.Create(o.AllocProfile); err == nil {
			defer func() { _ = file.Close() }()
			runtime.GC()
			_ = pprof.Lookup("allocs").WriteTo(file, 0)
		}
	}
	return p
}
