// Package gateway implements the HTTP API for callers: the OpenAI-compatible
// endpoints, calls of plain services, and re-attaching to an answer by request ID.
package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/justinas/alice"
	"github.com/rcrowley/go-metrics"

	"buckthornpick/internal/config"
	"buckthornpick/internal/membudget"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/request"
	"buckthornpick/internal/telemetry"
)

// Headers of the HTTP API.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderLastEventID    = "Last-Event-ID"
	HeaderRequestID      = "Buckthornpick-Request-Id"
	HeaderOutcome        = "Buckthornpick-Outcome"
	// HeaderNonRepeatable, if "true", marks a request that must run at most once.
	HeaderNonRepeatable = "Buckthornpick-Non-Repeatable"
	// HeaderContext names the conversation of a request. Requests of one
	// conversation are preferably sent to the same backend server.
	HeaderContext = "Buckthornpick-Context"
	// HeaderPriority is "high", "normal" or "low".
	HeaderPriority = "Buckthornpick-Priority"
)

// Answer is a stream of the parts of one request's answer.
type Answer interface {
	// Info returns the request's description.
	Info() request.Info
	// Next waits for the next part. It must not be called again after a part
	// with an End.
	Next(ctx context.Context) (request.Part, error)
	// Ready reports whether Next would return at once.
	Ready() bool
	// EnsureHandover returns once the node that now owns the request's
	// partition has the request, or when ctx ends. It is called before the
	// caller is redirected to another entry.
	EnsureHandover(ctx context.Context)
	// Close releases the answer. It does not cancel the request.
	Close()
}

// Node is the entry to which the gateway submits callers' requests.
type Node interface {
	// Document returns the current configuration; ok is false until the first
	// one has been loaded.
	Document() (doc *config.Document, ok bool)
	// GenerateRequestID returns a new request ID in a partition that this node
	// owns.
	GenerateRequestID() request.ID
	// Submit starts a request, or attaches to it if its ID is already known.
	// The answer begins with the first event after pos.
	Submit(ctx context.Context, r *request.Request, pos request.Position) (Answer, error)
	// Attach returns the answer of an existing request of the organisation,
	// beginning with the first event after pos.
	Attach(ctx context.Context, organisation string, id request.ID, pos request.Position) (Answer, error)
	// Leaving returns a channel that is closed when this VM is about to stop
	// and callers must attach to another entry.
	Leaving() <-chan struct{}
}

// Config holds the gateway's limits and intervals. Zero fields take their
// defaults.
type Config struct {
	// MaxBodyBytes bounds a request body. Default 4 MiB.
	MaxBodyBytes int64
	// BodyTimeout is the deadline for reading a request body. Default 30 s.
	BodyTimeout time.Duration
	// KeepAlive is the time without an event after which a keep-alive comment
	// is sent on an event stream. Default 15 s.
	KeepAlive time.Duration
	// RequestTimeout is the timeout of a request whose service sets none.
	// Default 10 min.
	RequestTimeout time.Duration
	// Memory bounds what callers' requests hold; nil is no bound.
	Memory *membudget.Budget
}

const (
	defaultMaxBodyBytes   = 4 << 20
	defaultBodyTimeout    = 30 * time.Second
	defaultKeepAlive      = 15 * time.Second
	defaultRequestTimeout = 10 * time.Minute
)

// WithDefaults returns c with its zero fields set to the defaults.
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

// Gateway authenticates callers, submits their requests to the node and writes
// the answers.
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

// pathRequests is the path prefix for attaching to a request; the request ID
// follows it.
const pathRequests = "/v1/requests/"

// Handler returns the HTTP handler for the callers' listener.
func (g *Gateway) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", g.authenticated(g.serveModel(request.Chat)))
	mux.Handle("POST /v1/completions", g.authenticated(g.serveModel(request.Completion)))
	mux.Handle("GET /v1/models", g.authenticated(g.serveModels))
	mux.Handle("GET "+pathRequests+"{id}", g.authenticated(g.serveAttach))
	mux.Handle("/services/{service}/", g.authenticated(g.servePlain))
	mux.HandleFunc("/", notFound)
	return alice.New(g.recoverPanic, netx.BoundUnreadBodies).Then(mux)
}

// callerHandler handles a request of an authenticated caller.
type callerHandler func(w http.ResponseWriter, r *http.Request, c caller)

// caller is the organisation that sent a request and the configuration that was
// current when the request was authenticated.
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

// refusedOutcome returns the outcome to report for a call that the current
// configuration rejects before its request is looked up. A call that names an
// existing request, by ID or idempotency key, has an unknown outcome: an earlier
// submission may have run under another configuration.
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
