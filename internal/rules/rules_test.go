package rules

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"buckthornpick/internal/config"
)

var noon = time.Date(2026, 1, 2, 12, 30, 0, 0, time.UTC)

func testDocument(rules ...config.Rule) *config.Document {
	return &config.Document{
		Organisations: []config.Organisation{{Name: "o1"}, {Name: "o2"}},
		Services: []config.Service{
			{Name: "s1", Kind: config.ModelService, Models: []string{"m1"}},
			{Name: "s2", Kind: config.ModelService, Models: []string{"m2"}},
		},
		Rules:       rules,
		OlderSystem: &config.OlderSystem{Address: "older:80"},
	}
}

func routeTo(service string) config.Then { return config.Then{Service: service} }

func compile(t require.TestingT, rules ...config.Rule) *Set {
	set, err := Compile(testDocument(rules...))
	require.NoError(t, err)
	return set
}

func TestMatchTakesTheFirstRuleThatMatches(t *testing.T) {
	set := compile(t,
		config.Rule{Name: "night", When: config.When{Hours: &config.HourRange{From: 22, To: 6}}, Then: routeTo("s2")},
		config.Rule{Name: "one", When: config.When{Organisations: []string{"o1"}}, Then: routeTo("s1")},
	)
	tests := []struct {
		name string
		in   Input
		rule int
	}{
		{"first of two", Input{Organisation: "o1", Now: noon.Add(11 * time.Hour)}, 0},
		{"after midnight", Input{Organisation: "o2", Now: noon.Add(13 * time.Hour)}, 0},
		{"second", Input{Organisation: "o1", Now: noon}, 1},
		{"other time zone", Input{Organisation: "o1", Now: noon.In(time.FixedZone("x", 11*3600))}, 1},
		{"none", Input{Organisation: "o2", Now: noon}, NoRule},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := set.Match(tt.in)
			require.Equal(t, tt.rule, d.Rule)
			if tt.rule == NoRule {
				require.NotNil(t, d.Then.Refuse)
			}
		})
	}
}

func TestExplainNamesEveryConditionThatDidNotHold(t *testing.T) {
	half := 0.5
	set := compile(t,
		config.Rule{Name: "busy", When: config.When{Organisations: []string{"o1"}, LoadAbove: &half}, Then: routeTo("s2")},
		config.Rule{Name: "rest", Then: routeTo("s1")},
	)
	steps := set.Explain(Input{Organisation: "o2", Load: 0.5, Now: noon})
	require.Equal(t, []ExplainStep{
		{Rule: 0, Name: "busy", Reasons: []string{`organisation "o2" is not one of ["o1"]`, "load 0.5 is not above 0.5"}},
		{Rule: 1, Name: "rest", Matched: true},
	}, steps)
}

func TestCompileNamesUnreachableRules(t *testing.T) {
	yes := true
	tests := []struct {
		name          string
		earlier, rule config.When
		unreachable   bool
	}{
		{"equal", config.When{}, config.When{}, true},
		{"narrower list", config.When{Zones: []string{"a", "b"}}, config.When{Zones: []string{"b"}}, true},
		{"wider list", config.When{Zones: []string{"b"}}, config.When{Zones: []string{"a", "b"}}, false},
		{"all kinds", config.When{Kinds: []string{"chat", "plain", "completion"}}, config.When{}, true},
		{"inside the hours", config.When{Hours: &config.HourRange{From: 20, To: 8}},
			config.When{Hours: &config.HourRange{From: 23, To: 1}}, true},
		{"other hours", config.When{Hours: &config.HourRange{From: 20, To: 8}},
			config.When{Hours: &config.HourRange{From: 7, To: 9}}, false},
		{"prompt bounds", config.When{MaxPromptTokens: 10}, config.When{}, false},
		{"narrower prompt bounds", config.When{MaxPromptTokens: 10}, config.When{MinPromptTokens: 2, MaxPromptTokens: 9}, true},
		{"flag", config.When{Repeatable: &yes}, config.When{}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Compile(testDocument(
				config.Rule{Name: "earlier", When: tt.earlier, Then: routeTo("s1")},
				config.Rule{Name: "later", When: tt.rule, Then: routeTo("s2")}))
			if !tt.unreachable {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, `rules[1].when ("later"): the rule is never reached`)
		})
	}
}

func TestOlderSystemShareIsMonotone(t *testing.T) {
	at := func(share float64, context uint64) bool {
		then := routeTo("s1")
		then.OlderSystemShare = share
		return compile(t, config.Rule{Name: "r", Then: then}).Match(
			Input{Service: "s1", Context: context, RequestID: fmt.Sprint(context), Now: noon}).OlderSystem
	}
	rapid.Check(t, func(t *rapid.T) {
		low := rapid.Float64Range(0, 1).Draw(t, "low")
		high := rapid.Float64Range(low, 1).Draw(t, "high")
		context := rapid.Uint64().Draw(t, "context")
		if at(low, context) && !at(high, context) {
			t.Fatalf("raising the share from %v to %v returned context %d from the older system", low, high, context)
		}
	})
	require.False(t, at(0, 7))
	require.True(t, at(1, 7))
	moved := 0
	for c := range uint64(1000) {
		if at(0.3, c+1) {
			moved++
		}
	}
	require.InDelta(t, 300, moved, 60)
}

