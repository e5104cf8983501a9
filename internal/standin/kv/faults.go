package kv

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Faults are the troubles of the store, settable while it runs.
type Faults struct {
	mu          sync.Mutex
	rng         *rand.Rand
	reads       *rate.Limiter
	writes      *rate.Limiter
	outage      bool
	outageBegan chan struct{} // closed while an outage lasts
	lapse       bool
	delay       time.Duration
	delayWrites int
	writeDelay  time.Duration
	loseNext    int
	loseShare   float64
}

func newFaults(seed uint64) *Faults {
	return &Faults{rng: rand.New(rand.NewPCG(seed, 0)), outageBegan: make(chan struct{})}
}

// LimitRates refuses calls beyond the rates (calls per second, with a burst of
// one second's worth) with status 429; 0 is unlimited. Lease calls are writes.
func (f *Faults) LimitRates(reads, writes float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads, f.writes = limiter(reads), limiter(writes)
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// SetOutage refuses all calls with status 503 before they take effect, and
// ends the open watches. Leases get their full time again when it ends, unless
// LapseInOutage is set.
func (f *Faults) SetOutage(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if on == f.outage {
		return
	}
	f.outage = on
	if on {
		close(f.outageBegan)
	} else {
		f.outageBegan = make(chan struct{})
	}
}

// LapseInOutage decides whether leases lapse while an outage lasts.
func (f *Faults) ExpireLeasesInOutage(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lapse = on
}

// SetDelay adds d before each call takes effect. A delayed write takes effect
// even if the client has given up.
func (f *Faults) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// DelayNextWrites adds d before each of the next n writes takes effect.
func (f *Faults) DelayNextWrites(n int, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delayWrites, f.writeDelay = n, d
}

// LoseNextAnswers breaks the connection of each of the next n writes after it
// took effect.
func (f *Faults) LoseNextWriteAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseNext = n
}

// LoseAnswers breaks the connection after a write with the given probability.
func (f *Faults) LoseWriteAnswers(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseShare = share
}

func (f *Faults) down() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outage
}

// holdsLeases reports whether leases are kept from lapsing now.
func (f *Faults) holdsLeases() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outage && !f.lapse
}

func (f *Faults) outageSignal() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outageBegan
}

func (f *Faults) allow(write bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.reads
	if write {
		l = f.writes
	}
	return l == nil || l.Allow()
}

// wait delays one call, also after its client has gone.
func (f *Faults) wait(write bool) {
	f.mu.Lock()
	d := f.delay
	if write && f.delayWrites > 0 {
		f.delayWrites--
		d += f.writeDelay
	}
	f.mu.Unlock()
	if d > 0 {
		time.Sleep(d)
	}
}

func (f *Faults) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loseNext > 0 {
		f.loseNext--
		return true
	}
	return f.loseShare > 0 && f.rng.Float64() < f.loseShare
}
