package rules

import (
	"slices"
	"strings"

	"buckthornpick/internal/config"
)

const normalPriority = "normal"

// Set is a compiled rule list. It does not change and may be shared.
type Set struct {
	rules   []compiledRule
	noMatch config.Then
}

// compiled is a rule in the form that matching needs.
type compiledRule struct {
	name string
	when config.When
	then config.Then
	// hours has bit h set if hour h matches.
	hours uint32
}

// Compile checks the document and compiles its rules. The error is
// config.Problems and names every fault.
func Compile(doc *config.Document) (*Set, error) {
	problems := config.Check(doc)
	s := newSet(doc.Rules)
	if len(problems) == 0 {
		problems = s.unreachableRules()
	}
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// CompileAccepted compiles a document that was checked and accepted elsewhere:
// faults are returned beside the set and do not keep it from being used.
func CompileAccepted(doc *config.Document) (*Set, config.Problems) {
	return newSet(doc.Rules), config.Check(doc)
}

func newSet(list []config.Rule) *Set {
	s := &Set{noMatch: config.Then{Refuse: &config.Refuse{Reason: "no rule matches this request"}}}
	for _, r := range list {
		s.rules = append(s.rules, compiledRule{name: r.Name, when: r.When, then: r.Then, hours: hourMask(r.When.Hours)})
	}
	return s
}

// Len returns the number of rules.
func (s *Set) Len() int { return len(s.rules) }

// Match returns the decision of the first rule that matches in. It does not
// allocate.
func (s *Set) Match(in Input) Decision {
	if in.Priority == "" {
		in.Priority = normalPriority
	}
	hour := uint32(1) << in.Now.UTC().Hour()
	for i := range s.rules {
		r := &s.rules[i]
		if r.hours&hour == 0 || !r.matches(&in) {
			continue
		}
		return Decision{
			Rule: i, Name: r.name, Then: r.then,
			OlderSystem: r.then.OlderSystemShare > 0 && sharePoint(&in) < r.then.OlderSystemShare,
		}
	}
	return Decision{Rule: NoRule, Then: s.noMatch}
}

// matches evaluates all conditions but the hours.
func (r *compiledRule) matches(in *Input) bool {
	w := &r.when
	return listMatches(w.Hosts, in.Host) &&
		prefixMatches(in.Path, w.PathPrefixes) &&
		listMatches(w.Services, in.Service) &&
		listMatches(w.Organisations, in.Organisation) &&
		listMatches(w.Models, in.Model) &&
		listMatches(w.Kinds, in.Kind) &&
		listMatches(w.Priorities, in.Priority) &&
		listMatches(w.Zones, in.Zone) &&
		in.PromptTokens >= w.MinPromptTokens &&
		(w.MaxPromptTokens == 0 || in.PromptTokens <= w.MaxPromptTokens) &&
		(w.Repeatable == nil || *w.Repeatable == in.Repeatable) &&
		(w.HasContext == nil || *w.HasContext == (in.Context != 0)) &&
		(w.LoadAbove == nil || in.Load > *w.LoadAbove) &&
		(w.PriceAbove == nil || in.Price > *w.PriceAbove)
}

// contains reports whether v is listed; an empty list holds everything.
func listMatches(list []string, v string) bool {
	return len(list) == 0 || slices.Contains(list, v)
}

// beginsWithAny reports whether path begins with a listed prefix; an empty list
// allows every path.
func prefixMatches(path string, prefixes []string) bool {
	return len(prefixes) == 0 ||
		slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(path, p) })
}

const (
	hoursPerDay = 24
	allHours    = 1<<hoursPerDay - 1
)

// hourMask returns the hours of h as bits; nil is the whole day.
func hourMask(h *config.HourRange) uint32 {
	if h == nil {
		return allHours
	}
	var mask uint32
	for hour := range hoursPerDay {
		if inHourRange(h, hour) {
			mask |= 1 << hour
		}
	}
	return mask
}

func inHourRange(h *config.HourRange, hour int) bool {
	if h.From < h.To {
		return hour >= h.From && hour < h.To
	}
	return hour >= h.From || hour < h.To
}
