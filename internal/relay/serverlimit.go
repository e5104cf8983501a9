package relay

import "buckthornpick/internal/upstream"

// recordLimit records what a response says about the server's limit. Only a success
// without a limit ends it, since responses of other kinds may come from elsewhere.
func (q *request) recordLimit(c *choice, status int, info *ResponseInfo) {
	isStatement := info.Limit.IsNamed && !info.Limit.IsMalformed || !info.Limit.IsNamed && isSuccess(status) && info.Signed
	if !isStatement {
		return
	}
	if previous, isChanged := q.relay.Balancer.setLimit(c.target, info.Limit); isChanged {
		q.relay.Log.Log(EvServerLimitChanged, "request", q.info.AttemptID, "server", c.target.ID, "is_limited", info.Limit.IsNamed,
			"per_second", info.Limit.PerSecond, "was_limited", previous.IsNamed, "previous_per_second", previous.PerSecond)
	}
}

// setLimit sets the limit of a server. It returns the previous one and whether that
// has changed.
func (b *Balancer) setLimit(t upstream.Target, limit ServerLimit) (previous ServerLimit, isChanged bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[t.ID]
	if !ok || s.target.Incarnation != t.Incarnation {
		return ServerLimit{}, false
	}
	previous, s.limit = s.limit, limit
	return previous, previous != limit
}
