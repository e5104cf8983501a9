// Package etcd implements kv.Store over the etcd v3 HTTP/JSON gateway.
package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/kv/etcd/wire"
)

const (
	// DefaultTimeout is the default of Config.Timeout.
	DefaultTimeout = 2 * time.Second
	// maxErrorBytes is the maximum number of bytes read from an error response.
	maxErrorBytes = 64 << 10
)

// Config holds the settings of a Store.
type Config struct {
	// Endpoint is the base URL of the gateway, "http://host:port".
	Endpoint string
	// Timeout bounds one call and the opening of a watch; default 2 s.
	Timeout time.Duration
}

// Store is a kv.Store that calls one gateway endpoint. It starts no goroutines
// except one per open watch, which ends with the watch's context.
type Store struct {
	cfg      Config
	client   *http.Client
	registry metrics.Registry
}

var _ kv.Store = (*Store)(nil)

// New returns a store that calls cfg.Endpoint with client. Calls are counted
// in registry as "kv.calls.<kind>", failed ones also as "kv.errors.<kind>".
func New(cfg Config, client *http.Client, registry metrics.Registry) *Store {
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	return &Store{cfg: cfg, client: client, registry: registry}
}

// Get implements kv.Store.
func (s *Store) Get(ctx context.Context, key string) (kv.Entry, bool, error) {
	var resp wire.RangeResponse
	err := s.call(ctx, "get", wire.PathRange, wire.RangeRequest{Key: []byte(key)}, &resp)
	if err != nil || len(resp.Kvs) == 0 {
		return kv.Entry{}, false, err
	}
	return toEntry(resp.Kvs[0]), true, nil
}

// List implements kv.Store.
func (s *Store) List(ctx context.Context, prefix string) (kv.Snapshot, error) {
	var resp wire.RangeResponse
	req := wire.RangeRequest{Key: []byte(prefix), RangeEnd: wire.PrefixEnd([]byte(prefix))}
	if err := s.call(ctx, "list", wire.PathRange, req, &resp); err != nil {
		return kv.Snapshot{}, err
	}
	snap := kv.Snapshot{Revision: resp.Header.Revision, Entries: make([]kv.Entry, 0, len(resp.Kvs))}
	for _, e := range resp.Kvs {
		snap.Entries = append(snap.Entries, toEntry(e))
	}
	return snap, nil
}

// Txn implements kv.Store.
func (s *Store) Txn(ctx context.Context, guards []kv.Compare, ops []kv.Op) (kv.TxnResult, error) {
	var req wire.TxnRequest
	for _, g := range guards {
		req.Compare = append(req.Compare, wire.Compare{
			Result: "EQUAL", Target: "MOD", Key: []byte(g.Key), ModRevision: g.ModRevision,
		})
	}
	for _, op := range ops {
		req.Success = append(req.Success, toRequestOp(op))
	}
	var resp wire.TxnResponse
	if err := s.call(ctx, "txn", wire.PathTxn, req, &resp); err != nil {
		return kv.TxnResult{}, err
	}
	return kv.TxnResult{Succeeded: resp.Succeeded, Revision: resp.Header.Revision}, nil
}

// Grant implements kv.Store; ttl is rounded up to whole seconds.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var resp wire.LeaseResponse
	if err := s.call(ctx, "grant", wire.PathGrant, wire.LeaseRequest{TTL: seconds}, &resp); err != nil {
		return 0, err
	}
	return kv.LeaseID(resp.ID), nil
}

// KeepAlive implements kv.Store. A renewal is idempotent, so a lost response is
// fault.Unavailable, not fault.Ambiguous. An expired lease is fault.Conflict.
func (s *Store) KeepAlive(ctx context.Context, lease kv.LeaseID) error {
	var resp wire.KeepAliveResponse
	if err := s.call(ctx, "keepalive", wire.PathKeepAlive, wire.LeaseRequest{ID: int64(lease)}, &resp); err != nil {
		return err
	}
	if resp.Result.TTL <= 0 {
		return fault.New(fault.Conflict, "kv.keepalive", s.cfg.Endpoint, "lease %d has lapsed", lease)
	}
	return nil
}

