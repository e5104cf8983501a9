package blame

import "time"

const (
	// trialTimeout is how long a trial excludes others if neither an answer nor a crash
	// ends it.
	trialTimeout = 10 * time.Second
	// soonTrialDelay is the time after the last crash of a blocked key before its first
	// trial if the key is likely to be innocent: if it has been answered before, or if
	// another blocked key ran during all of its crashes.
	soonTrialDelay = 2 * time.Second
	// partTrialDelay is that time for other parts with fewer crashes than
	// partTrialCrashes: of rare ones that merely ran on servers that were killed, no
	// answer may have been seen.
	partTrialDelay   = 10 * time.Second
	partTrialCrashes = 5
	// minRetryAfter is the least Verdict.RetryAfter of blocked content: a trial may be due
	// for which this request does not serve, or for which it gets no permission.
	minRetryAfter = time.Second
)

// trialDelays holds the times before the trials of a blocked key, from its last crash
// or trial on. After these it stays blocked until its evidence expires.
var trialDelays = []time.Duration{time.Minute, 5 * time.Minute, 20 * time.Minute}

// trial is the trial that this entry has permitted last.
type trial struct {
	key   Key
	epoch uint32
	// crashCount is the number of crashes against the key before the trial.
	crashCount int
	until      time.Duration
}

// Verdict is the decision about the content of a request.
type Verdict struct {
	IsBlocked bool
	// Key is the blocked key, the first one if there are several.
	Key Key
	// CanTry is true if the request may serve as a trial of Key: a trial is due, and
	// nothing else in the request is blocked.
	CanTry bool
	// RetryAfter is the time until a trial of all blocked keys is due, or until the evidence
	// expires if there will be no trial; at least minRetryAfter.
	RetryAfter time.Duration
}

// Judge decides about a request with the content.
func (t *Tracker) Judge(c *Content) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var v Verdict
	if len(t.blocked) == 0 {
		return v
	}
	for _, key := range c.Keys() {
		if !t.blocked[key] || v.IsBlocked && v.Key == key {
			continue
		}
		wait, ok := t.untilTrialLocked(key)
		if !ok {
			wait = t.evidence[key].changedAt + blockedRetention - t.clock()
		}
		if v.IsBlocked {
			v.CanTry = false
		} else {
			v = Verdict{IsBlocked: true, Key: key, CanTry: ok && wait <= 0}
		}
		v.RetryAfter = max(v.RetryAfter, wait, minRetryAfter)
	}
	return v
}

// untilTrialLocked returns the time until a trial of a blocked key is due; ok is false
// if there will be none.
func (t *Tracker) untilTrialLocked(key Key) (wait time.Duration, ok bool) {
	e := t.evidence[key]
	if e == nil || e.trials >= len(trialDelays) {
		return 0, false
	}
	delay := trialDelays[e.trials]
	switch {
	case e.trials > 0:
	case e.wasAnswered || t.isRedundantLocked(key, e):
		delay = soonTrialDelay
	case key.isPart() && len(e.crashes) < partTrialCrashes:
		delay = partTrialDelay
	}
	return e.changedAt + delay - t.clock(), true
}

// isRedundantLocked reports whether another blocked key ran during all crashes of the
// key with the evidence e.
func (t *Tracker) isRedundantLocked(key Key, e *evidence) bool {
	for other := range t.blocked {
		if other == key {
			continue
		}
		ranInAll := true
		for crash := range e.crashes {
			_, ran := t.evidence[other].crashes[crash]
			ranInAll = ranInAll && ran
		}
		if ranInAll {
			return true
		}
	}
	return false
}

// PermitTrial permits a trial of a blocked key if one is due and no other one runs. It
// is called at the entry that permits the trials of the whole site, and returns what
// the others have to hear of.
func (t *Tracker) PermitTrial(key Key) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	wait, ok := t.untilTrialLocked(key)
	if !t.blocked[key] || !ok || wait > 0 || t.isTrialRunningLocked(now) {
		return Record{}, false
	}
	e := t.evidence[key]
	e.trials++
	e.changedAt = now
	t.trial = trial{key: key, epoch: e.epoch, crashCount: len(e.crashes), until: now + trialTimeout}
	t.noteLocked(now, key, e)
	return e.record(key, now), true
}

// isTrialRunningLocked reports whether the last trial has not ended: with an answer,
// which begins another epoch of its key, with a crash, or by its timeout.
func (t *Tracker) isTrialRunningLocked(now time.Duration) bool {
	e, ok := t.evidence[t.trial.key]
	return ok && now < t.trial.until && e.epoch == t.trial.epoch && len(e.crashes) == t.trial.crashCount
}
