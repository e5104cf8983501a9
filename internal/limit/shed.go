package limit

import (
	"math"
	"time"
)

const (
	// shedWindow and shedSamples are the least size of a window.
	minShedWindow  = time.Second
	minShedSamples = 32
	// maxShedWindow ends a window with fewer samples, so that the share falls
	// also while hardly any request gets through.
	maxShedWindow = 10 * time.Second
	// minShedSamples is the least size of a window after which the share rises.
	minShedIncreaseSamples = 8
	// shedStart and shedEnd are the shares of late or refused requests above
	// and below which the shed share rises and falls.
	shedRaiseThreshold = 0.3
	shedLowerThreshold = 0.04
	// shedGain is the part of the excess by which the share rises.
	shedIncreaseGain = 0.5
	// shedFall is the share given back in a window without excess.
	shedDecrease = 0.06
	maxShedShare = 0.95
)

// shedder refuses a share of the contexts while a service is overloaded.
//
// Refusing single requests would let every context run on in part: caches then
// hold a little of each, all prompts are recomputed and goodput collapses. A
// context is shed by its hash, so that entries shed the same contexts without
// talking, and those kept stay whole.
type shedder struct {
	share float64

	windowStart time.Time
	// window is the length of the last window.
	lastWindow time.Duration
	samples    int
	late       int
}

// observe takes the fate of one request that was not shed; bad is true if it
// was refused for lateness or missed its target.
func (s *shedder) observe(now time.Time, late bool) {
	if s.windowStart.IsZero() {
		s.windowStart = now
	}
	s.samples++
	if late {
		s.late++
	}
	s.closeWindow(now)
}

// settle ends the window if it is long enough and adapts the share.
func (s *shedder) closeWindow(now time.Time) {
	elapsed := now.Sub(s.windowStart)
	full := s.samples >= minShedSamples && elapsed >= minShedWindow
	if !full && elapsed < maxShedWindow {
		return
	}
	lateShare := float64(s.late) / float64(max(1, s.samples))
	switch {
	case lateShare > shedRaiseThreshold && s.samples >= minShedIncreaseSamples:
		s.share = min(maxShedShare, s.share+shedIncreaseGain*(lateShare-shedRaiseThreshold)*(1-s.share))
	case lateShare < shedLowerThreshold:
		s.share = max(0, s.share-shedDecrease*max(1, float64(elapsed/maxShedWindow)))
	}
	s.lastWindow = min(elapsed, maxShedWindow)
	s.windowStart, s.samples, s.late = now, 0, 0
}

// refuses reports whether a context is shed, and the time after which it will
// not be if the overload ends now.
func (s *shedder) isShed(now time.Time, context uint64) (bool, time.Duration) {
	if context == 0 || s.share <= 0 {
		return false, 0
	}
	s.closeWindow(now)
	excess := s.share - hashPosition(context)
	if excess <= 0 {
		return false, 0
	}
	windows := math.Ceil(excess / shedDecrease)
	return true, time.Duration(windows) * max(minShedWindow, s.lastWindow)
}

// position spreads contexts evenly over 0 to 1.
func hashPosition(context uint64) float64 {
	context ^= context >> 33
	context *= 0xff51afd7ed558ccd
	context ^= context >> 33
	context *= 0xc4ceb9fe1a85ec53
	context ^= context >> 33
	return float64(context>>11) / (1 << 53)
}