// Revoke implements kv.Store. It is not an error if the lease no longer exists.
func (s *Store) Revoke(ctx context.Context, lease kv.LeaseID) error {
	var resp wire.LeaseResponse
	err := s.call(ctx, "revoke", wire.PathRevoke, wire.LeaseRequest{ID: int64(lease)}, &resp)
	if fault.Is(err, fault.Conflict) {
		return nil
	}
	return err
}

func toEntry(e wire.KeyValue) kv.Entry {
	return kv.Entry{
		Key: string(e.Key), Value: e.Value, Lease: kv.LeaseID(e.Lease),
		ModRevision: e.ModRevision, CreateRevision: e.CreateRevision,
	}
}

func toRequestOp(op kv.Op) wire.RequestOp {
	if op.Delete {
		return wire.RequestOp{DeleteRange: &wire.DeleteRangeRequest{Key: []byte(op.Key)}}
	}
	return wire.RequestOp{Put: &wire.PutRequest{Key: []byte(op.Key), Value: op.Value, Lease: int64(op.Lease)}}
}

// isIdempotent reports whether calls of this kind can safely be sent again, so that
// a lost response is not ambiguous.
func isIdempotent(kind string) bool {
	return kind == "get" || kind == "list" || kind == "keepalive" || kind == "watch"
}

// call sends one request and decodes the response.
func (s *Store) call(ctx context.Context, kind, path string, req, resp any) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Timeout)
	defer cancel()
	r, err := s.send(ctx, kind, path, req)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(data, resp)
	}
	if err != nil {
		return s.transportError(kind, true, err)
	}
	return nil
}

// send sends one request and returns the response if its status is 200; any other
// status is an error.
func (s *Store) send(ctx context.Context, kind, path string, req any) (*http.Response, error) {
	s.count("kv.calls." + kind)
	body, err := json.Marshal(req)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "kv."+kind, s.cfg.Endpoint, "encode")
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	httpReq, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, s.cfg.Endpoint+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "kv."+kind, s.cfg.Endpoint, "request")
	}
	httpReq.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(httpReq)
	if err != nil {
		return nil, s.transportError(kind, connected.Load(), err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, s.statusError(kind, resp)
	}
	return resp, nil
}

// transportError returns the error for a call without a complete response. sent is
// false if no connection was made, so that the request cannot have had an effect.
func (s *Store) transportError(kind string, sent bool, err error) error {
	s.count("kv.errors." + kind)
	errType := fault.Unavailable
	if sent && !isIdempotent(kind) {
		errType = fault.Ambiguous
	}
	return fault.Wrap(err, errType, "kv."+kind, s.cfg.Endpoint, "no answer")
}

// statusError returns the error for a response with a status other than 200.
func (s *Store) statusError(kind string, resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return s.transportError(kind, true, err)
	}
	s.count("kv.errors." + kind)
	var e wire.Error
	if err := json.Unmarshal(body, &e); err != nil {
		e.Message = string(body)
	}
	errType := fault.Invalid
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		errType = fault.Unavailable
	case e.Code == wire.CodeNotFound:
		errType = fault.Conflict
	case resp.StatusCode >= http.StatusInternalServerError:
		errType = fault.Unavailable
		// The service reports its own timeout with status 503 (unavailable), although
		// the write may have been replicated.
		if !isIdempotent(kind) && (resp.StatusCode != http.StatusServiceUnavailable || strings.Contains(e.Message, "timed out")) {
			errType = fault.Ambiguous
		}
	}
	return fault.Wrap(errors.New(e.Message), errType, "kv."+kind, s.cfg.Endpoint, "status %d", resp.StatusCode)
}

func (s *Store) count(name string) {
	metrics.GetOrRegisterCounter(name, s.registry).Inc(1)
}
