package limit

import (
	"time"

	"golang.org/x/time/rate"

	"buckthornpick/internal/config"
)

// organisation is the admission state of one organisation.
type organisation struct {
	cfg config.Organisation
	// limiter is nil if the rate is not limited.
	limiter *rate.Limiter
	// active counts waiting and running requests.
	active int
}

// Scheduler makes the admission decisions. It is not safe for concurrent use, and
// the times passed to successive calls must not decrease.
//
// Invariants: a waiter gets at most one decision; no admission makes the running
// requests of a service exceed its limit; no waiter stays queued while a slot is
// free.
type Scheduler struct {
	cfg           Config
	organisations map[string]*organisation
	services      map[string]*service
}

// NewScheduler returns a scheduler without organisations or services. Unknown
// organisations and services get default limits.
func NewScheduler(cfg Config) *Scheduler {
	return &Scheduler{
		cfg:           cfg.withDefaults(),
		organisations: map[string]*organisation{},
		services:      map[string]*service{},
	}
}

// Configure replaces the limits of organisations and services. Waiting and
// running requests remain counted.
func (s *Scheduler) Configure(organisations []config.Organisation, services []config.Service) {
	named := make(map[string]bool, len(organisations))
	for _, cfg := range organisations {
		named[cfg.Name] = true
		s.organisation(cfg.Name).configure(cfg)
	}
	for name, o := range s.organisations {
		if !named[name] {
			o.configure(config.Organisation{Name: name})
			s.removeIdle(name, o)
		}
	}
	for _, cfg := range services {
		sv := s.service(cfg.Name)
		sv.limit.hasTarget = cfg.Target != config.LatencyTarget{}
		sv.budget.share = defaultRetryBudget
		if cfg.RetryBudget > 0 {
			sv.budget.share = cfg.RetryBudget
		}
	}
}

// configure sets the limits of the organisation. The token bucket keeps its level
// if rate and burst did not change.
func (o *organisation) configure(cfg config.Organisation) {
	old := o.cfg
	o.cfg = cfg
	if cfg.RequestsPerSecond <= 0 {
		o.limiter = nil
		return
	}
	if o.limiter != nil && old.RequestsPerSecond == cfg.RequestsPerSecond && old.Burst == cfg.Burst {
		return
	}
	burst := cfg.Burst
	if burst <= 0 {
		burst = max(1, int(cfg.RequestsPerSecond))
	}
	o.limiter = rate.NewLimiter(rate.Limit(cfg.RequestsPerSecond), burst)
}

func (s *Scheduler) organisation(name string) *organisation {
	o, ok := s.organisations[name]
	if !ok {
		o = &organisation{cfg: config.Organisation{Name: name}}
		s.organisations[name] = o
	}
	return o
}

// removeIdle removes an organisation that has neither limits nor requests.
func (s *Scheduler) removeIdle(name string, o *organisation) {
	if o.active == 0 && o.limiter == nil && o.cfg.MaxConcurrent == 0 && o.cfg.Share == 0 {
		delete(s.organisations, name)
	}
}

func (s *Scheduler) service(name string) *service {
	sv, ok := s.services[name]
	if !ok {
		sv = newService(float64(s.cfg.InitialLimit))
		s.services[name] = sv
	}
	return sv
}

// share returns the fair-queueing weight of an organisation; the default is 1.
func (s *Scheduler) share(name string) float64 {
	if o, ok := s.organisations[name]; ok && o.cfg.Share > 0 {
		return o.cfg.Share
	}
	return 1
}

// SetCapacity sets the number of a service's servers and the number of requests
// that this entry may run on each. Waiters that can no longer meet their deadline
// are refused at once.
func (s *Scheduler) SetCapacity(now time.Time, name string, servers, perServer int) {
	sv := s.service(name)
	capacity := float64(servers * perServer)
	sv.limit.setCapacity(capacity)
	sv.budget.resize(capacity)
	s.sweep(now, sv)
	s.admitWaiters(now, sv)
}

