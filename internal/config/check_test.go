package config

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func validDocument() *Document {
	return &Document{
		Organisations: []Organisation{{Name: "shop", KeyHashes: []string{strings.Repeat("ab", 32)}}, {Name: "desk"}},
		Services: []Service{
			{Name: "audit", Kind: ModelService, Models: []string{"audit-large", "audit-small"}},
			{Name: "audit-spare", Kind: ModelService, Models: []string{"spare"}},
			{Name: "report", Kind: PlainService},
		},
		Rules:       []Rule{{Name: "all", Then: Then{Service: "audit", Fallback: []string{"audit-spare"}}}},
		OlderSystem: &OlderSystem{Address: "10.0.0.8:80"},
	}
}

func TestCheckAcceptsAValidDocument(t *testing.T) {
	require.Empty(t, Check(validDocument()))
}

func TestCheckReportsEveryProblem(t *testing.T) {
	then := func(d *Document) *Then { return &d.Rules[0].Then }
	when := func(d *Document) *When { return &d.Rules[0].When }
	negative := -1.0
	tests := []struct {
		name, field, message string
		change               func(*Document)
	}{
		{"empty rule name", "rules[0].name", "expected a name", func(d *Document) { d.Rules[0].Name = "" }},
		{"duplicate rule", "rules[1].name", "used twice", func(d *Document) { d.Rules = append(d.Rules, d.Rules[0]) }},
		{"duplicate service", "services[3].name", "used twice", func(d *Document) {
			d.Services = append(d.Services, Service{Name: "report", Kind: PlainService})
		}},
		{"duplicate organisation", "organisations[1].name", "used twice", func(d *Document) { d.Organisations[1].Name = "shop" }},
		{"service kind", "services[2].kind", "expected \"model\"", func(d *Document) { d.Services[2].Kind = "web" }},
		{"model twice", "services[1].models[0]", "already a model of service \"audit\"", func(d *Document) {
			d.Services[1].Models[0] = "audit-large"
		}},
		{"unknown service", "rules[0].then.service", "unknown service", func(d *Document) { then(d).Service = "none" }},
		{"unknown when service", "rules[0].when.services[0]", "unknown service", func(d *Document) { when(d).Services = []string{"x"} }},
		{"unknown organisation", "rules[0].when.organisations[0]", "unknown organisation", func(d *Document) {
			when(d).Organisations = []string{"x"}
		}},
		{"unknown model", "rules[0].when.models[0]", "unknown model", func(d *Document) { when(d).Models = []string{"x"} }},
		{"unknown kind", "rules[0].when.kinds[0]", "unknown kind", func(d *Document) { when(d).Kinds = []string{"x"} }},
		{"unknown priority", "rules[0].when.priorities[0]", "unknown priority", func(d *Document) { when(d).Priorities = []string{"x"} }},
		{"empty zone", "rules[0].when.zones[0]", "unknown zone", func(d *Document) { when(d).Zones = []string{""} }},
		{"bad hours", "rules[0].when.hours.to", "expected 0 to 24", func(d *Document) { when(d).Hours = &HourRange{From: 1, To: 25} }},
		{"empty hours", "rules[0].when.hours", "range is empty", func(d *Document) { when(d).Hours = &HourRange{From: 3, To: 3} }},
		{"negative load", "rules[0].when.loadAbove", "0 or more", func(d *Document) { when(d).LoadAbove = &negative }},
		{"prompt bounds", "rules[0].when.minPromptTokens", "at most", func(d *Document) {
			when(d).MinPromptTokens, when(d).MaxPromptTokens = 5, 4
		}},
		{"share above one", "rules[0].then.olderSystemShare", "0 to 1", func(d *Document) { then(d).OlderSystemShare = 1.1 }},
		{"share without older system", "rules[0].then.olderSystemShare", "no olderSystem", func(d *Document) {
			d.OlderSystem, then(d).OlderSystemShare = nil, 0.5
		}},
		{"service and refuse", "rules[0].then", "got both", func(d *Document) {
			*then(d) = Then{Service: "audit", Refuse: &Refuse{Reason: "r"}}
		}},
		{"neither", "rules[0].then", "got neither", func(d *Document) { *then(d) = Then{} }},
		{"target model", "rules[0].then.model", "no model", func(d *Document) { then(d).Model = "spare" }},
		{"fallback cycle", "rules[0].then.fallback[1]", "cycle", func(d *Document) {
			then(d).Fallback = []string{"audit-spare", "audit"}
		}},
		{"fallback of another kind", "rules[0].then.fallback[0]", "cannot stand in", func(d *Document) {
			then(d).Fallback = []string{"report"}
		}},
		{"key hash", "organisations[0].keyHashes[0]", "64 lower-case", func(d *Document) {
			d.Organisations[0].KeyHashes[0] = strings.Repeat("AB", 32)
		}},
		{"shared key hash", "organisations[1].keyHashes[0]", "organisation \"shop\"", func(d *Document) {
			d.Organisations[1].KeyHashes = d.Organisations[0].KeyHashes
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := validDocument()
			tt.change(d)
			ps := Check(d)
			require.Len(t, ps, 1)
			require.Equal(t, tt.field, ps[0].Field)
			require.Contains(t, ps[0].Message, tt.message)
		})
	}
}
