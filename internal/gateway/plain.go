package gateway

import (
	"net/http"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"buckthornpick/internal/config"
	"buckthornpick/internal/request"
)

// forwardedHeaders lists the caller's headers that are forwarded to plain
// services.
var forwardedHeaders = []string{
	"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match",
	"If-Modified-Since", "Range", "User-Agent",
}

// servePlain handles calls of plain services (services that are not models).
func (g *Gateway) servePlain(w http.ResponseWriter, r *http.Request, c caller) {
	name := r.PathValue("service")
	i := slices.IndexFunc(c.doc.Services, func(s config.Service) bool {
		return s.Name == name && s.Kind == config.PlainService
	})
	if i < 0 {
		writeProblem(w, problem{status: http.StatusNotFound, kind: typeNotFound,
			message: "no plain service " + quote(name), outcome: refusedOutcome(r)})
		return
	}
	body, memory, p := g.readBody(w, r)
	defer memory.Close()
	if p != nil {
		writeProblem(w, *p)
		return
	}
	service := c.doc.Services[i]
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+name)
	req := &request.Request{
		Service: name, Kind: request.Plain, Method: r.Method, Path: path,
		Repeatable: !isMarkedNonRepeatable(r) && !matchesAny(service.NonRepeatable, r.Method, path),
		Header:     selectHeaders(r.Header), Body: body,
	}
	if r.URL.RawQuery != "" {
		req.Path += "?" + r.URL.RawQuery
	}
	if name := r.Header.Get(HeaderContext); name != "" {
		req.Context = xxhash.Sum64String(name)
	}
	g.submit(w, r, c, req, service)
}

func matchesAny(matches []config.CallMatch, method, path string) bool {
	return slices.ContainsFunc(matches, func(m config.CallMatch) bool {
		return (m.Method == "" || strings.EqualFold(m.Method, method)) &&
			strings.HasPrefix(path, m.PathPrefix)
	})
}

func selectHeaders(from http.Header) http.Header {
	to := http.Header{}
	for _, name := range forwardedHeaders {
		if v, ok := from[name]; ok {
			to[name] = v
		}
	}
	return to
}
