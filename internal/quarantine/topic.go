package quarantine

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// encodedMark is a mark as exchanged between nodes.
type encodedMark struct {
	Fingerprint uint64            `msgpack:"f"`
	Crashes     map[string]string `msgpack:"c"`
	Last        time.Time         `msgpack:"l"`
}

// Topic replicates the marks to all nodes, so that a node that started after a
// crash or missed its message gets them too. It implements spread.Topic.
type Topic struct{ Quarantine *Quarantine }

// Version implements spread.Topic. It is the time of the latest crash in
// microseconds.
func (t Topic) Version() int64 {
	q := t.Quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.versionLocked()
}

func (q *Quarantine) versionLocked() int64 {
	var latest int64
	for _, m := range q.marks {
		latest = max(latest, m.lastCrash.UnixMicro())
	}
	return latest
}

// Encode implements spread.Topic. It returns all marks and their version.
func (t Topic) Encode() ([]byte, int64, error) {
	q := t.Quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	values := make([]encodedMark, 0, len(q.marks))
	for fingerprint, m := range q.marks {
		values = append(values, encodedMark{Fingerprint: fingerprint, Crashes: m.crashes, Last: m.lastCrash})
	}
	data, err := msgpack.Marshal(values)
	return data, q.versionLocked(), err
}

// Merge implements spread.Topic. It merges the received marks into the node's
// own and reports whether this raised the version.
func (t Topic) Merge(value []byte) (bool, error) {
	var values []encodedMark
	if err := msgpack.Unmarshal(value, &values); err != nil {
		return false, err
	}
	q := t.Quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	before := q.versionLocked()
	for _, v := range values {
		q.mergeLocked(v)
	}
	return q.versionLocked() > before, nil
}

// mergeLocked adds the crashes of v to the mark of the same fingerprint. An
// expired v is ignored.
func (q *Quarantine) mergeLocked(v encodedMark) {
	if time.Since(v.Last) > q.cfg.Retention {
		return
	}
	m, ok := q.marks[v.Fingerprint]
	if !ok {
		m = &mark{crashes: map[string]string{}}
		q.marks[v.Fingerprint] = m
	}
	for attempt, server := range v.Crashes {
		m.crashes[attempt] = server
	}
	if v.Last.After(m.lastCrash) {
		m.lastCrash = v.Last
	}
}
