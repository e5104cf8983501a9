package experiment

import (
	"errors"
	"fmt"
	"time"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/limit"
	"buckthornpick/internal/route"
)

// requestRun is the state of one job from its arrival to its outcome.
type requestRun struct {
	job     *job
	entry   *entry
	waiter  *limit.Waiter
	retries int
	// failedServers holds the IDs of the servers that failed while they ran the
	// request.
	failedServers map[string]bool
	prompt        int
	firstAt       time.Duration
	outcome       outcome
	finished      bool
}

// submit sends a job to a random entry, as the platform's load balancer does,
// and queues it for admission.
func (s *site) submit(j *job) {
	e := s.entries[s.rng.IntN(len(s.entries))]
	r := &requestRun{job: j, entry: e, prompt: j.prompt, failedServers: map[string]bool{}}
	r.outcome = outcome{job: j}
	if s.cell.Scenario.Unlimited {
		s.dispatch(r)
		return
	}
	deadline := s.loop.clock().Add(time.Duration(target.FirstTokenMillis) * time.Millisecond)
	limitRequest := limit.Request{
		Organisation: fmt.Sprint("org-", j.organisation), Service: j.service, Priority: j.priority, Context: j.context,
		Deadline: deadline, Cost: j.prompt/10 + j.output,
	}
	r.waiter = e.scheduler.Submit(s.loop.clock(), limitRequest, func(refusal *limit.RejectedError) {
		if refusal != nil {
			r.outcome.refused = true
			s.finish(r)
			return
		}
		s.loop.after(0, func() { s.dispatch(r) })
	})
	s.loop.at(deadline.Sub(epoch), func() { e.scheduler.Expire(s.loop.clock(), r.waiter) })
}

func (s *site) query(r *requestRun) route.Query {
	q := route.Query{
		Now: s.loop.clock(), Service: r.job.service, Context: r.job.context,
		PromptTokens: r.prompt, MaxTokens: r.job.output, Priority: r.job.priority,
	}
	if s.cell.Policy == RouteBlocksPolicy {
		q.PrefixHashes = r.job.blocks
	}
	if !s.cell.Scenario.Unlimited && r.retries == 0 {
		q.MaxFirstTokenDelay = r.job.at + time.Duration(target.FirstTokenMillis)*time.Millisecond - s.loop.now
	}
	if len(r.failedServers) > 0 {
		q.Exclude = func(id string) bool { return r.failedServers[id] }
	}
	return q
}

// dispatch selects a server and sends the request to it.
func (s *site) dispatch(r *requestRun) {
	q := s.query(r)
	p := r.entry.policies[r.job.service]
	choice, err := p.Pick(q)
	if err != nil {
		s.handlePickError(r, err)
		return
	}
	id := choice.Server.ID
	p.RecordDispatch(s.loop.clock(), id, q)
	sent := s.loop.now
	a := &attempt{job: r.job, prompt: r.prompt}
	a.onFirstToken = func() {
		s.loop.after(networkDelay, func() { s.firstToken(r, p, choice, sent) })
	}
	a.onDone = func() {
		report := s.engines[id].report
		s.loop.after(networkDelay, func() {
			p.ApplyLoadReport(s.loop.clock(), id, report)
			p.RecordFinish(s.loop.clock(), id, q, backend.Usage{
				PromptTokens: a.prompt, CachedTokens: a.cached, CompletionTokens: r.job.output}, true)
			s.complete(r, a)
		})
	}
	a.onLost = func() {
		r.outcome.computed += a.computed
		s.loop.after(failureDetectionDelay, func() {
			p.RecordFinish(s.loop.clock(), id, q, backend.Usage{}, false)
			s.retry(r, id, a)
		})
	}
	s.loop.after(networkDelay, func() { s.engines[id].enqueue(a) })
}

// handlePickError retries until the first-token deadline if all servers are
// saturated, and otherwise ends the request.
func (s *site) handlePickError(r *requestRun, err error) {
	var saturated *route.SaturatedError
	waited := s.loop.now - r.job.at
	if errors.As(err, &saturated) && !saturated.FirstTokenLate && waited < time.Duration(target.FirstTokenMillis)*time.Millisecond {
		s.loop.after(pickRetryInterval, func() { s.dispatch(r) })
		return
	}
	r.outcome.refused = r.retries == 0
	s.finish(r)
}

func (s *site) firstToken(r *requestRun, p policy, choice route.Choice, sent time.Duration) {
	now := s.loop.clock()
	p.RecordFirstToken(now, choice.Server.ID, s.loop.now-sent, choice)
	p.ApplyLoadReport(now, choice.Server.ID, s.engines[choice.Server.ID].report)
	if r.firstAt == 0 {
		r.firstAt = s.loop.now
	}
}

// retry dispatches a lost request again if the retry budget allows it and the
// request either had not started or is repeatable.
func (s *site) retry(r *requestRun, id string, a *attempt) {
	r.failedServers[id] = true
	r.retries++
	started := a.generated > 0 || a.computed > 0
	allowed := s.cell.Scenario.Unlimited || r.entry.scheduler.AllowRetry(r.job.service)
	if !allowed || (started && !r.job.repeatable) {
		s.finish(r)
		return
	}
	s.dispatch(r)
}

func (s *site) complete(r *requestRun, a *attempt) {
	r.outcome.ok = true
	r.outcome.computed += a.computed
	r.outcome.cached = a.cached
	r.outcome.firstTokenDelay = r.firstAt - r.job.at
	r.outcome.totalDelay = s.loop.now - r.job.at
	if r.job.output > 1 {
		r.outcome.betweenTokens = (s.loop.now - r.firstAt) / time.Duration(r.job.output-1)
	}
	s.finish(r)
}

// finish records the outcome and releases the request's admission slot. Calls
// after the first have no effect.
func (s *site) finish(r *requestRun) {
	if r.finished {
		return
	}
	r.finished = true
	s.results.add(r.outcome)
	if r.job.service == modelService {
		s.planner.finished++
		if !r.outcome.withinTarget() {
			s.planner.missedTarget++
			s.planner.rejections += boolToInt(r.outcome.refused)
		}
	}
	if r.waiter != nil {
		r.entry.scheduler.Done(s.loop.clock(), r.waiter, limit.Result{
			FirstToken: r.outcome.firstTokenDelay, Total: r.outcome.totalDelay,
			OK: r.outcome.ok, MissedTarget: !r.outcome.withinTarget(),
		})
	}
}
