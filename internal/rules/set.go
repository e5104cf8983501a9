package rules

import (
	"slices"
	"strings"

	"buckthornpick/internal/config"
)

const normalPriority = "normal"

// Set is a compiled list of rules. It is immutable and safe for concurrent use.
type Set struct {
	rules   []compiledRule
	noMatch config.Then
}

// compiledRule is a rule in the form used for matching.
type compiledRule struct {
	name string
	when config.When
	then config.Then
	// hours has bit h set if the rule matches in hour h UTC.
	hours uint32
}

// Compile checks the document and compiles its rules. The error is of type
// config.Problems and lists every problem found; rules are checked for
// reachability only if there is no other problem.
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

// CompileAccepted compiles the rules of a document that was already checked and
// accepted elsewhere. Problems are returned together with a usable set.
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

// matches reports whether all conditions except the hours are met.
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

// listMatches reports whether v is in list; an empty list matches every value.
func listMatches(list []string, v string) bool {
	return len(list) == 0 || slices.Contains(list, v)
}

// prefixMatches reports whether path begins with one of prefixes; an empty list
// matches every path.
func prefixMatches(path string, prefixes []string) bool {
	return len(prefixes) == 0 ||
		slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(path, p) })
}

const (
	hoursPerDay = 24
	allHours    = 1<<hoursPerDay - 1
)

// hourMask returns the hours of h as a bit mask; nil means the whole day.
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

// inHourRange reports whether hour is in [h.From, h.To). The range includes
// midnight if From is not below To.
func inHourRange(h *config.HourRange, hour int) bool {
	if h.From < h.To {
		return hour >= h.From && hour < h.To
	}
	return hour >= h.From || hour < h.To
}
