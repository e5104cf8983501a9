package blame

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"buckthornpick/internal/kv"
	"buckthornpick/internal/strictmsg"
	"buckthornpick/internal/wait"
)

// BlockedKey is the key of the evidence against blocked content, which outlives the
// crash of all entries. The entry that performs the site-wide duties writes it.
const BlockedKey = "buckthornpick/blocked-content"

// maxStoredRecords limits the stored evidence.
const maxStoredRecords = 500

// loadInterval is the time between two attempts to read the stored evidence.
const loadInterval = time.Second

// storedEvidence is the value of BlockedKey.
type storedEvidence struct {
	// StoredAt is the time of day in Unix milliseconds.
	StoredAt int64    `msgpack:"t"`
	Records  []Record `msgpack:"r,omitempty"`
}

// EncodeBlocked returns the value to store at BlockedKey; isEmpty is true if nothing is
// blocked.
func (t *Tracker) EncodeBlocked() (value []byte, isEmpty bool, err error) {
	t.mu.Lock()
	now := t.clock()
	stored := storedEvidence{StoredAt: time.Now().UnixMilli()}
	for key := range t.blocked {
		if len(stored.Records) < maxStoredRecords {
			stored.Records = append(stored.Records, t.evidence[key].record(key, now))
		}
	}
	t.mu.Unlock()
	value, err = msgpack.Marshal(stored)
	return value, len(stored.Records) == 0, err
}

// mergeStored merges the value of BlockedKey.
func (t *Tracker) mergeStored(value []byte) error {
	var stored storedEvidence
	if err := strictmsg.Unmarshal(value, &stored); err != nil {
		return err
	}
	elapsed := max(0, time.Now().UnixMilli()-stored.StoredAt)
	for i := range stored.Records {
		r := &stored.Records[i]
		r.AgeMillis += elapsed
		for crash := range r.Crashes {
			r.Crashes[crash] += elapsed
		}
	}
	t.Merge(stored.Records)
	return nil
}

// IsRecalled reports whether the stored evidence has been read, so that it may be replaced.
func (t *Tracker) IsRecalled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isRecalled
}

// LoadStored reads the evidence that was stored before a restart. It retries until the
// store answers or ctx ends, and always returns nil.
func (t *Tracker) LoadStored(ctx context.Context, store kv.Store) error {
	for {
		entry, found, err := store.Get(ctx, BlockedKey)
		if err == nil {
			if found {
				err = t.mergeStored(entry.Value)
			}
			t.mu.Lock()
			t.isRecalled = true
			t.mu.Unlock()
			t.log.Log(EvRecalled, "blocked", t.blockedCount(), "found", found, "error", errorText(err))
			return nil
		}
		if !wait.For(ctx, loadInterval) {
			return nil
		}
	}
}

func (t *Tracker) blockedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.blocked)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
