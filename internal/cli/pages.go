package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/pprof"

	"github.com/rcrowley/go-metrics"

	"buckthornpick/internal/where"
)

// AdminPages configures the handler of the admin listener: the pages served
// without a token, and the operators' API.
type AdminPages struct {
	Metrics metrics.Registry
	// Ready returns nil if the process is ready to receive requests, otherwise
	// the reason why not. A nil Ready means always ready.
	Ready func() error
	// Pprof enables Go profiles under /debug/pprof/.
	Pprof bool
	// API is mounted under /admin/ unless it is nil.
	API http.Handler
	// Where answers where a request would go, under where.Path unless it is nil.
	Where http.Handler
}

// Handler returns the handler of the admin listener, which serves /metrics in
// the Prometheus text format, /metrics.json, /healthz and /readyz, and
// /debug/pprof/ and /admin/ if configured.
func (p *AdminPages) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", p.metricsText)
	mux.HandleFunc("GET /metrics.json", p.metricsJSON)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET /readyz", p.readyz)
	if p.API != nil {
		mux.Handle("/admin/", p.API)
	}
	if p.Where != nil {
		mux.Handle("POST "+where.Path, p.Where)
	}
	if p.Pprof {
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
		mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
		mux.HandleFunc("GET /debug/pprof/cmdline", pprof.Cmdline)
	}
	return mux
}

func (p *AdminPages) readyz(w http.ResponseWriter, _ *http.Request) {
	if p.Ready != nil {
		if err := p.Ready(); err != nil {
			http.Error(w, "not ready: "+err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	_, _ = fmt.Fprintln(w, "ready")
}

func (p *AdminPages) metricsText(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_ = WriteMetrics(w, p.Metrics)
}

func (p *AdminPages) metricsJSON(w http.ResponseWriter, _ *http.Request) {
	body, err := json.Marshal(p.Metrics.GetAll())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n'))
}
