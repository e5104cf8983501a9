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

// SiteSizeKey is the key of the number of the site's entries in decimal. The
// entry that performs the site-wide duties writes it.
const SiteSizeKey = "buckthornpick/site-size"

// registryCompleteAfter is how long an entry's own registration must have
// succeeded before the entry treats the registry as complete: by then the other
// live entries have registered too.
const registryCompleteAfter = 10 * time.Second

// SiteSize estimates the number of entries among which the site's quotas are
// divided. While registrations fail, the registry lists fewer entries than there
// are; the estimate then does not fall below the largest number known before,
// even after a restart of all entries. It is safe for concurrent use.
type SiteSize struct {
	clock clock.Clock

	mu       sync.Mutex
	estimate int
	// isStoredKnown is true once the stored number has been read.
	isStoredKnown bool
	// isRegistered is true if the last call that made or renewed this entry's
	// registration succeeded; registeredSince is when the first of an unbroken
	// series of such calls succeeded.
	isRegistered    bool
	registeredSince time.Duration
}

// NewSiteSize returns an estimate of 0, before any entry is known.
func NewSiteSize(c clock.Clock) *SiteSize { return &SiteSize{clock: c} }

// SetRegistered records whether this entry's own registration was made or renewed.
func (s *SiteSize) SetRegistered(isRegistered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isRegistered && !s.isRegistered {
		s.registeredSince = s.clock()
	}
	s.isRegistered = isRegistered
}

// setStored raises the estimate to the number stored before a restart of the site.
func (s *SiteSize) setStored(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.estimate = max(s.estimate, n)
	s.isStoredKnown = true
}

// Estimate updates and returns the estimate, given the number of entries that are
// known now.
func (s *SiteSize) Estimate(registered int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isRegistered && s.clock()-s.registeredSince >= registryCompleteAfter {
		s.estimate = registered
	} else {
		s.estimate = max(s.estimate, registered)
	}
	return s.estimate
}

// LastEstimate returns the last estimate; ok is false until the stored number has
// been read.
func (s *SiteSize) LastEstimate() (n int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.estimate, s.isStoredKnown
}

// LoadStored reads the stored number. It retries until the store answers or ctx
// ends, and always returns nil.
func (s *SiteSize) LoadStored(ctx context.Context, store kv.Store, log *telemetry.Logger) error {
	for {
		entry, found, err := store.Get(ctx, SiteSizeKey)
		if err == nil {
			n := 0
			if found {
				n, err = strconv.Atoi(string(entry.Value))
			}
			s.setStored(n)
			log.Log(EvSizeRecalled, "entries", n, "revision", entry.ModRevision, "error", errorText(err))
			return nil
		}
		if !wait.For(ctx, maxBackoff) {
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
