package limit

import "time"

const (
	// shedWindow and shedSamples are the least size of a window.
	shedWindow  = time.Second
	shedSamples = 32
	// shedStart and shedEnd are the shares of late or refused requests above
	// and below which the shed share rises and falls.
	shedStart = 0.2
	shedEnd   = 0.04
	// shedGain is the part of the excess by which the share rises.
	shedGain = 0.5
	// shedFall is the share given back in a window without excess.
	shedFall = 0.06
	maxShed  = 0.95
	// fullShed is the share above which the next priority is shed.
	fullShed = 0.85
)

// shedder refuses a share of the contexts while a service is overloaded, those
// of the lowest priority in use first.
//
// Refusing single requests would let every context run on in part: caches then
// hold a little of each, all prompts are recomputed and goodput collapses. A
// context is shed by its hash, so that entries shed the same contexts without
// talking, and those kept stay whole.
type shedder struct {
	shares [levels]float64

	windowStart time.Time
	samples     int
	bad         int
	// seen marks the priorities of contexts asked for in the window.
	seen [levels]bool
}

// observe takes the fate of one request that was not shed; bad is true if it
// was refused for lateness or missed its target.
func (s *shedder) observe(now time.Time, bad bool) {
	if s.windowStart.IsZero() {
		s.windowStart = now
	}
	s.samples++
	if bad {
		s.bad++
	}
	if s.samples < shedSamples || now.Sub(s.windowStart) < shedWindow {
		return
	}
	share := float64(s.bad) / float64(s.samples)
	switch {
	case share > shedStart:
		s.rise(shedGain * (share - shedStart))
	case share < shedEnd:
		s.fall()
	}
	s.windowStart, s.samples, s.bad, s.seen = now, 0, 0, [levels]bool{}
}

// rise sheds more of the lowest priority that is in use and not shed in full.
func (s *shedder) rise(part float64) {
	for l := levelLow; l >= levelHigh; l-- {
		if s.seen[l] && s.shares[l] < fullShed {
			s.shares[l] = min(maxShed, s.shares[l]+part*(1-s.shares[l]))
			return
		}
	}
}

// fall sheds less of the highest priority that is shed.
func (s *shedder) fall() {
	for l := range s.shares {
		if s.shares[l] > 0 {
			s.shares[l] = max(0, s.shares[l]-shedFall)
			return
		}
	}
}

// refuses reports whether a context of a priority is shed, and the time after
// which it will not be if the overload ends now.
func (s *shedder) refuses(l level, context uint64) (bool, time.Duration) {
	if context == 0 {
		return false, 0
	}
	s.seen[l] = true
	excess := s.shares[l] - position(context)
	if excess <= 0 {
		return false, 0
	}
	for higher := range l {
		excess += s.shares[higher]
	}
	return true, time.Duration(excess / shedFall * float64(shedWindow))
}

// position spreads contexts evenly over 0 to 1.
func position(context uint64) float64 {
	context ^= context >> 33
	context *= 0xff51afd7ed558ccd
	context ^= context >> 33
	context *= 0xc4ceb9fe1a85ec53
	context ^= context >> 33
	return float64(context>>11) / (1 << 53)
}
