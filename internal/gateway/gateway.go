// Package gateway is the callers' HTTP interface: the OpenAI-compatible API,
// plain services, and attaching to answers by request ID.
package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/justinas/alice"
	"github.com/rcrowley/go-metrics"

	"buckthornpick/internal/config"
	"buckthornpick/internal/request"
	"buckthornpick/internal/telemetry"
)

// Headers of the callers' API.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderLastEventID    = "Last-Event-ID"
	HeaderRequestID      = "Buckthornpick-Request-Id"
	HeaderOutcome        = "Buckthornpick-Outcome"
	// HeaderNonRepeatable set to "true" marks a request to run at most once.
	HeaderNonRepeatable = "Buckthornpick-Non-Repeatable"
	// HeaderContext names the conversation whose requests should stay together.
	HeaderContext = "Buckthornpick-Context"
	// HeaderPriority is "high", "normal" or "low".
	HeaderPriority = "Buckthornpick-Priority"
)

// Answer delivers the answer to one request.
type Answer interface {
	// Info describes the request.
	Info() request.Info
	// Next waits for the next step; after an End it must not be called again.
	Next(ctx context.Context) (request.Part, error)
	// Ready reports whether Next would return at once.
	Ready() bool
	// Settle makes sure that a node that stays has the request, before the
	// caller is told to attach elsewhere.
	EnsureHandover(ctx context.Context)
	// Close releases the answer; the request goes on.
	Close()
}

// Node is the entry node behind the gateway.
type Node interface {
	// Document returns the configuration in force; ok is false before there
	// is one.
	Document() (doc *config.Document, ok bool)
	// MintID returns a fresh request ID in a partition that this node owns.
	GenerateRequestID() request.ID
	// Submit accepts a request, or attaches to it if it is known already, and
	// delivers its events after the position.
	Submit(ctx context.Context, r *request.Request, pos request.Position) (Answer, error)
	// Attach delivers the answer of a known request of the organisation.
	Attach(ctx context.Context, organisation string, id request.ID, pos request.Position) (Answer, error)
	// Leaving is closed when callers must attach elsewhere before the VM goes.
	Leaving() <-chan struct{}
}

// Config bounds what callers may send.
type Config struct {
	// MaxBodyBytes bounds a request body. Default 4 MiB.
	MaxBodyBytes int64
	// BodyTimeout bounds the reading of a body. Default 30 s.
	BodyTimeout time.Duration
	// KeepAlive is the interval of comments on idle event streams. Default 15 s.
	KeepAlive time.Duration
	// RequestTimeout bounds a request whose service sets none. Default 10 min.
	RequestTimeout time.Duration
}

const (
	defaultMaxBodyBytes   = 4 << 20
	defaultBodyTimeout    = 30 * time.Second
	defaultKeepAlive      = 15 * time.Second
	defaultRequestTimeout = 10 * time.Minute
)

// WithDefaults returns the configuration with defaults for zero fields.
func (c Config) WithDefaults() Config {
	if c.MaxBodyBytes == 0 {
		c.MaxBodyBytes = defaultMaxBodyBytes
	}
	if c.BodyTimeout == 0 {
		c.BodyTimeout = defaultBodyTimeout
	}
	if c.KeepAlive == 0 {
		c.KeepAlive = defaultKeepAlive
	}
	if c.RequestTimeout == 0 {
		c.RequestTimeout = defaultRequestTimeout
	}
	return c
}

// Gateway serves callers.
type Gateway struct {
	cfg      Config
	node     Node
	log      *telemetry.Logger
	keys     keyring
	counters counters
}

// New returns a gateway in front of node.
func New(cfg Config, node Node, log *telemetry.Logger, registry metrics.Registry) *Gateway {
	return &Gateway{cfg: cfg.WithDefaults(), node: node, log: log, counters: newCounters(registry)}
}

// pathRequests is followed by the ID of a request to attach to.
const pathRequests = "/v1/requests/"

// Handler returns the HTTP handler of the callers' listener.
func (g *Gateway) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", g.authenticated(g.serveModel(request.Chat)))
	mux.Handle("POST /v1/completions", g.authenticated(g.serveModel(request.Completion)))
	mux.Handle("GET /v1/models", g.authenticated(g.serveModels))
	mux.Handle("GET "+pathRequests+"{id}", g.authenticated(g.serveAttach))
	mux.Handle("/services/{service}/", g.authenticated(g.servePlain))
	mux.HandleFunc("/", notFound)
	return alice.New(g.recoverPanic).Then(mux)
}

// callerHandler serves a request of an authenticated organisation.
type callerHandler func(w http.ResponseWriter, r *http.Request, c caller)

// caller is who sent a request, and the configuration it is served under.
type caller struct {
	organisation string
	doc          *config.Document
}

func (g *Gateway) authenticated(next callerHandler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.counters.received.Inc(1)
		doc, ok := g.node.Document()
		if !ok {
			writeProblem(w, problem{status: http.StatusServiceUnavailable, kind: typeUnavailable,
				message: "no configuration yet", outcome: refusedOutcome(r), retryAfter: time.Second})
			return
		}
		organisation, ok := g.keys.organisation(doc, r.Header.Get("Authorization"))
		if !ok {
			writeProblem(w, problem{status: http.StatusUnauthorized, kind: typeAuthentication,
				message: "missing or unknown bearer key", outcome: refusedOutcome(r)})
			return
		}
		next(w, r, caller{organisation: organisation, doc: doc})
	})
}

// refusedOutcome returns the outcome of a call that is refused by the present
// configuration before its request is looked for. An earlier submission may
// have run under another configuration if the call names one.
func refusedOutcome(r *http.Request) request.Outcome {
	isAttach := r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, pathRequests)
	if isAttach || r.Header.Get(HeaderIdempotencyKey) != "" {
		return request.Unknown
	}
	return request.NotRun
}

func (g *Gateway) recoverPanic(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if cause == http.ErrAbortHandler {
				panic(cause)
			}
			g.log.Log(EvHandlerPanic, "path", r.URL.Path, "cause", cause)
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, problem{status: http.StatusNotFound, kind: typeInvalidRequest,
		message: "no such path: " + r.Method + " " + r.URL.Path})
}
