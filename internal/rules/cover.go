package rules

import (
	"fmt"

	"buckthornpick/internal/config"
)

// unreachableRules returns a problem for each rule that is completely covered by
// one earlier rule.
func (s *Set) unreachableRules() config.Problems {
	var problems config.Problems
	for i := range s.rules {
		for j := range i {
			if !covers(&s.rules[j], &s.rules[i]) {
				continue
			}
			problems = append(problems, config.Problem{
				Field: fmt.Sprintf("rules[%d].when", i), Name: s.rules[i].name,
				Message: fmt.Sprintf("the rule is never reached: rule %d (%q) matches every request that it matches",
					j, s.rules[j].name),
			})
			break
		}
	}
	return problems
}

// covers reports whether a matches every request that b matches.
func covers(a, b *compiledRule) bool {
	x, y := &a.when, &b.when
	return b.hours&^a.hours == 0 &&
		listCovers(x.Hosts, y.Hosts, 0) &&
		prefixesCover(x.PathPrefixes, y.PathPrefixes) &&
		listCovers(x.Organisations, y.Organisations, 0) &&
		listCovers(x.Services, y.Services, 0) &&
		listCovers(x.Models, y.Models, 0) &&
		listCovers(x.Kinds, y.Kinds, kindCount) &&
		listCovers(x.Priorities, y.Priorities, priorityCount) &&
		listCovers(x.Zones, y.Zones, 0) &&
		x.MinPromptTokens <= y.MinPromptTokens &&
		(x.MaxPromptTokens == 0 || (y.MaxPromptTokens != 0 && y.MaxPromptTokens <= x.MaxPromptTokens)) &&
		(x.Repeatable == nil || (y.Repeatable != nil && *x.Repeatable == *y.Repeatable)) &&
		(x.HasContext == nil || (y.HasContext != nil && *x.HasContext == *y.HasContext)) &&
		boundCovers(x.LoadAbove, y.LoadAbove) &&
		boundCovers(x.PriceAbove, y.PriceAbove)
}

// Sizes of the sets of values that are fixed. A list with all values of a set is
// equivalent to an empty list.
const (
	kindCount     = 3
	priorityCount = 3
)

// listCovers reports whether condition list a matches every value that b matches;
// an empty list matches all values. full is the number of possible values, 0 if
// the set of values is open.
func listCovers(a, b []string, full int) bool {
	if len(a) == 0 || len(a) == full {
		return true
	}
	if len(b) == 0 {
		return false
	}
	for _, v := range b {
		if !listMatches(a, v) {
			return false
		}
	}
	return true
}

// prefixesCover reports whether every path that begins with a prefix of b also
// begins with one of a; an empty list matches all paths.
func prefixesCover(a, b []string) bool {
	if len(a) == 0 {
		return true
	}
	for _, p := range b {
		if !prefixMatches(p, a) {
			return false
		}
	}
	return len(b) > 0
}

// boundCovers reports whether every value above b is also above a; nil means no
// bound.
func boundCovers(a, b *float64) bool {
	return a == nil || (b != nil && *b >= *a)
}
