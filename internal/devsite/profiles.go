// Package devsite runs the small sites of `buckthornpick-dev`. Their documents,
// backend servers and workloads are modelled on the project's two users.
package devsite

import (
	"fmt"
	"slices"
	"strings"

	"buckthornpick/internal/config"
	"buckthornpick/internal/load"
	"buckthornpick/internal/standin/engine"
	"buckthornpick/internal/standin/oldersystem"
	"buckthornpick/internal/standin/plainservice"
	"buckthornpick/internal/standin/site"
)

// Profile describes a site and its workload.
type Profile struct {
	Name     string
	Document *config.Document
	Servers  []site.ServerSpec
	Older    oldersystem.Settings
	Workload load.Workload
}

// Zones are the availability zones of a profile's site.
var Zones = []string{"a", "b", "c"}

// EntryZones holds the zone of each entry node.
var EntryZones = []string{"a", "a", "b", "b", "c", "c"}

var profiles = map[string]func() Profile{"nilevale": nilevale, "kierowca": kierowca}

// Names returns the names of the profiles.
func Names() []string { return []string{"nilevale", "kierowca"} }

// Find returns the profile with the given name, or an error that lists the known
// names.
func Find(name string) (Profile, error) {
	newProfile, ok := profiles[name]
	if !ok {
		return Profile{}, fmt.Errorf("no site %q: expected one of %s", name, strings.Join(Names(), ", "))
	}
	return newProfile(), nil
}

// target is the latency target of the model services.
var target = config.LatencyTarget{FirstTokenMillis: 910, BetweenTokensMillis: 27}

// organisations returns five organisations and their callers; the first two have
// most of the load.
func organisations(names ...string) ([]config.Organisation, []load.CallerSpec) {
	weights := []float64{6, 4, 1, 1, 1}
	var orgs []config.Organisation
	var callers []load.CallerSpec
	for i, name := range names {
		key := "sk-dev-" + name
		orgs = append(orgs, config.Organisation{Name: name, KeyHashes: []string{site.KeyHash(key)}})
		callers = append(callers, load.CallerSpec{Organisation: name, Key: key, Weight: weights[i]})
	}
	return orgs, callers
}

// modelServers returns the spec of ten engines, spread over the zones.
func modelServers(service, model string) site.ServerSpec {
	return site.ServerSpec{
		Service: service, Kind: config.ModelService, Zones: roundRobinZones(10), Class: "gpu-1", PricePerHour: 2.4,
		Engine: engine.Settings{Models: []string{model}, PrefillTokensPerSecond: 20000, MaxBatch: 24},
	}
}

// plainServers returns the spec of three plain servers, one per zone.
func plainServers(service string) site.ServerSpec {
	return site.ServerSpec{
		Service: service, Kind: config.PlainService, Zones: roundRobinZones(3), Class: "cpu-2", PricePerHour: 0.2,
		Plain: plainservice.Settings{},
	}
}

// roundRobinZones returns the zones of n servers, assigned round robin.
func roundRobinZones(n int) []string {
	var out []string
	for i := range n {
		out = append(out, Zones[i%len(Zones)])
	}
	return out
}

