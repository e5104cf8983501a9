package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/justinas/alice"

	"buckthornpick/internal/confstore"
	"buckthornpick/internal/telemetry"
)

// DefaultProposeTimeout is the default of Config.ProposeTimeout.
const DefaultProposeTimeout = 10 * time.Second

// Members lists the entries of the site.
type Members interface {
	Members() []Member
}

// Drainer drains this node. Drain starts draining and returns without waiting for it
// to complete.
type Drainer interface {
	Drain(ctx context.Context) error
}

// Config configures an API.
type Config struct {
	Node, Zone, Region, Version string
	// Token is the operators' bearer token; empty refuses every request.
	Token    string
	Document *confstore.Store
	// Members and Drainer may be nil: then no members are listed, and drain
	// requests get the status 404.
	Members Members
	Drainer Drainer
	// ProposeTimeout bounds the wait for the outcome of a change; default
	// DefaultProposeTimeout.
	ProposeTimeout time.Duration
	Log            *telemetry.Logger
}

// API is the server side of the operators' API.
type API struct {
	cfg   Config
	token [sha256.Size]byte
}

// New returns an API with the given configuration.
func New(cfg Config) *API {
	if cfg.ProposeTimeout <= 0 {
		cfg.ProposeTimeout = DefaultProposeTimeout
	}
	return &API{cfg: cfg, token: sha256.Sum256([]byte(cfg.Token))}
}

// Handler returns the handler of all paths under /admin/.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathDocument, a.getDocument)
	mux.HandleFunc("PUT "+PathDocument, a.putDocument)
	mux.HandleFunc("GET "+PathHistory, a.getHistory)
	mux.HandleFunc("POST "+PathExplain, a.explain)
	mux.HandleFunc("GET "+PathRevision, a.getRevision)
	mux.HandleFunc("GET "+PathStatus, a.getStatus)
	mux.HandleFunc("POST "+PathDrain, a.drain)
	return alice.New(a.logRequests, a.requireToken).Then(mux)
}

func (a *API) logRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		a.cfg.Log.Log(EvRequest, "method", r.Method, "path", r.URL.Path, "peer", r.RemoteAddr)
	})
}

// requireToken refuses requests without the operators' bearer token. It compares
// the hashes of the tokens in constant time, so that the response time does not
// depend on the token.
func (a *API) requireToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		same := subtle.ConstantTimeCompare(sum[:], a.token[:]) == 1
		if !ok || !same || a.cfg.Token == "" {
			a.cfg.Log.Log(EvUnauthorized, "path", r.URL.Path, "peer", r.RemoteAddr)
			w.Header().Set("WWW-Authenticate", `Bearer realm="buckthornpick"`)
			writeError(w, http.StatusUnauthorized, ErrorAnswer{Type: TypeUnauthorized, Message: "expected the operators' bearer token"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

func writeError(w http.ResponseWriter, status int, body ErrorAnswer) { writeJSON(w, status, body) }
