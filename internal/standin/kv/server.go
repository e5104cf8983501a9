// Package kv is a small in-memory store that speaks the etcd v3 HTTP/JSON
// gateway: ordered keys, transactions, leases, watches. It counts calls and
// has settable faults.
package kv

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"buckthornpick/internal/kv/etcd/wire"
	"buckthornpick/internal/wait"
)

const (
	// MaxValueBytes is the largest value of a key.
	MaxValueBytes = 1 << 20
	// maxBodyBytes bounds one call.
	maxBodyBytes = 2 << 20
	// maxTxnOps bounds the operations of one transaction.
	maxTxnOps = 128
	// expiryInterval is how often lapsed leases are looked for.
	expiryInterval = 100 * time.Millisecond
)

// Server is the store. It implements http.Handler.
type Server struct {
	// Faults are the store's troubles.
	Faults *Faults
	mux    *http.ServeMux

	mu     sync.Mutex
	state  *state
	counts map[string]int64
}

// New returns an empty store. The seed decides which answers are lost.
func New(seed uint64) *Server {
	s := &Server{Faults: newFaults(seed), mux: http.NewServeMux(), state: newState(), counts: map[string]int64{}}
	s.mux.HandleFunc("POST "+wire.PathRange, call(s, "range", s.doRange))
	s.mux.HandleFunc("POST "+wire.PathPut, call(s, "put", s.doPut))
	s.mux.HandleFunc("POST "+wire.PathDeleteRange, call(s, "deleterange", s.doDeleteRange))
	s.mux.HandleFunc("POST "+wire.PathTxn, call(s, "txn", s.doTxn))
	s.mux.HandleFunc("POST "+wire.PathGrant, call(s, "grant", s.doGrant))
	s.mux.HandleFunc("POST "+wire.PathKeepAlive, call(s, "keepalive", s.doKeepAlive))
	s.mux.HandleFunc("POST "+wire.PathRevoke, call(s, "revoke", s.doRevoke))
	s.mux.HandleFunc("POST "+wire.PathWatch, s.serveWatch)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Run ends lapsed leases until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	for wait.For(ctx, expiryInterval) {
		if s.Faults.holdsLeases() {
			s.holdLeases()
			continue
		}
		s.mu.Lock()
		s.state.expire(time.Now())
		s.mu.Unlock()
	}
	return ctx.Err()
}

// holdLeases gives every lease its full time again, as a store does that
// elects a new leader after an outage.
func (s *Server) holdLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.state.leases {
		l.expires = time.Now().Add(l.ttl)
	}
}

// Calls returns the calls so far by kind ("range", "txn", "put",
// "deleterange", "grant", "keepalive", "revoke", "watch"). Refused calls
// count; a waiting watch counts as one.
func (s *Server) Calls() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counts)
}

// Compact forgets the events up to the present revision, so that a watch from
// an earlier one must read its range again.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.compact(s.state.revision)
}

// refusal is an error with its gRPC code.
type refusal struct {
	code    int
	message string
}

func (r *refusal) Error() string { return r.message }

func invalid(message string) error { return &refusal{wire.CodeInvalid, message} }

var errNoLease = &refusal{wire.CodeNotFound, "etcdserver: requested lease not found"}

// call decodes one call, puts it through the faults and answers it.
func call[Req, Resp any](s *Server, kind string, do func(*Req) (Resp, error)) http.HandlerFunc {
	write := kind != "range"
	return func(w http.ResponseWriter, r *http.Request) {
		var req Req
		if !s.admit(w, r, kind, write, &req) {
			return
		}
		s.Faults.wait(write)
		s.mu.Lock()
		resp, err := do(&req)
		s.mu.Unlock()
		if write && s.Faults.loseAnswer() {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			refuse(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(resp)
	}
}

// admit counts and decodes a call; false means that it was refused.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, kind string, write bool, req any) bool {
	s.mu.Lock()
	s.counts[kind]++
	s.mu.Unlock()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, req)
	}
	switch {
	case err != nil:
		refuse(w, invalid(err.Error()))
	case s.Faults.down():
		refuse(w, &refusal{wire.CodeUnavailable, "etcdserver: no leader"})
	case !s.Faults.allow(write):
		refuse(w, &refusal{wire.CodeExhausted, "etcdserver: too many requests"})
	default:
		return true
	}
	return false
}

func refuse(w http.ResponseWriter, err error) {
	r := &refusal{wire.CodeInvalid, err.Error()}
	errors.As(err, &r)
	status := map[int]int{
		wire.CodeInvalid:     http.StatusBadRequest,
		wire.CodeNotFound:    http.StatusNotFound,
		wire.CodeExhausted:   http.StatusTooManyRequests,
		wire.CodeUnavailable: http.StatusServiceUnavailable,
	}[r.code]
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(wire.Error{Message: r.message, Code: r.code})
}

// Peek returns a key's value and ModRevision past all faults and without
// counting a call; the revision is 0 if the key does not exist.
func (s *Server) Peek(key string) (value []byte, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.state.keys[key]; r != nil {
		return r.kv.Value, r.kv.ModRevision
	}
	return nil, 0
}
