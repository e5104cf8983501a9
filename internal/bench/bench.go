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

// Options of a run.
type Options struct {
	Seed uint64
	// Rate is the arrival rate in requests per second; default 37.
	Rate float64
	// Length is how long requests arrive in each phase; default 20 s.
	Duration time.Duration
	// MaxRate bounds the search for the highest rate, in requests per second;
	// 0 leaves the search out.
	MaxRate float64
	// Progress gets a line for each phase; nil is none.
	Progress io.Writer
	// CPUProfile and AllocProfile are files for profiles of the phase
	// ProfiledPhase; empty is none.
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
	// IdleProcessors is the processor time of the idle site per second.
	IdleProcessors float64 `json:"idleProcessors"`
	// Steps are the phases of the search for the highest rate.
	Steps []Phase `json:"steps,omitempty"`
}

const (
	idleDuration   = 3 * time.Second
	warmUpDuration = 3 * time.Second
	// stepFactor is the ratio of the rates of two steps of the search.
	stepFactor   = 1.5
	stepDuration = 8 * time.Second
	// carriedP50 is the median delay in milliseconds up to which a rate counts
	// as carried: the time of one token at the engines' rate. The p99 is
	// printed beside it.
	sustainedP50Millis = 1000 / decodeTokensPerSecond
)

// Run measures on a site of its own.
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

func (b *bench) warmUp(ctx context.Context, o Options) error {
	all := calls(o.Seed+1, o.Rate, warmUpDuration)
	runPhase(ctx, "warm-up", all, b.toEngines(), b.client, b.rec)
	p := runPhase(ctx, "warm-up", withoutKeys(all), b.toEntry(), b.client, b.rec)
	return p.check(ctx)
}

// compare runs the three phases on the same arrivals.
func (b *bench) compare(ctx context.Context, o Options, r *Report) error {
	all := calls(o.Seed, o.Rate, o.Duration)
	var err error
	phase := func(into *Phase, run func() Phase) {
		if err == nil {
			*into = run()
			_, _ = fmt.Fprintln(o.Progress, into)
			err = into.check(ctx)
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

// search raises the rate through one entry until it is not carried.
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

func (p *Phase) isSustained() bool { return p.Failed == 0 && p.Token.P50 <= sustainedP50Millis }

func (p *Phase) check(ctx context.Context) error {
	if p.Failed > 0 && ctx.Err() == nil {
		return fmt.Errorf("phase %s: %d of %d calls failed: %s", p.Name, p.Failed, p.Calls, p.Problem)
	}
	return ctx.Err()
}

// String sums the phase up in a line.
func (p *Phase) String() string {
	return fmt.Sprintf("%-14s %6.0f tokens/s offered, %d calls, %d failed, token p50 %.3f p99 %.3f ms, first p50 %.3f p99 %.3f ms, %.2f processors",
		p.Name, p.Offered, p.Calls, p.Failed, p.Token.P50, p.Token.P99, p.FirstToken.P50, p.FirstToken.P99, p.Processors)
}

// profiled runs f and writes the profiles if the phase has been asked for.
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