func nilevale() Profile {
	orgs, callers := organisations("cairo-agencies", "delta-retail", "luxor-crafts", "giza-books", "aswan-tea")
	const model, service, report = "audit-large", "audit", "report"
	return Profile{
		Name: "nilevale",
		Document: &config.Document{
			Organisations: orgs,
			Services: []config.Service{
				{Name: service, Kind: config.ModelService, Models: []string{model}, Target: target},
				{Name: report, Kind: config.PlainService,
					NonRepeatable: []config.CallMatch{{Method: "POST", PathPrefix: "/exports"}}},
			},
			Rules: []config.Rule{
				{Name: "title suggestions first", When: config.When{Services: []string{service}, MaxPromptTokens: 600},
					Then: config.Then{Service: service, Priority: "high"}},
				{Name: "reports, a tenth still at the older system", When: config.When{Services: []string{report}},
					Then: config.Then{Service: report, OlderSystemShare: 0.1}},
				{Name: "crawl reviews and rewrites", When: config.When{Services: []string{service}},
					Then: config.Then{Service: service}},
			},
			OlderSystem: &config.OlderSystem{Address: "127.0.0.1:1", PricePerHour: 1.5},
		},
		Servers: []site.ServerSpec{modelServers(service, model), plainServers(report)},
		Older:   oldersystem.Settings{Models: []string{model}},
		Workload: load.Workload{
			Name: "nilevale", RequestsPerSecond: 30, DurationSeconds: 20, BurstFactor: 2, Callers: callers,
			Classes: []load.Class{
				{Name: "crawl review", Weight: 2, Model: model, SharedWords: 800, PromptWords: 600, Contexts: 8, MaxTokens: 240, Stream: true},
				{Name: "rewrite", Weight: 3, Model: model, SharedWords: 200, PromptWords: 250, Contexts: 12, MaxTokens: 120, Stream: true, NonRepeatable: true},
				{Name: "title suggestion", Weight: 6, Model: model, SharedWords: 60, PromptWords: 40, Contexts: 20, MaxTokens: 16},
				{Name: "report fetch", Weight: 5, Method: "GET", Path: "/services/report/reports/7"},
				{Name: "report export", Weight: 2, Method: "POST", Path: "/services/report/exports", PromptWords: 20, NonRepeatable: true},
			},
		},
	}
}

func kierowca() Profile {
	orgs, callers := organisations("warsaw-intake", "lodz-intake", "radom-fleet", "plock-fleet", "kielce-fleet")
	const model, service, intake = "intake-large", "intake", "status"
	return Profile{
		Name: "kierowca",
		Document: &config.Document{
			Organisations: orgs,
			Services: []config.Service{
				{Name: service, Kind: config.ModelService, Models: []string{model}, Target: target,
					Weights: config.RouteWeights{RecomputedTokenMillis: 0.4}},
				{Name: intake, Kind: config.PlainService,
					NonRepeatable: []config.CallMatch{{Method: "POST", PathPrefix: "/exports"}}},
			},
			Rules: []config.Rule{
				{Name: "status updates", When: config.When{Services: []string{intake}}, Then: config.Then{Service: intake}},
				{Name: "contract summaries", When: config.When{Services: []string{service}, Repeatable: new(bool)},
					Then: config.Then{Service: service, Priority: "high"}},
				{Name: "intake", When: config.When{Services: []string{service}}, Then: config.Then{Service: service}},
			},
		},
		Servers: []site.ServerSpec{modelServers(service, model), plainServers(intake)},
		Older:   oldersystem.Settings{Models: []string{model}},
		Workload: load.Workload{
			Name: "kierowca", RequestsPerSecond: 30, DurationSeconds: 20, BurstFactor: 2, Callers: callers,
			Classes: []load.Class{
				{Name: "licence scan", Weight: 3, Model: model, SharedWords: 1500, PromptWords: 300, Contexts: 8, MaxTokens: 60, Stream: true},
				{Name: "chat answer", Weight: 6, Model: model, SharedWords: 1200, PromptWords: 60, Contexts: 8, MaxTokens: 40, Stream: true},
				{Name: "contract summary", Weight: 2, Model: model, SharedWords: 1500, PromptWords: 200, Contexts: 8, MaxTokens: 160, Stream: true, NonRepeatable: true},
				{Name: "status update", Weight: 5, Method: "PUT", Path: "/services/status/status/9", PromptWords: 10},
				{Name: "partner export", Weight: 1, Method: "POST", Path: "/services/status/exports", PromptWords: 20, NonRepeatable: true},
			},
		},
	}
}

// HasOlderSystem reports whether a rule of the profile sends a share of its
// requests to the older system.
func (p Profile) HasOlderSystem() bool {
	return p.Document.OlderSystem != nil && slices.ContainsFunc(p.Document.Rules, func(r config.Rule) bool {
		return r.Then.OlderSystemShare > 0
	})
}
