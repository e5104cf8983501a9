package blame

import "time"

// Record is the evidence against one key as entries tell it to each other.
type Record struct {
	Key         Key    `msgpack:"k"`
	Epoch       uint32 `msgpack:"e,omitempty"`
	WasAnswered bool   `msgpack:"w,omitempty"`
	Trials      int    `msgpack:"t,omitempty"`
	// AgeMillis is the time since the last change.
	AgeMillis int64 `msgpack:"a"`
	// Crashes holds the time in milliseconds since each crash.
	Crashes map[Crash]int64 `msgpack:"c,omitempty"`
}

func (e *evidence) record(key Key, now time.Duration) Record {
	r := Record{Key: key, Epoch: e.epoch, WasAnswered: e.wasAnswered, Trials: e.trials, AgeMillis: (now - e.changedAt).Milliseconds()}
	if len(e.crashes) > 0 {
		r.Crashes = make(map[Crash]int64, len(e.crashes))
		for crash, at := range e.crashes {
			r.Crashes[crash] = (now - at).Milliseconds()
		}
	}
	return r
}

// Records returns all evidence.
func (t *Tracker) Records() []Record { return t.RecordsSince(0) }

// RecordsSince returns the evidence that this entry has learned at the given time of the
// tracker's clock or later.
func (t *Tracker) RecordsSince(since time.Duration) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	t.expireLocked(now)
	var records []Record
	for key, e := range t.evidence {
		if e.learnedAt >= since {
			records = append(records, e.record(key, now))
		}
	}
	return records
}

// Merge adds the evidence of another entry. It returns the records that held anything
// new.
func (t *Tracker) Merge(records []Record) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	t.expireLocked(now)
	var news []Record
	for _, r := range records {
		if t.mergeLocked(now, r) {
			news = append(news, r)
		}
	}
	if len(news) > 0 {
		t.judgeLocked()
	}
	return news
}

// mergeLocked merges one record and reports whether it held anything new.
func (t *Tracker) mergeLocked(now time.Duration, r Record) bool {
	age := millis(r.AgeMillis)
	e, isKnown := t.evidence[r.Key]
	if !isKnown {
		if age > maxMergeAge(len(r.Crashes)) {
			return false
		}
		e = t.evidenceLocked(r.Key)
		e.epoch, e.changedAt = r.Epoch, now-age
	}
	if r.Epoch < e.epoch {
		return false
	}
	isNew := !isKnown || r.Epoch > e.epoch || r.WasAnswered && !e.wasAnswered || r.Trials > e.trials
	if r.Epoch > e.epoch {
		*e = evidence{epoch: r.Epoch, wasAnswered: e.wasAnswered, crashes: map[Crash]time.Duration{}, hash: e.hash}
	}
	e.wasAnswered = e.wasAnswered || r.WasAnswered
	e.trials = max(e.trials, r.Trials)
	for crash, crashAge := range r.Crashes {
		if _, ok := e.crashes[crash]; !ok && len(e.crashes) < maxCrashesPerKey {
			e.crashes[crash] = now - millis(crashAge)
			isNew = true
		}
	}
	if isNew {
		e.changedAt = max(e.changedAt, now-age)
		t.noteLocked(now, r.Key, e)
	}
	return isNew
}

// maxMergeAge returns the age up to which evidence with a number of crashes is taken from
// another entry.
func maxMergeAge(crashCount int) time.Duration {
	if crashCount >= crashLimit {
		return blockedRetention - mergeMargin
	}
	return suspectRetention - mergeMargin
}

// HasNewsFor reports whether an entry that has sent all its evidence lacks some of this
// one's and would take it.
func (t *Tracker) HasNewsFor(records []Record) bool {
	known := make(map[Key]Record, len(records))
	for _, r := range records {
		known[r.Key] = r
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	t.expireLocked(now)
	isFull := len(records) >= maxKeys*3/4 // it may have dropped what this entry has
	for key, e := range t.evidence {
		if r, ok := known[key]; ok && e.hasNewsFor(&r) {
			return true
		} else if !ok && !isFull && now-e.changedAt <= maxMergeAge(len(e.crashes)) {
			return true
		}
	}
	return false
}

// hasNewsFor reports whether the evidence holds anything that a record of the same key
// lacks.
func (e *evidence) hasNewsFor(r *Record) bool {
	if e.epoch != r.Epoch {
		return e.epoch > r.Epoch
	}
	if e.wasAnswered && !r.WasAnswered || e.trials > r.Trials {
		return true
	}
	for crash := range e.crashes {
		if _, ok := r.Crashes[crash]; !ok && len(r.Crashes) < maxCrashesPerKey {
			return true
		}
	}
	return false
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
