package limit

import (
	"math"
	"time"
)

const (
	// minShedWindow and minShedSamples are the smallest duration and sample
	// count of a complete window.
	minShedWindow  = time.Second
	minShedSamples = 32
	// maxShedWindow ends a window that has fewer samples, so that the shed share
	// also decreases while almost no request is admitted.
	maxShedWindow = 10 * time.Second
	// minShedIncreaseSamples is the smallest number of samples in a window that
	// can increase the shed share.
	minShedIncreaseSamples = 8
	// shedRaiseThreshold is the share of late or refused requests above which
	// the shed share is increased, shedLowerThreshold that below which it is
	// decreased.
	shedRaiseThreshold = 0.3
	shedLowerThreshold = 0.04
	// shedIncreaseGain scales the increase of the shed share: it is applied to
	// the excess above shedRaiseThreshold.
	shedIncreaseGain = 0.5
	// shedDecrease is subtracted from the shed share after a window below
	// shedLowerThreshold.
	shedDecrease = 0.06
	maxShedShare = 0.95
)

// shedder refuses a share of the contexts while a service is overloaded.
//
// If individual requests were refused, every context would be served partially:
// the caches would hold a little of each, all prompts would be recomputed and
// goodput would collapse. Contexts are shed by hash instead, so that all entries
// shed the same contexts without coordination and serve the others completely.
type shedder struct {
	// share is the share of contexts that are shed.
	share float64

	windowStart time.Time
	// lastWindow is the length of the last window.
	lastWindow time.Duration
	// samples and late count the requests of the current window.
	samples int
	late    int
}

// observe records the outcome of one request that was not shed. late is true if
// it missed its target or was refused for its deadline or for lack of queue space.
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

// closeWindow ends the window if it is complete and adapts the shed share.
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

// isShed reports whether a context is shed, and the time after which it is no
// longer shed if the overload ends now. Requests without a context (0) are never
// shed.
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

// hashPosition hashes a context to a number in [0, 1), uniformly distributed.
func hashPosition(context uint64) float64 {
	context ^= context >> 33
	context *= 0xff51afd7ed558ccd
	context ^= context >> 33
	context *= 0xc4ceb9fe1a85ec53
	context ^= context >> 33
	return float64(context>>11) / (1 << 53)
}
