package experiment

import (
	"errors"
	"fmt"
	"time"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/limit"
	"buckthornpick/internal/route"
)

// run is the life of one job.
type run struct {
	job     *job
	entry   *entry
	waiter  *limit.Waiter
	retries int
	// lost names the servers that died under the request.
	lost     map[string]bool
	prompt   int
	firstAt  time.Duration
	outcome  outcome
	finished bool
}

// submit offers a job to a random entry, as the platform's balancer does.
func (s *site) submit(j *job) {
	e := s.entries[s.rng.IntN(len(s.entries))]
	r := &run{job: j, entry: e, prompt: j.prompt, lost: map[string]bool{}}
	r.outcome = outcome{job: j}
	if s.cell.Scenario.Unlimited {
		s.dispatch(r)
		return
	}
	deadline := s.loop.clock().Add(time.Duration(target.FirstTokenMillis) * time.Millisecond)
	ask := limit.Request{
		Organisation: fmt.Sprint("org-", j.organisation), Service: j.service, Priority: j.priority, Context: j.context,
		Deadline: deadline, Cost: j.prompt/10 + j.output,
	}
	r.waiter = e.scheduler.Submit(s.loop.clock(), ask, func(refusal *limit.RejectedError) {
		if refusal != nil {
			r.outcome.refused = true
			s.end(r)
			return
		}
		s.loop.after(0, func() { s.dispatch(r) })
	})
	s.loop.at(deadline.Sub(epoch), func() { e.scheduler.Expire(s.loop.clock(), r.waiter) })
}

func (s *site) query(r *run) route.Query {
	q := route.Query{
		Now: s.loop.clock(), Service: r.job.service, Context: r.job.context,
		PromptTokens: r.prompt, MaxTokens: r.job.output, Priority: r.job.priority,
	}
	if s.cell.Policy == OursBlocks {
		q.PrefixHashes = r.job.blocks
	}
	if !s.cell.Scenario.Unlimited && r.retries == 0 {
		q.MaxFirstTokenDelay = r.job.at + time.Duration(target.FirstTokenMillis)*time.Millisecond - s.loop.now
	}
	if len(r.lost) > 0 {
		q.Exclude = func(id string) bool { return r.lost[id] }
	}
	return q
}

// dispatch chooses a server and sends the request.
func (s *site) dispatch(r *run) {
	q := s.query(r)
	p := r.entry.policies[r.job.service]
	choice, err := p.Pick(q)
	if err != nil {
		s.noServer(r, err)
		return
	}
	id := choice.Server.ID
	p.RecordDispatch(s.loop.clock(), id, q)
	sent := s.loop.now
	a := &attempt{job: r.job, prompt: r.prompt}
	a.onFirst = func() {
		s.loop.after(networkDelay, func() { s.firstToken(r, p, choice, sent) })
	}
	a.onDone = func() {
		report := s.engines[id].report
		s.loop.after(networkDelay, func() {
			p.ApplyLoadReport(s.loop.clock(), id, report)
			p.RecordFinish(s.loop.clock(), id, q, backend.Usage{
				PromptTokens: a.prompt, CachedTokens: a.cached, CompletionTokens: r.job.output}, true)
			s.done(r, a)
		})
	}
	a.onLost = func() {
		r.outcome.computed += a.computed
		s.loop.after(lossDelay, func() {
			p.RecordFinish(s.loop.clock(), id, q, backend.Usage{}, false)
			s.retry(r, id, a)
		})
	}
	s.loop.after(networkDelay, func() { s.engines[id].enqueue(a) })
}

// noServer waits for a place until the deadline and gives up then.
func (s *site) noServer(r *run, err error) {
	var saturated *route.SaturatedError
	waited := s.loop.now - r.job.at
	if errors.As(err, &saturated) && !saturated.FirstTokenLate && waited < time.Duration(target.FirstTokenMillis)*time.Millisecond {
		s.loop.after(pickRetry, func() { s.dispatch(r) })
		return
	}
	r.outcome.refused = r.retries == 0
	s.end(r)
}

func (s *site) firstToken(r *run, p policy, choice route.Choice, sent time.Duration) {
	now := s.loop.clock()
	p.RecordFirstToken(now, choice.Server.ID, s.loop.now-sent, choice)
	p.ApplyLoadReport(now, choice.Server.ID, s.engines[choice.Server.ID].report)
	if r.firstAt == 0 {
		r.firstAt = s.loop.now
	}
}

// retry sends a lost request again if the rules allow it.
func (s *site) retry(r *run, id string, a *attempt) {
	r.lost[id] = true
	r.retries++
	started := a.generated > 0 || a.computed > 0
	allowed := s.cell.Scenario.Unlimited || r.entry.scheduler.AllowRetry(r.job.service)
	if !allowed || (started && !r.job.repeatable) {
		s.end(r)
		return
	}
	s.dispatch(r)
}

func (s *site) done(r *run, a *attempt) {
	r.outcome.ok = true
	r.outcome.computed += a.computed
	r.outcome.cached = a.cached
	r.outcome.first = r.firstAt - r.job.at
	r.outcome.total = s.loop.now - r.job.at
	if r.job.output > 1 {
		r.outcome.between = (s.loop.now - r.firstAt) / time.Duration(r.job.output-1)
	}
	s.end(r)
}

// end records the outcome and gives the place back.
func (s *site) end(r *run) {
	if r.finished {
		return
	}
	r.finished = true
	s.results.add(r.outcome)
	if r.job.service == modelService {
		s.planner.finished++
		if !r.outcome.withinTarget() {
			s.planner.missed++
			s.planner.refusals += count(r.outcome.refused)
		}
	}
	if r.waiter != nil {
		r.entry.scheduler.Done(s.loop.clock(), r.waiter, limit.Result{
			FirstToken: r.outcome.first, Total: r.outcome.total,
			OK: r.outcome.ok, MissedTarget: !r.outcome.withinTarget(),
		})
	}
}
