package capacity

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// usualSlowness is the slowness up to which a server counts as working as usual, so that
	// no other one is asked.
	usualSlowness = 1.25
	// uncheckedOneIn: one in so many repeatable requests is sent without a check, so that a
	// server whose statements keep requests away is still tried.
	uncheckedOneIn = 32
	// MaxAlternatives limits the servers that are asked for their load beside the first.
	MaxAlternatives = 2
	// A question takes at most checkShare of the time in which the answer is due, between
	// minCheckTime and maxCheckTime.
	checkShare   = 0.04
	minCheckTime = 8 * time.Millisecond
	maxCheckTime = 20 * time.Millisecond
)

// CheckTime returns how long a request whose answer is due in target may wait for the load
// of the first server, and once more for those of others; a target of 0 is unknown.
func CheckTime(target time.Duration) time.Duration {
	if target <= 0 {
		return maxCheckTime
	}
	return min(max(time.Duration(checkShare*float64(target)), minCheckTime), maxCheckTime)
}

// Candidate is a server that a request may be sent to.
type Candidate struct {
	// Latency is the time in milliseconds that the request takes there with a free place and
	// the usual speed, and Cost what else speaks against the server, in milliseconds.
	Latency, Cost float64
	// Stated is the server's load, if IsKnown.
	Stated  Statement
	IsKnown bool
	// Limit is the number of requests from which on more work makes all slower; 0 is
	// unknown.
	Limit int
}

// places returns how many requests the server takes well; 0 is unknown.
func (c *Candidate) places() int {
	if c.Limit > 0 && (c.Stated.Slots == 0 || c.Limit < c.Stated.Slots) {
		return c.Limit
	}
	return c.Stated.Slots
}

// isFull reports whether one more request would wait, or make all slower.
func (c *Candidate) isFull() bool {
	return c.Stated.Waiting > 0 || c.places() > 0 && c.Stated.Running >= c.places()
}

// spareShare is the share of a server's places that is left to requests that are on their
// way there from other entries, at least one.
const spareShare = 0.125

// excess returns how many requests the server would have beyond those that it takes well,
// the spare places left free, with one more request; 0 if the places are unknown.
func (c *Candidate) excess() float64 {
	places := float64(c.places())
	if places <= 1 {
		return 0
	}
	return max(0, float64(c.Stated.Running+c.Stated.Waiting+1)+max(1, spareShare*places)-places)
}

// TakesWell reports whether the server is known to have places to spare and to work as usual.
// The first such server is chosen: to look for the emptiest one would send all entries that
// look at the same moment to the same server.
func (c *Candidate) TakesWell() bool {
	return c.IsKnown && !c.isFull() && c.excess() == 0 && c.Stated.Slowness <= usualSlowness
}

// crowdingCost is by how many times the usual time a request is expected to take longer at a
// server with twice as many requests as places: it may be turned away, too.
const crowdingCost = 4

// unknownSlowness is the slowness to expect of a server that has not said how long work
// takes there: that of a server that answers nothing just now.
const unknownSlowness = 2

// expected returns the expected time to the answer in milliseconds and the other costs.
func (c *Candidate) expected() float64 {
	if !c.IsKnown {
		return c.Latency*unknownSlowness + c.Cost
	}
	crowding := 1.0
	if places := c.places(); places > 0 {
		crowding += crowdingCost * c.excess() / float64(places)
	}
	return c.Latency*max(c.Stated.Slowness, minSlowness)*crowding + c.Cost
}

// fullPenalty makes a server without a free place be chosen only if all others have none
// either, since it may turn the request away.
const fullPenalty = 1e6

// Choose returns the index of the candidate to send the request to, -1 if there are none:
// the one with the earliest expected answer, and one that is full only if all are.
func Choose(list []Candidate) int {
	best, least := -1, math.Inf(1)
	for i := range list {
		cost := list[i].expected()
		if list[i].IsKnown && list[i].isFull() {
			cost += fullPenalty
		}
		if cost < least {
			best, least = i, cost
		}
	}
	return best
}

// MayBeBetter reports whether other, whose load is not known, is cheaper than c if it works
// as usual.
func (c *Candidate) MayBeBetter(other *Candidate) bool {
	return c.IsKnown && c.isFull() || other.Latency+other.Cost < c.expected()
}

// SkipsCheck reports whether a request is sent as if servers stated nothing.
func SkipsCheck(isRepeatable bool, rng func(n int) int) bool {
	return isRepeatable && rng(uncheckedOneIn) == 0
}

// Rand is the random source of SkipsCheck in production.
func Rand(n int) int { return rand.IntN(n) }
