package relay

// StreamOrigin identifies the backend servers that may write a stream: those of one
// service with one software version. What two versions write does not fit together,
// and servers do not check which version wrote the earlier events.
type StreamOrigin struct {
	Service string `msgpack:"s"`
	Version string `msgpack:"v"`
}

// recordOrigin records which servers may continue the request's stream, before its
// first event is forwarded.
func (q *request) recordOrigin(c *choice) {
	if q.policy.Repetition == resumable && q.origin == nil {
		q.origin = &StreamOrigin{Service: q.service, Version: c.version}
	}
}
