package cli

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

const metricPrefix = "buckthornpick_"

// summaryQuantiles are the quantiles printed for histograms.
var summaryQuantiles = []float64{0.5, 0.95, 0.99}

// WriteMetrics writes the counters, gauges and histograms of reg in the
// Prometheus text format, sorted by name. A histogram is written as a summary
// without a sum, because go-metrics knows only the sum of the sampled values.
func WriteMetrics(w io.Writer, reg metrics.Registry) error {
	all := map[string]any{}
	reg.Each(func(name string, m any) { all[metricName(name)] = m })
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	sort.Strings(names)
	b := bufio.NewWriter(w)
	for _, name := range names {
		writeMetric(b, name, all[name])
	}
	return b.Flush()
}

func writeMetric(w io.Writer, name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		writeSample(w, name, "counter", m.Count())
	case metrics.Gauge:
		writeSample(w, name, "gauge", m.Value())
	case metrics.GaugeFloat64:
		writeSample(w, name, "gauge", m.Value())
	case metrics.Histogram:
		h := m.Snapshot()
		_, _ = fmt.Fprintf(w, "# TYPE %s summary\n", name)
		for i, v := range h.Percentiles(summaryQuantiles) {
			_, _ = fmt.Fprintf(w, "%s{quantile=\"%v\"} %v\n", name, summaryQuantiles[i], v)
		}
		_, _ = fmt.Fprintf(w, "%s_count %d\n", name, h.Count())
	}
}

func writeSample(w io.Writer, name, kind string, value any) {
	_, _ = fmt.Fprintf(w, "# TYPE %s %s\n%s %v\n", name, kind, name, value)
}

// metricName converts a registry name to a Prometheus name: "config.revision"
// becomes "buckthornpick_config_revision".
func metricName(name string) string {
	return metricPrefix + strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' {
			return r
		}
		return '_'
	}, name)
}