// Submit submits a request for admission. onDecision is called once, possibly
// before Submit returns: with nil if the request may run, otherwise with the
// refusal. It is not called if the waiter is cancelled first.
func (s *Scheduler) Submit(now time.Time, req Request, onDecision func(*RejectedError)) *Waiter {
	req.Cost = max(1, req.Cost)
	w := &Waiter{request: req, level: levelOf(req.Priority), deadline: req.Deadline, onDecision: onDecision}
	if w.deadline.IsZero() {
		w.deadline = now.Add(s.cfg.MaxWait)
	}
	sv, o := s.service(req.Service), s.organisation(req.Organisation)
	if refusal := s.checkAdmission(now, sv, o, w); refusal != nil {
		s.removeIdle(req.Organisation, o)
		w.decide(ended, refusal)
		return w
	}
	// displace may have removed the organisation's last waiter and with it the
	// organisation, so look it up again.
	o = s.organisation(req.Organisation)
	o.active++
	queue := sv.queues[w.level]
	queue.charge(req.Organisation, w.startTag, float64(req.Cost), s.share(req.Organisation))
	queue.push(w)
	s.admitWaiters(now, sv)
	return w
}

// checkAdmission returns the refusal of w, or nil if w may be queued. It sets the
// start tag of w. If w may be queued, it has taken a token if the
// organisation's rate is limited, and displaced a waiter if the queue was full.
func (s *Scheduler) checkAdmission(now time.Time, sv *service, o *organisation, w *Waiter) *RejectedError {
	if o.cfg.MaxConcurrent > 0 && o.active >= o.cfg.MaxConcurrent {
		delay := sv.meanTotal / time.Duration(o.cfg.MaxConcurrent)
		return &RejectedError{ReasonOrganisationConcurrency, min(max(delay, minRetryAfter), maxRetryAfter)}
	}
	if sv.limit.capacity < 1 {
		return &RejectedError{ReasonNoCapacity, noCapacityRetryAfter}
	}
	if shed, after := sv.shed.isShed(now, w.request.Context); shed {
		return &RejectedError{ReasonOverload, min(max(after, minRetryAfter), maxRetryAfter)}
	}
	queue := sv.queues[w.level]
	w.startTag = queue.nextStartTag(w.request.Organisation)
	if late := sv.lateness(now, w, sv.waitersAhead(w.level, w.startTag)); late > 0 {
		return &RejectedError{ReasonDeadlineUnreachable, sv.retryAfter(now, late)}
	}
	cancelReservation, refusal := o.reserveRate(now)
	if refusal != nil {
		return refusal
	}
	if sv.queued() >= s.cfg.MaxQueue && !s.displace(now, sv, w) {
		cancelReservation()
		return &RejectedError{ReasonQueueFull, sv.retryAfter(now, sv.predictWait(sv.queued()-s.cfg.MaxQueue))}
	}
	return nil
}

// reserveRate takes a token from the organisation's token bucket;
// cancelReservation returns the token.
func (o *organisation) reserveRate(now time.Time) (cancelReservation func(), refusal *RejectedError) {
	if o.limiter == nil {
		return func() {}, nil
	}
	reservation := o.limiter.ReserveN(now, 1)
	cancelReservation = func() { reservation.CancelAt(now) }
	if delay := reservation.DelayFrom(now); delay > 0 {
		cancelReservation()
		return nil, &RejectedError{ReasonOrganisationRate, delay}
	}
	return cancelReservation, nil
}

// lateness returns by how much w is expected to miss its deadline with n waiters
// ahead; 0 if it can meet the deadline. If nothing runs and nothing is ahead, w
// is late only after its deadline, whatever the estimates say.
func (s *service) lateness(now time.Time, w *Waiter, n int) time.Duration {
	if s.running == 0 && n == 0 {
		return max(0, now.Sub(w.deadline))
	}
	return max(0, now.Add(s.predictWait(n)+s.fastFirstToken).Sub(w.deadline))
}

// displace makes room for w in a full queue and reports whether it could. It
// refuses the newest waiter of the organisation with the most waiters per share
// in the lowest non-empty priority level, if that level is below w's or the
// organisation is not w's.
func (s *Scheduler) displace(now time.Time, sv *service, w *Waiter) bool {
	lowest := levelLow
	for lowest > w.level && sv.queues[lowest].size == 0 {
		lowest--
	}
	queue := sv.queues[lowest]
	organisation := w.request.Organisation
	if lowest == w.level {
		organisation = queue.longestFlow(organisation, s.share)
		if organisation == w.request.Organisation {
			return false
		}
	} else {
		organisation = queue.longestFlow("", s.share)
	}
	f, ok := queue.flows[organisation]
	if !ok || len(f.waiters) == 0 {
		return false
	}
	victim := f.waiters[len(f.waiters)-1]
	s.reject(sv, victim, &RejectedError{ReasonDisplaced, sv.retryAfter(now, sv.predictWait(sv.queued()))})
	return true
}

