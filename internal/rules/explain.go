package rules

import (
	"fmt"
	"slices"

	"buckthornpick/internal/config"
)

// Explain tells for each rule, up to the first that matches, which of its
// conditions did not hold. It evaluates the rules as written and shares no
// matching code with Match.
func (s *Set) Explain(in Input) []ExplainStep {
	if in.Priority == "" {
		in.Priority = normalPriority
	}
	var steps []ExplainStep
	for i := range s.rules {
		reasons := mismatches(&s.rules[i].when, &in)
		matched := len(reasons) == 0
		steps = append(steps, ExplainStep{Rule: i, Name: s.rules[i].name, Matched: matched, Reasons: reasons})
		if matched {
			break
		}
	}
	return steps
}

func mismatches(w *config.When, in *Input) []string {
	e := &explainer{}
	e.list("host", w.Hosts, in.Host)
	if !beginsWithAny(in.Path, w.PathPrefixes) {
		e.add("path %q begins with none of %q", in.Path, w.PathPrefixes)
	}
	e.list("organisation", w.Organisations, in.Organisation)
	e.list("service", w.Services, in.Service)
	e.list("model", w.Models, in.Model)
	e.list("kind", w.Kinds, in.Kind)
	e.list("priority", w.Priorities, in.Priority)
	e.list("zone", w.Zones, in.Zone)
	if in.PromptTokens < w.MinPromptTokens {
		e.add("%d prompt tokens are below %d", in.PromptTokens, w.MinPromptTokens)
	}
	if w.MaxPromptTokens != 0 && in.PromptTokens > w.MaxPromptTokens {
		e.add("%d prompt tokens are above %d", in.PromptTokens, w.MaxPromptTokens)
	}
	e.flag("repeatable", w.Repeatable, in.Repeatable)
	e.flag("hasContext", w.HasContext, in.Context != 0)
	e.hours(w.Hours, in.Now.UTC().Hour())
	e.above("load", w.LoadAbove, in.Load)
	e.above("price", w.PriceAbove, in.Price)
	return e.reasons
}

type explainer struct{ reasons []string }

func (e *explainer) add(format string, args ...any) {
	e.reasons = append(e.reasons, fmt.Sprintf(format, args...))
}

func (e *explainer) list(what string, allowed []string, got string) {
	if len(allowed) > 0 && !slices.Contains(allowed, got) {
		e.add("%s %q is not one of %q", what, got, allowed)
	}
}

func (e *explainer) flag(what string, want *bool, got bool) {
	if want != nil && *want != got {
		e.add("%s is %v, not %v", what, got, *want)
	}
}

func (e *explainer) above(what string, bound *float64, got float64) {
	if bound != nil && !(got > *bound) {
		e.add("%s %v is not above %v", what, got, *bound)
	}
}

func (e *explainer) hours(h *config.HourRange, hour int) {
	if h == nil {
		return
	}
	inside := hour >= h.From && hour < h.To
	if h.From > h.To {
		inside = hour >= h.From || hour < h.To
	}
	if !inside {
		e.add("hour %d UTC is not in [%d, %d)", hour, h.From, h.To)
	}
}
