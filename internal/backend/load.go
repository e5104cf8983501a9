package backend

import (
	"encoding/json"
	"math"
	"net/http"
	"strings"
)

// LoadHeader is the response header that carries a load report in the JSON format
// of ORCA (Open Request Cost Aggregation):
// `JSON {"running": 1, ...}`.
const LoadHeader = "endpoint-load-metrics"

// ParseLoad returns the load report in the headers of an answer. found is false
// if there is none. A report that cannot be parsed or has values out of range is
// an error.
func ParseLoad(h http.Header) (load Load, found bool, err error) {
	text := h.Get(LoadHeader)
	if text == "" {
		return Load{}, false, nil
	}
	text = strings.TrimPrefix(text, "JSON ")
	if err := json.Unmarshal([]byte(text), &load); err != nil {
		return Load{}, false, err
	}
	if load.Running < 0 || load.Waiting < 0 || !isFraction(load.CacheUsed) || !(load.TokensPerSecond >= 0) {
		return Load{}, false, errLoadOutOfRange
	}
	return load, true, nil
}

func isFraction(x float64) bool { return x >= 0 && x <= 1 && !math.IsNaN(x) }
