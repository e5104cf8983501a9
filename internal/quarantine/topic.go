package quarantine

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// markValue is a mark as nodes pass it on.
type markValue struct {
	Fingerprint uint64            `msgpack:"f"`
	Crashes     map[string]string `msgpack:"c"`
	Last        time.Time         `msgpack:"l"`
}

// Topic spreads the marks, so that a node that started after a crash or missed
// it knows them too. It implements spread.Topic.
type Topic struct{ Quarantine *Quarantine }

// Version implements spread.Topic: the time of the latest crash.
func (t Topic) Version() int64 {
	q := t.Quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.versionLocked()
}

func (q *Quarantine) versionLocked() int64 {
	var latest int64
	for _, m := range q.marks {
		latest = max(latest, m.last.UnixMicro())
	}
	return latest
}

// Encode implements spread.Topic.
func (t Topic) Encode() ([]byte, int64, error) {
	q := t.Quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	values := make([]markValue, 0, len(q.marks))
	for fingerprint, m := range q.marks {
		values = append(values, markValue{Fingerprint: fingerprint, Crashes: m.crashes, Last: m.last})
	}
	data, err := msgpack.Marshal(values)
	return data, q.versionLocked(), err
}

// Observe implements spread.Topic: marks are united.
func (t Topic) Merge(value []byte) (bool, error) {
	var values []markValue
	if err := msgpack.Unmarshal(value, &values); err != nil {
		return false, err
	}
	q := t.Quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	before := q.versionLocked()
	for _, v := range values {
		q.uniteLocked(v)
	}
	return q.versionLocked() > before, nil
}

func (q *Quarantine) uniteLocked(v markValue) {
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
	if v.Last.After(m.last) {
		m.last = v.Last
	}
}
