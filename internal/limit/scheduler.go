package limit

import (
	"time"

	"golang.org/x/time/rate"

	"buckthornpick/internal/config"
)

// organisation is the admission state of one organisation.
type organisation struct {
	cfg     config.Organisation
	limiter *rate.Limiter
	// present counts waiting and running requests.
	active int
}

// Scheduler decides admission. It is not safe for concurrent use, and calls
// must not run backwards in time.
//
// Invariants: a waiter is decided at most once; running never exceeds the
// service's limit at the moment of an admission; no waiter stays queued while
// a place is free.
type Scheduler struct {
	cfg           Config
	organisations map[string]*organisation
	services      map[string]*service
}

// NewScheduler returns a scheduler without organisations or services; unknown
// ones get default limits.
func NewScheduler(cfg Config) *Scheduler {
	return &Scheduler{
		cfg:           cfg.withDefaults(),
		organisations: map[string]*organisation{},
		services:      map[string]*service{},
	}
}

// Configure replaces the limits of organisations and services. Requests in
// progress stay counted.
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

// configure keeps the rate bucket's level if the rate did not change.
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

// forgetIdle drops an organisation that has neither limits nor requests.
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

func (s *Scheduler) share(name string) float64 {
	if o, ok := s.organisations[name]; ok && o.cfg.Share > 0 {
		return o.cfg.Share
	}
	return 1
}

// SetCapacity tells the servers of a service and the requests that this entry
// may run at each. Waiters that can no longer meet their deadline are refused
// at once.
func (s *Scheduler) SetCapacity(now time.Time, name string, servers, perServer int) {
	sv := s.service(name)
	capacity := float64(servers * perServer)
	sv.limit.setCapacity(capacity)
	sv.budget.resize(capacity)
	s.sweep(now, sv)
	s.admitWaiters(now, sv)
}

// Offer asks to admit a request. decided is called once, possibly before Offer
// returns: with nil if the request may run, else with the refusal.
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
	// A displaced waiter may have been the organisation's last one.
	o = s.organisation(req.Organisation)
	o.active++
	queue := sv.queues[w.level]
	queue.charge(req.Organisation, w.startTag, float64(req.Cost), s.share(req.Organisation))
	queue.push(w)
	s.admitWaiters(now, sv)
	return w
}

// refuse decides whether w is refused; it sets the start tag of w.
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

// takeRate takes a token of the organisation's rate; giveBack returns it.
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

// lateness returns by how much w would miss its deadline with n ahead; 0 if it
// can meet it. While nothing runs, every request may try.
func (s *service) lateness(now time.Time, w *Waiter, n int) time.Duration {
	if s.running == 0 && n == 0 {
		return max(0, now.Sub(w.deadline))
	}
	return max(0, now.Add(s.predictWait(n)+s.fastFirstToken).Sub(w.deadline))
}

// displace frees a place in a full queue for w. It refuses the newest waiter of
// the organisation with the longest queue per share in the lowest level, if
// that is below w's level or belongs to another organisation.
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

// reject refuses a queued waiter.
func (s *Scheduler) reject(sv *service, w *Waiter, refusal *RejectedError) {
	if sv.queues[w.level].remove(w) {
		s.decrementActive(w)
		w.decide(ended, refusal)
	}
}

func (s *Scheduler) decrementActive(w *Waiter) {
	o := s.organisation(w.request.Organisation)
	o.active--
	s.removeIdle(w.request.Organisation, o)
}

func (w *Waiter) decide(state waiterState, refusal *RejectedError) {
	w.state = state
	w.onDecision(refusal)
}

// admitWaiters fills free places in the order of priority and fair share.
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

func (s *service) popNext() *Waiter {
	for _, q := range s.queues {
		if w := q.pop(); w != nil {
			return w
		}
	}
	return nil
}

// Done ends an admitted request. A second call does nothing.
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

// Cancel gives back the place of an admitted request that never started.
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

// Withdraw takes back a request that still waits, because its caller left.
func (s *Scheduler) CancelWaiting(w *Waiter) {
	if w.state == waiting && s.service(w.request.Service).queues[w.level].remove(w) {
		w.state = ended
		s.decrementActive(w)
	}
}

// Expire refuses w if it still waits at its deadline.
func (s *Scheduler) Expire(now time.Time, w *Waiter) {
	if w.state == waiting && !now.Before(w.deadline) {
		sv := s.service(w.request.Service)
		s.reject(sv, w, &RejectedError{ReasonDeadlineUnreachable, sv.retryAfter(now, sv.predictWait(sv.queued()))})
	}
}

// sweep refuses the waiters that can no longer meet their deadline.
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

// AllowRetry takes one retry from the service's budget.
func (s *Scheduler) AllowRetry(name string) bool { return s.service(name).budget.take() }

// Running returns the admitted requests of a service that have not ended.
func (s *Scheduler) Running(name string) int { return s.service(name).running }

// Queued returns the waiting requests of a service.
func (s *Scheduler) Queued(name string) int { return s.service(name).queued() }

// Limit returns the current concurrency limit of a service.
func (s *Scheduler) Limit(name string) float64 { return s.service(name).limit.limit }
