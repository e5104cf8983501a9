package dispatch

import (
	"time"

	"buckthornpick/internal/request"
)

// endedQueue holds the records of ended requests in the order in which they
// ended, and their total size.
type endedQueue struct {
	records []*request.Record
	bytes   int
}

func (q *endedQueue) add(rec *request.Record) {
	q.records = append(q.records, rec)
	q.bytes += rec.Bytes()
}

// expire removes and returns the records that ended before now-retention, and
// further records, oldest first, until the rest fits into maxBytes. It stops at a
// record that is being transferred, for which callers wait.
func (q *endedQueue) expire(now time.Time, retention time.Duration, maxBytes int) []*request.Record {
	n := 0
	for n < len(q.records) {
		rec := q.records[n]
		_, at, ok := rec.Ended()
		isExpired := !ok || now.Sub(at) >= retention
		isKept := !isExpired && q.bytes <= maxBytes
		if isKept || rec.State() == request.HandingOver {
			break
		}
		q.bytes -= rec.Bytes()
		n++
	}
	removed := q.records[:n:n]
	q.records = q.records[n:]
	return removed
}
