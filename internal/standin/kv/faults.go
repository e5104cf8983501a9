package kv

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Faults holds the injected faults of the store. They can be changed while it
// runs.
type Faults struct {
	mu             sync.Mutex
	rng            *rand.Rand
	reads          *rate.Limiter
	writes         *rate.Limiter
	outage         bool
	outageStarted  chan struct{} // closed during an outage
	expireInOutage bool
	delay          time.Duration
	delayWrites    int
	writeDelay     time.Duration
	loseNext       int
	loseShare      float64
}

func newFaults(seed uint64) *Faults {
	return &Faults{rng: rand.New(rand.NewPCG(seed, 0)), outageStarted: make(chan struct{})}
}

// LimitRates rejects calls above the rates with status 429. Rates are in calls
// per second, with a burst of one second's calls; 0 is unlimited. Lease calls
// count as writes.
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

// SetOutage starts or ends an outage, in which all calls are rejected with
// status 503 before they take effect. It ends the open watches. Leases have
// their full TTL again when the outage ends, unless ExpireLeasesInOutage is set.
func (f *Faults) SetOutage(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if on == f.outage {
		return
	}
	f.outage = on
	if on {
		close(f.outageStarted)
	} else {
		f.outageStarted = make(chan struct{})
	}
}

// ExpireLeasesInOutage sets whether leases expire during an outage.
func (f *Faults) ExpireLeasesInOutage(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireInOutage = on
}

// SetDelay delays each call by d before it takes effect. A delayed write takes
// effect even if the client has disconnected.
func (f *Faults) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// DelayNextWrites delays each of the next n writes by another d before it takes
// effect.
func (f *Faults) DelayNextWrites(n int, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delayWrites, f.writeDelay = n, d
}

// LoseNextWriteAnswers closes the connection of each of the next n writes after
// the write has taken effect, without a response.
func (f *Faults) LoseNextWriteAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseNext = n
}

// LoseWriteAnswers closes the connection after a write has taken effect, without
// a response, with the given probability.
func (f *Faults) LoseWriteAnswers(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseShare = share
}

func (f *Faults) inOutage() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outage
}

// leaseExpiryPaused reports whether an outage keeps leases from expiring.
func (f *Faults) leaseExpiryPaused() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outage && !f.expireInOutage
}

// outageSignal returns a channel that is closed when an outage begins.
func (f *Faults) outageSignal() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outageStarted
}

// allow reports whether the rate limit admits a call.
func (f *Faults) allow(write bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.reads
	if write {
		l = f.writes
	}
	return l == nil || l.Allow()
}

// wait applies the delays to one call. It does not return early if the client
// disconnects.
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

// loseAnswer reports whether to drop the response of a write.
func (f *Faults) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loseNext > 0 {
		f.loseNext--
		return true
	}
	return f.loseShare > 0 && f.rng.Float64() < f.loseShare
}
