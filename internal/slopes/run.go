package slopes

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"
)

// Options select the scenarios and sizes.
type Options struct {
	// Nodes are the numbers of entry nodes; default 7, 25, 50, 100, 200.
	Nodes []int
	// Servers are the numbers of backend servers; default 10, 100, 1000, 4000.
	Servers []int
	// Only are the scenarios to run; default all.
	Only []string
	// Progress receives one line per scenario; nil discards them.
	Progress io.Writer
}

func (o Options) withDefaults() Options {
	if len(o.Nodes) == 0 {
		o.Nodes = []int{7, 25, 50, 100, 200}
	}
	if len(o.Servers) == 0 {
		o.Servers = []int{10, 100, 1000, 4000}
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	return o
}

// maxRunTime is the time after which a run is cancelled.
const maxRunTime = 5 * time.Minute

type scenario struct {
	name    string
	measure func(context.Context, Options, *Results) error
}

var scenarios = []scenario{
	{"picker", measurePicker},
	{"answers", measureAnswers},
	{"claims", measureClaims},
	{"mesh", measureMesh},
	{"document", measureDocument},
	{"servers", measureServers},
	{"nodes", measureNodes},
}

// Run measures the selected scenarios one after the other. On an error it returns
// the series measured so far.
func Run(ctx context.Context, o Options) ([]Series, error) {
	o = o.withDefaults()
	ctx, cancel := context.WithTimeout(ctx, maxRunTime)
	defer cancel()
	var out Results
	for _, s := range scenarios {
		if len(o.Only) > 0 && !slices.Contains(o.Only, s.name) {
			continue
		}
		began := time.Now()
		if err := s.measure(ctx, o, &out); err != nil {
			return out.Series(), fmt.Errorf("scenario %s: %w", s.name, err)
		}
		fmt.Fprintf(o.Progress, "%s: %.0f s\n", s.name, time.Since(began).Seconds())
	}
	return out.Series(), nil
}