// TestOlderSystemTakesWholeContexts checks that all requests of a conversation go
// to the same system, the older one or this one.
func TestOlderSystemTakesWholeContexts(t *testing.T) {
	then := routeTo("s1")
	then.OlderSystemShare = 0.5
	set := compile(t, config.Rule{Name: "r", Then: then})
	rapid.Check(t, func(t *rapid.T) {
		a, b := inputGenerator.Draw(t, "first"), inputGenerator.Draw(t, "second")
		a.Context = rapid.Uint64Min(1).Draw(t, "context")
		b.Context, b.Service = a.Context, a.Service
		a.RequestID, b.RequestID = "x", "y"
		require.Equal(t, set.Match(a).OlderSystem, set.Match(b).OlderSystem)
	})
}

func anySubset(values ...string) *rapid.Generator[[]string] {
	return rapid.SliceOfNDistinct(rapid.SampledFrom(values), 0, len(values), rapid.ID)
}

func optional[T any](g *rapid.Generator[T]) *rapid.Generator[*T] { return rapid.Ptr(g, true) }

var whenGenerator = rapid.Custom(func(t *rapid.T) config.When {
	return config.When{
		Organisations:   anySubset("o1", "o2").Draw(t, "organisations"),
		Services:        anySubset("s1", "s2").Draw(t, "services"),
		Kinds:           anySubset("chat", "completion", "plain").Draw(t, "kinds"),
		Priorities:      anySubset("high", "normal", "low").Draw(t, "priorities"),
		Zones:           anySubset("a", "b").Draw(t, "zones"),
		MinPromptTokens: rapid.IntRange(0, 3).Draw(t, "min"),
		MaxPromptTokens: rapid.SampledFrom([]int{0, 3, 5}).Draw(t, "max"),
		Repeatable:      optional(rapid.Bool()).Draw(t, "repeatable"),
		HasContext:      optional(rapid.Bool()).Draw(t, "hasContext"),
		LoadAbove:       optional(rapid.Float64Range(0, 1)).Draw(t, "load"),
		PriceAbove:      optional(rapid.Float64Range(0, 1)).Draw(t, "price"),
		Hours: optional(rapid.Custom(func(t *rapid.T) config.HourRange {
			from := rapid.IntRange(0, 23).Draw(t, "from")
			return config.HourRange{From: from, To: (from + rapid.IntRange(1, 23).Draw(t, "length")) % 24}
		})).Draw(t, "hours"),
	}
})

var inputGenerator = rapid.Custom(func(t *rapid.T) Input {
	return Input{
		Organisation: rapid.SampledFrom([]string{"o1", "o2"}).Draw(t, "organisation"),
		Service:      rapid.SampledFrom([]string{"s1", "s2"}).Draw(t, "service"),
		Kind:         rapid.SampledFrom([]string{"chat", "completion", "plain"}).Draw(t, "kind"),
		Priority:     rapid.SampledFrom([]string{"", "high", "normal", "low"}).Draw(t, "priority"),
		Zone:         rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
		PromptTokens: rapid.IntRange(0, 6).Draw(t, "tokens"),
		Repeatable:   rapid.Bool().Draw(t, "repeatable"),
		Context:      rapid.Uint64Range(0, 2).Draw(t, "context"),
		Load:         rapid.Float64Range(0, 1).Draw(t, "load"),
		Price:        rapid.Float64Range(0, 1).Draw(t, "price"),
		Now:          noon.Add(time.Duration(rapid.IntRange(0, 23).Draw(t, "hour")) * time.Hour),
	}
})

func TestMatchEqualsExplain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(whenGenerator, 1, 5).Draw(t, "rules")
		var rules []config.Rule
		for i, w := range list {
			rules = append(rules, config.Rule{Name: fmt.Sprint("r", i), When: w, Then: routeTo("s1")})
		}
		set := newSet(rules)
		in := inputGenerator.Draw(t, "input")
		steps := set.Explain(in)
		last := steps[len(steps)-1]
		want := NoRule
		if last.Matched {
			want = last.Rule
		}
		require.Equal(t, want, set.Match(in).Rule, "%+v", steps)
		for _, s := range steps {
			require.Equal(t, s.Matched, len(s.Reasons) == 0)
		}
	})
}

func TestMatchDoesNotAllocate(t *testing.T) {
	then := routeTo("s1")
	then.OlderSystemShare = 0.5
	set := compile(t,
		config.Rule{Name: "one", When: config.When{Organisations: []string{"o1"}}, Then: routeTo("s2")},
		config.Rule{Name: "rest", Then: then})
	in := Input{Organisation: "o2", Service: "s1", RequestID: "x", Now: noon}
	require.Zero(t, testing.AllocsPerRun(100, func() { set.Match(in) }))
}