// reject removes a queued waiter and reports the refusal to its caller.
func (s *Scheduler) reject(sv *service, w *Waiter, refusal *RejectedError) {
	if sv.queues[w.level].remove(w) {
		s.decrementActive(w)
		w.decide(ended, refusal)
	}
}

// decrementActive removes w from the active requests of its organisation.
func (s *Scheduler) decrementActive(w *Waiter) {
	o := s.organisation(w.request.Organisation)
	o.active--
	s.removeIdle(w.request.Organisation, o)
}

// decide sets the state of w and reports the decision to its caller.
func (w *Waiter) decide(state waiterState, refusal *RejectedError) {
	w.state = state
	w.onDecision(refusal)
}

// admitWaiters fills free slots in the order of priority and fair queueing.
func (s *Scheduler) admitWaiters(now time.Time, sv *service) {
	for sv.hasFreeSlot() {
		w := sv.popNext()
		if w == nil {
			return
		}
		if now.After(w.deadline) {
			s.decrementActive(w)
			w.decide(ended, &RejectedError{ReasonDeadlineUnreachable, sv.retryAfter(now, 0)})
			continue
		}
		sv.running++
		sv.budget.creditFirstAttempt()
		w.decide(running, nil)
	}
}

// popNext removes and returns the waiter that runs next, nil if there is none.
func (s *service) popNext() *Waiter {
	for _, q := range s.queues {
		if w := q.pop(); w != nil {
			return w
		}
	}
	return nil
}

// Done records the result of an admitted request and frees its slot. Calls after
// the first one have no effect.
func (s *Scheduler) Done(now time.Time, w *Waiter, r Result) {
	if w.state != running {
		return
	}
	w.state = ended
	sv := s.service(w.request.Service)
	sv.observe(now, r)
	sv.running--
	s.decrementActive(w)
	s.admitWaiters(now, sv)
	if now.Sub(sv.lastSweep) >= sweepInterval {
		s.sweep(now, sv)
	}
}

// CancelAdmitted frees the slot of an admitted request that was never started.
func (s *Scheduler) CancelAdmitted(now time.Time, w *Waiter) {
	if w.state != running {
		return
	}
	w.state = ended
	sv := s.service(w.request.Service)
	sv.running--
	s.decrementActive(w)
	s.admitWaiters(now, sv)
}

// CancelWaiting removes a request from the queue if it still waits, because its
// caller gave up.
func (s *Scheduler) CancelWaiting(w *Waiter) {
	if w.state == waiting && s.service(w.request.Service).queues[w.level].remove(w) {
		w.state = ended
		s.decrementActive(w)
	}
}

// Expire refuses w if it still waits and its deadline has passed.
func (s *Scheduler) Expire(now time.Time, w *Waiter) {
	if w.state == waiting && !now.Before(w.deadline) {
		sv := s.service(w.request.Service)
		s.reject(sv, w, &RejectedError{ReasonDeadlineUnreachable, sv.retryAfter(now, sv.predictWait(sv.queued()))})
	}
}

// sweep refuses all waiters that can no longer meet their deadline.
func (s *Scheduler) sweep(now time.Time, sv *service) {
	sv.lastSweep = now
	if sv.queued() == 0 {
		return
	}
	ahead := 0
	for _, queue := range sv.queues {
		for _, w := range queue.inOrder() {
			if sv.limit.capacity < 1 {
				s.reject(sv, w, &RejectedError{ReasonNoCapacity, noCapacityRetryAfter})
			} else if late := sv.lateness(now, w, ahead); late > 0 {
				s.reject(sv, w, &RejectedError{ReasonDeadlineUnreachable, sv.retryAfter(now, late)})
			} else {
				ahead++
			}
		}
	}
}

// AllowRetry takes one retry from the service's retry budget and reports whether
// the budget allowed it.
func (s *Scheduler) AllowRetry(name string) bool { return s.service(name).budget.take() }

// Running returns the number of admitted requests of a service that have not
// ended.
func (s *Scheduler) Running(name string) int { return s.service(name).running }

// Queued returns the number of waiting requests of a service.
func (s *Scheduler) Queued(name string) int { return s.service(name).queued() }

// Limit returns the current concurrency limit of a service.
func (s *Scheduler) Limit(name string) float64 { return s.service(name).limit.limit }
