package follow

import (
	"context"
	"strconv"
	"sync"
	"time"

	"buckthornpick/internal/clock"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/telemetry"
	"buckthornpick/internal/wait"
)

// SizeKey holds the number of the site's entries in decimal, written by the
// holder of the duties.
const SiteSizeKey = "buckthornpick/site-size"

// certainAfter is how long an entry's own registration must be confirmed until it
// relies on the registry being complete: by then the others that live have
// registered too.
const certainAfter = 10 * time.Second

// SiteSize is the number of entries among which the site's quotas are divided.
// While registrations fail the registry says less than there are, so the largest
// number known before holds, also over a restart of all entries. It is safe for
// concurrent use.
type SiteSize struct {
	clock clock.Clock

	mu         sync.Mutex
	remembered int
	isRecalled bool
	// isConfirmed and since tell that the own registration is confirmed, and
	// since when.
	isConfirmed bool
	since       time.Duration
}

// NewSiteSize returns the size of a site of which nothing is known.
func NewSiteSize(c clock.Clock) *SiteSize { return &SiteSize{clock: c} }

// Confirm takes the result of a call that makes or renews the own registration.
func (s *SiteSize) SetRegistered(isConfirmed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isConfirmed && !s.isConfirmed {
		s.since = s.clock()
	}
	s.isConfirmed = isConfirmed
}

// recall takes the number that an earlier life of the site stored.
func (s *SiteSize) recall(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remembered = max(s.remembered, n)
	s.isRecalled = true
}

// Count returns the number to reckon with, given the number of those known now.
func (s *SiteSize) Estimate(known int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isConfirmed && s.clock()-s.since >= certainAfter {
		s.remembered = known
	} else {
		s.remembered = max(s.remembered, known)
	}
	return s.remembered
}

// Known returns the last count; ok is false until the stored one was asked for.
func (s *SiteSize) LastEstimate() (n int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.remembered, s.isRecalled
}

// Recall reads the stored number, and tries again until it has an answer or ctx
// ends.
func (s *SiteSize) LoadStored(ctx context.Context, store kv.Store, log *telemetry.Logger) error {
	for {
		entry, found, err := store.Get(ctx, SiteSizeKey)
		if err == nil {
			n := 0
			if found {
				n, err = strconv.Atoi(string(entry.Value))
			}
			s.recall(n)
			log.Log(EvSizeRecalled, "entries", n, "revision", entry.ModRevision, "error", errorText(err))
			return nil
		}
		if !wait.For(ctx, retryMost) {
			return nil
		}
		log.Log(EvSizeUnknown, "step", fault.Step(err), "peer", fault.Peer(err), "error", err.Error())
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
