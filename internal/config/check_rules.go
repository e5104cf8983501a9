package config

import (
	"fmt"
	"slices"
	"strings"
)

func (c *documentChecker) checkRules() {
	names := map[string]bool{}
	for i := range c.doc.Rules {
		r := &c.doc.Rules[i]
		path := fmt.Sprintf("rules[%d]", i)
		switch {
		case strings.TrimSpace(r.Name) == "":
			c.problems.add(path+".name", "", "expected a name, got an empty string")
		case names[r.Name]:
			c.problems.add(path+".name", r.Name, "the name is used twice")
		}
		names[r.Name] = true
		c.checkWhen(path+".when", r)
		c.checkThen(path+".then", r)
	}
}

func (c *documentChecker) checkWhen(path string, r *Rule) {
	w := &r.When
	isOrganisation := func(n string) bool {
		return slices.ContainsFunc(c.doc.Organisations, func(o Organisation) bool { return o.Name == n })
	}
	c.checkList(path+".organisations", r.Name, "organisation", w.Organisations, isOrganisation)
	c.checkList(path+".services", r.Name, "service", w.Services, func(n string) bool { return c.services[n] != nil })
	c.checkList(path+".models", r.Name, "model", w.Models, c.isModel)
	c.checkList(path+".kinds", r.Name, "kind of call", w.Kinds, func(n string) bool { return slices.Contains(callKinds, n) })
	c.checkList(path+".priorities", r.Name, "priority", w.Priorities, isPriority)
	c.checkList(path+".zones", r.Name, "zone", w.Zones, func(n string) bool { return n != "" })
	c.requireNonNegative(path+".minPromptTokens", r.Name, float64(w.MinPromptTokens))
	c.requireNonNegative(path+".maxPromptTokens", r.Name, float64(w.MaxPromptTokens))
	if w.MaxPromptTokens > 0 && w.MinPromptTokens > w.MaxPromptTokens {
		c.problems.add(path+".minPromptTokens", r.Name, "expected at most maxPromptTokens (%d), got %d",
			w.MaxPromptTokens, w.MinPromptTokens)
	}
	for i, p := range w.PathPrefixes {
		if !strings.HasPrefix(p, "/") || !strings.HasSuffix(p, "/") {
			c.problems.add(fmt.Sprintf("%s.pathPrefixes[%d]", path, i), r.Name, "expected a path that begins and ends with \"/\", got %q", p)
		}
	}
	if w.LoadAbove != nil {
		c.requireNonNegative(path+".loadAbove", r.Name, *w.LoadAbove)
	}
	if w.PriceAbove != nil {
		c.requireNonNegative(path+".priceAbove", r.Name, *w.PriceAbove)
	}
	c.checkHours(path+".hours", r.Name, w.Hours)
}

func (c *documentChecker) checkHours(path, name string, h *HourRange) {
	if h == nil {
		return
	}
	if h.From < 0 || h.From > 23 {
		c.problems.add(path+".from", name, "expected 0 to 23, got %d", h.From)
	}
	if h.To < 0 || h.To > 24 {
		c.problems.add(path+".to", name, "expected 0 to 24, got %d", h.To)
	}
	if h.From == h.To {
		c.problems.add(path, name, "the range is empty: from and to are both %d", h.From)
	}
}

func (c *documentChecker) checkThen(path string, r *Rule) {
	t := &r.Then
	switch {
	case t.Service != "" && t.Refuse != nil:
		c.problems.add(path, r.Name, "expected either service or refuse, got both")
	case t.Service == "" && t.Refuse == nil:
		c.problems.add(path, r.Name, "expected either service or refuse, got neither")
	}
	if t.Refuse != nil {
		c.checkRefuse(path+".refuse", r)
	}
	if t.Service != "" {
		c.checkServiceChain(path, r)
	}
	if !(t.OlderSystemShare >= 0 && t.OlderSystemShare <= 1) {
		c.problems.add(path+".olderSystemShare", r.Name, "expected 0 to 1, got %v", t.OlderSystemShare)
	}
	if t.OlderSystemShare > 0 && c.doc.OlderSystem == nil {
		c.problems.add(path+".olderSystemShare", r.Name, "the document has no olderSystem")
	}
	if t.Priority != "" && !isPriority(t.Priority) {
		c.problems.add(path+".priority", r.Name, "expected one of %v, got %q", priorities, t.Priority)
	}
	c.requireNonNegative(path+".deadlineMillis", r.Name, t.DeadlineMillis)
	if t.Call != nil {
		c.checkCall(path+".call", r)
	}
}

