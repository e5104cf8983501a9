package experiment

import (
	"context"
	"fmt"
	"slices"

	"golang.org/x/sync/errgroup"
)

// Suite is a set of runs: all combinations of the sites, scenarios, policies and
// seeds.
type Suite struct {
	Sites     []Site
	Scenarios []Scenario
	Policies  []string
	Seeds     []uint64
	// Workers is the number of runs in parallel; default 1.
	Workers int
}

// Group holds the runs of one site, scenario and policy, one per seed.
type Group struct {
	Site     string
	Scenario string
	Policy   string
	Runs     []Metrics
}

// Run executes all runs. The result does not depend on Workers. It returns the
// context's error if ctx ends first.
func (s Suite) Run(ctx context.Context) ([]Group, error) {
	var groups []Group
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.SetLimit(max(1, s.Workers))
	for _, site := range s.Sites {
		for _, scenario := range s.Scenarios {
			for _, policy := range s.Policies {
				runs := make([]Metrics, len(s.Seeds))
				groups = append(groups, Group{site.Name, scenario.Name, policy, runs})
				for i, seed := range s.Seeds {
					tasks.Go(func() error {
						if ctx.Err() == nil {
							runs[i] = Run(Cell{site, scenario, policy, seed})
						}
						return ctx.Err()
					})
				}
			}
		}
	}
	return groups, tasks.Wait()
}

// Spread holds the median, least and greatest value of a metric over several
// runs.
type Spread struct{ Median, Least, Greatest float64 }

// String implements fmt.Stringer.
func (s Spread) String() string {
	return fmt.Sprintf("%s [%s, %s]", formatValue(s.Median), formatValue(s.Least), formatValue(s.Greatest))
}

// formatValue formats a value with fewer decimals the larger it is.
func formatValue(v float64) string {
	switch {
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	case v >= 10:
		return fmt.Sprintf("%.1f", v)
	default:
		return fmt.Sprintf("%.3f", v)
	}
}

// Spread returns the spread of one metric over the group's runs.
func (g Group) Spread(metric func(Metrics) float64) Spread {
	values := make([]float64, len(g.Runs))
	for i, m := range g.Runs {
		values[i] = metric(m)
	}
	slices.Sort(values)
	n := len(values)
	if n == 0 {
		return Spread{}
	}
	return Spread{(values[(n-1)/2] + values[n/2]) / 2, values[0], values[n-1]}
}

// FindSites returns the sites with the given names, or all sites if names is
// empty. An unknown name is an error.
func FindSites(names []string) ([]Site, error) {
	return findByName([]Site{Nilevale, Kierowca}, names, func(s Site) string { return s.Name })
}

// FindScenarios returns the scenarios with the given names, or all scenarios if
// names is empty. An unknown name is an error.
func FindScenarios(names []string) ([]Scenario, error) {
	return findByName(Scenarios, names, func(s Scenario) string { return s.Name })
}

// FindPolicies returns the policies with the given names, or all policies if
// names is empty. An unknown name is an error.
func FindPolicies(names []string) ([]string, error) {
	return findByName(Policies, names, func(s string) string { return s })
}

func findByName[T any](all []T, names []string, name func(T) string) ([]T, error) {
	if len(names) == 0 {
		return all, nil
	}
	var found []T
	for _, wanted := range names {
		i := slices.IndexFunc(all, func(t T) bool { return name(t) == wanted })
		if i < 0 {
			return nil, fmt.Errorf("unknown name %q", wanted)
		}
		found = append(found, all[i])
	}
	return found, nil
}
