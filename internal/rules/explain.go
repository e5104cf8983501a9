package rules

import (
	"fmt"
	"slices"

	"buckthornpick/internal/config"
)

// Explain returns one step for each rule up to the first that matches, with the
// conditions that were not met. It evaluates the rules as written, independently
// of the compiled form that Match uses.
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

// mismatches describes every condition of w that in does not meet.
func mismatches(w *config.When, in *Input) []string {
	e := &mismatchCollector{}
	e.checkList("host", w.Hosts, in.Host)
	if !prefixMatches(in.Path, w.PathPrefixes) {
		e.add("path %q begins with none of %q", in.Path, w.PathPrefixes)
	}
	e.checkList("organisation", w.Organisations, in.Organisation)
	e.checkList("service", w.Services, in.Service)
	e.checkList("model", w.Models, in.Model)
	e.checkList("kind", w.Kinds, in.Kind)
	e.checkList("priority", w.Priorities, in.Priority)
	e.checkList("zone", w.Zones, in.Zone)
	if in.PromptTokens < w.MinPromptTokens {
		e.add("%d prompt tokens are below %d", in.PromptTokens, w.MinPromptTokens)
	}
	if w.MaxPromptTokens != 0 && in.PromptTokens > w.MaxPromptTokens {
		e.add("%d prompt tokens are above %d", in.PromptTokens, w.MaxPromptTokens)
	}
	e.checkFlag("repeatable", w.Repeatable, in.Repeatable)
	e.checkFlag("hasContext", w.HasContext, in.Context != 0)
	e.checkHours(w.Hours, in.Now.UTC().Hour())
	e.checkAbove("load", w.LoadAbove, in.Load)
	e.checkAbove("price", w.PriceAbove, in.Price)
	return e.reasons
}

// mismatchCollector collects descriptions of conditions that were not met.
type mismatchCollector struct{ reasons []string }

func (e *mismatchCollector) add(format string, args ...any) {
	e.reasons = append(e.reasons, fmt.Sprintf(format, args...))
}

func (e *mismatchCollector) checkList(what string, allowed []string, got string) {
	if len(allowed) > 0 && !slices.Contains(allowed, got) {
		e.add("%s %q is not one of %q", what, got, allowed)
	}
}

func (e *mismatchCollector) checkFlag(what string, want *bool, got bool) {
	if want != nil && *want != got {
		e.add("%s is %v, not %v", what, got, *want)
	}
}

func (e *mismatchCollector) checkAbove(what string, bound *float64, got float64) {
	if bound != nil && !(got > *bound) {
		e.add("%s %v is not above %v", what, got, *bound)
	}
}

func (e *mismatchCollector) checkHours(h *config.HourRange, hour int) {
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