// checkCall checks the call policy of the rule.
func (c *documentChecker) checkCall(path string, r *Rule) {
	call := r.Then.Call
	switch call.Repetition {
	case RunOnce, Repeatable, Resumable:
	default:
		c.problems.add(path+".repetition", r.Name, "expected %q, %q or %q, got %q", RunOnce, Repeatable, Resumable, call.Repetition)
	}
	c.requireNonNegative(path+".timeoutMillis", r.Name, call.TimeoutMillis)
	c.requireNonNegative(path+".targetMillis", r.Name, call.TargetMillis)
	c.requireNonNegative(path+".targetGapMillis", r.Name, call.TargetGapMillis)
	c.requireNonNegative(path+".attempts", r.Name, float64(call.Attempts))
	for i, part := range call.Split {
		field := fmt.Sprintf("%s.split[%d]", path, i)
		if c.services[part.Service] == nil {
			c.problems.add(field+".service", r.Name, "unknown service %q", part.Service)
		}
		c.requireNonNegative(field+".weight", r.Name, part.Weight)
	}
}

func (c *documentChecker) checkRefuse(path string, r *Rule) {
	if r.Then.Refuse.Reason == "" {
		c.problems.add(path+".reason", r.Name, "expected the reason that callers are told")
	}
	c.requireNonNegative(path+".retryAfterSeconds", r.Name, r.Then.Refuse.RetryAfterSeconds)
	if r.Then.OlderSystemShare > 0 || len(r.Then.Fallback) > 0 {
		c.problems.add(path, r.Name, "a rule that refuses has no olderSystemShare and no fallback")
	}
}

// checkServiceChain checks the service of the rule and its fallbacks. They are
// tried in order, and other rules do not extend the chain, so the only possible
// cycle is a service that is listed twice.
func (c *documentChecker) checkServiceChain(path string, r *Rule) {
	t := &r.Then
	target := c.services[t.Service]
	if target == nil {
		c.problems.add(path+".service", r.Name, "unknown service %q", t.Service)
		return
	}
	if t.Model != "" && !slices.Contains(target.Models, t.Model) {
		c.problems.add(path+".model", r.Name, "service %q has no model %q", t.Service, t.Model)
	}
	for _, n := range r.When.Services {
		if s := c.services[n]; s != nil && s.Kind != target.Kind {
			c.problems.add(path+".service", r.Name, "calls of %s service %q cannot go to %s service %q",
				s.Kind, n, target.Kind, t.Service)
		}
	}
	for i, n := range t.Fallback {
		field := fmt.Sprintf("%s.fallback[%d]", path, i)
		switch s := c.services[n]; {
		case s == nil:
			c.problems.add(field, r.Name, "unknown service %q", n)
		case n == t.Service || slices.Contains(t.Fallback[:i], n):
			c.problems.add(field, r.Name, "cycle: service %q is already in the chain", n)
		case s.Kind != target.Kind:
			c.problems.add(field, r.Name, "%s service %q cannot stand in for %s service %q", s.Kind, n, target.Kind, t.Service)
		}
	}
}

func (c *documentChecker) isModel(name string) bool {
	return slices.ContainsFunc(c.doc.Services, func(s Service) bool { return slices.Contains(s.Models, name) })
}

func isPriority(name string) bool { return slices.Contains(priorities, name) }
