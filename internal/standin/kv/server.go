// Package kv is a small in-memory store that serves the etcd v3 HTTP/JSON
// gateway API: ordered keys, transactions, leases and watches. It counts calls
// and can inject faults.
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
	// maxBodyBytes is the largest request body.
	maxBodyBytes = 2 << 20
	// maxTxnOps is the largest number of operations in each branch of a
	// transaction.
	maxTxnOps = 128
	// expiryInterval is the time between checks for expired leases.
	expiryInterval = 100 * time.Millisecond
)

// Server is the store. It implements http.Handler.
type Server struct {
	// Faults injects faults.
	Faults *Faults
	mux    *http.ServeMux

	mu     sync.Mutex
	state  *state
	counts map[string]int64
}

// New returns an empty store. seed seeds the random choice of the responses that
// LoseWriteAnswers drops.
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

// Run revokes expired leases until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	for wait.For(ctx, expiryInterval) {
		if s.Faults.leaseExpiryPaused() {
			s.renewLeases()
			continue
		}
		s.mu.Lock()
		s.state.expire(time.Now())
		s.mu.Unlock()
	}
	return ctx.Err()
}

// renewLeases restores the full TTL of every lease, as etcd does when it elects a
// new leader after an outage.
func (s *Server) renewLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.state.leases {
		l.expires = time.Now().Add(l.ttl)
	}
}

// Calls returns the number of calls so far by kind ("range", "txn", "put",
// "deleterange", "grant", "keepalive", "revoke", "watch"). Rejected calls
// count too; an open watch counts once.
func (s *Server) Calls() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counts)
}

// Compact discards the events up to the current revision, so that a watch from
// an earlier revision is cancelled and its client must read the range again.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.compact(s.state.revision)
}

// callError is an error with its gRPC status code.
type callError struct {
	code    int
	message string
}

func (e *callError) Error() string { return e.message }

func invalid(message string) error { return &callError{wire.CodeInvalid, message} }

var errNoLease = &callError{wire.CodeNotFound, "etcdserver: requested lease not found"}

// call returns a handler that decodes a call, applies the faults, executes the
// call with do and writes the response.
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
			writeError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(resp)
	}
}

// admit counts and decodes a call. It returns false if it rejected the call; the
// error response is written then.
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
		writeError(w, invalid(err.Error()))
	case s.Faults.inOutage():
		writeError(w, &callError{wire.CodeUnavailable, "etcdserver: no leader"})
	case !s.Faults.allow(write):
		writeError(w, &callError{wire.CodeExhausted, "etcdserver: too many requests"})
	default:
		return true
	}
	return false
}

func writeError(w http.ResponseWriter, err error) {
	callErr := &callError{wire.CodeInvalid, err.Error()}
	errors.As(err, &callErr)
	status := map[int]int{
		wire.CodeInvalid:     http.StatusBadRequest,
		wire.CodeNotFound:    http.StatusNotFound,
		wire.CodeExhausted:   http.StatusTooManyRequests,
		wire.CodeUnavailable: http.StatusServiceUnavailable,
	}[callErr.code]
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(wire.Error{Message: callErr.message, Code: callErr.code})
}

// Peek returns a key's value and ModRevision without applying faults or counting
// a call. The revision is 0 if the key does not exist.
func (s *Server) Peek(key string) (value []byte, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.state.keys[key]; r != nil {
		return r.kv.Value, r.kv.ModRevision
	}
	return nil, 0
}
