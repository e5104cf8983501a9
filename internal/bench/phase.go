package bench

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"buckthornpick/internal/load"
	"buckthornpick/internal/wait"
)

// Delays are percentiles of delays in milliseconds.
type Delays struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
}

// Phase holds the measurements of one phase.
type Phase struct {
	Name string `json:"name"`
	// Offered and Throughput are in tokens per second: the tokens of all calls
	// over the period of arrivals, and the tokens received over the whole phase.
	Offered    float64 `json:"offered"`
	Throughput float64 `json:"carried"`
	Calls      int     `json:"calls"`
	Failed     int     `json:"failed"`
	// Unpaired calls completed but have no engine times of a single attempt, so
	// they are excluded from the delays.
	Unpaired   int    `json:"unpaired"`
	FirstToken Delays `json:"firstToken"`
	Token      Delays `json:"token"`
	// Processors is the CPU time of the whole process per second, in seconds,
	// including callers and engines.
	Processors float64 `json:"processors"`
	Seconds    float64 `json:"seconds"`
	// Problem is the error of the first failed call.
	Problem string `json:"problem,omitempty"`
}

const (
	// maxDelay is the greatest value of a histogram, in nanoseconds.
	maxDelay        = int64(10 * time.Minute)
	histogramDigits = 3
)

// runPhase makes the calls and returns their measurements. The load is open loop:
// each call starts at its arrival time, regardless of the progress of the others.
func runPhase(ctx context.Context, name string, calls []load.Call, t target, client *http.Client, rec *recorder) Phase {
	samples := make([]sample, len(calls))
	before, started := processorTime(), time.Now()
	var work sync.WaitGroup
	for i := range calls {
		if !wait.For(ctx, time.Until(started.Add(calls[i].At))) {
			break
		}
		work.Go(func() { samples[i] = call(ctx, client, t, &calls[i]) })
	}
	work.Wait()
	took := time.Since(started)
	p := Phase{Name: name, Calls: len(calls), Seconds: took.Seconds()}
	p.Processors = (processorTime() - before).Seconds() / took.Seconds()
	p.summarise(samples, rec)
	if n := len(calls); n > 0 {
		p.Offered = float64(n*answerTokens) / calls[n-1].At.Seconds()
	}
	return p
}

// summarise computes counts and delays from the samples and the engines' times.
func (p *Phase) summarise(samples []sample, rec *recorder) {
	first := hdrhistogram.New(1, maxDelay, histogramDigits)
	token := hdrhistogram.New(1, maxDelay, histogramDigits)
	events := 0
	for i := range samples {
		s := &samples[i]
		g, isSingle := rec.remove(s.request)
		events += len(s.received)
		switch {
		case s.err != nil:
			p.Failed++
			if p.Problem == "" {
				p.Problem = s.err.Error()
			}
		case !isSingle || len(g.events) < len(s.received):
			p.Unpaired++
		default:
			s.record(g, first, token)
		}
	}
	p.Throughput = float64(events) / p.Seconds
	p.FirstToken, p.Token = percentiles(first), percentiles(token)
}

// record adds the delays of one call to the histograms.
func (s *sample) record(g *generationTimes, first, token *hdrhistogram.Histogram) {
	for i, at := range s.received {
		delay := max(at.Sub(g.events[i]), 1)
		_ = token.RecordValue(int64(delay))
		if i == 0 {
			_ = first.RecordValue(int64(max(g.accepted.Sub(s.sent), 0) + delay))
		}
	}
}

func percentiles(h *hdrhistogram.Histogram) Delays {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond) }
	return Delays{P50: at(50), P99: at(99)}
}

// processorTime returns the CPU time that this process has used so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
