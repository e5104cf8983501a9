package kv

import (
	"encoding/json"
	"net/http"
	"time"

	"buckthornpick/internal/kv/etcd/wire"
)

// The do methods execute the calls. They run with Server.mu held.

func (s *Server) header() wire.Header { return wire.Header{Revision: s.state.revision} }

func (s *Server) doRange(r *wire.RangeRequest) (wire.RangeResponse, error) {
	kvs := s.state.read(r.Key, r.RangeEnd)
	return wire.RangeResponse{Header: s.header(), Kvs: kvs, Count: int64(len(kvs))}, nil
}

func (s *Server) doPut(r *wire.PutRequest) (wire.PutResponse, error) {
	if err := s.checkPut(r); err != nil {
		return wire.PutResponse{}, err
	}
	s.state.put(s.state.revision+1, r)
	return wire.PutResponse{Header: s.header()}, nil
}

func (s *Server) doDeleteRange(r *wire.DeleteRangeRequest) (wire.DeleteRangeResponse, error) {
	n := s.state.deleteRange(s.state.revision+1, r.Key, r.RangeEnd)
	return wire.DeleteRangeResponse{Header: s.header(), Deleted: int64(n)}, nil
}

func (s *Server) doTxn(r *wire.TxnRequest) (wire.TxnResponse, error) {
	if err := s.checkTxn(r); err != nil {
		return wire.TxnResponse{}, err
	}
	succeeded := s.state.compareAll(r.Compare)
	ops := r.Success
	if !succeeded {
		ops = r.Failure
	}
	s.state.apply(ops)
	return wire.TxnResponse{Header: s.header(), Succeeded: succeeded}, nil
}

func (s *Server) checkTxn(r *wire.TxnRequest) error {
	for _, c := range r.Compare {
		if c.Result != "EQUAL" || c.Target != "MOD" && c.Target != "CREATE" {
			return invalid("only EQUAL comparisons of MOD and CREATE are served")
		}
	}
	for _, ops := range [][]wire.RequestOp{r.Success, r.Failure} {
		if len(ops) > maxTxnOps {
			return invalid("etcdserver: too many operations in txn request")
		}
		written := map[string]bool{}
		for _, op := range ops {
			if op.Put == nil {
				continue
			}
			if err := s.checkPut(op.Put); err != nil {
				return err
			}
			if written[string(op.Put.Key)] {
				return invalid("etcdserver: duplicate key given in txn request")
			}
			written[string(op.Put.Key)] = true
		}
	}
	return nil
}

func (s *Server) checkPut(p *wire.PutRequest) error {
	if len(p.Key) == 0 {
		return invalid("etcdserver: key is not provided")
	}
	if len(p.Value) > MaxValueBytes {
		return invalid("etcdserver: request is too large")
	}
	if p.Lease != 0 && s.state.leases[p.Lease] == nil {
		return errNoLease
	}
	return nil
}

func (s *Server) doGrant(r *wire.LeaseRequest) (wire.LeaseResponse, error) {
	if r.TTL <= 0 {
		return wire.LeaseResponse{}, invalid("etcdserver: lease TTL must be above 0")
	}
	l := s.state.grant(time.Duration(r.TTL)*time.Second, time.Now())
	return wire.LeaseResponse{Header: s.header(), ID: l.id, TTL: r.TTL}, nil
}

func (s *Server) doKeepAlive(r *wire.LeaseRequest) (wire.KeepAliveResponse, error) {
	resp := wire.LeaseResponse{Header: s.header(), ID: r.ID}
	if l := s.state.leases[r.ID]; l != nil && time.Now().Before(l.expires) {
		l.expires = time.Now().Add(l.ttl)
		resp.TTL = int64(l.ttl / time.Second)
	}
	return wire.KeepAliveResponse{Result: resp}, nil
}

func (s *Server) doRevoke(r *wire.LeaseRequest) (wire.LeaseResponse, error) {
	l := s.state.leases[r.ID]
	if l == nil {
		return wire.LeaseResponse{}, errNoLease
	}
	s.state.endLease(l)
	return wire.LeaseResponse{Header: s.header()}, nil
}

// serveWatch streams the changes of a range until the client disconnects or an
// outage begins.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	var req wire.WatchRequest
	if !s.admit(w, r, "watch", false, &req) {
		return
	}
	s.Faults.wait(false)
	outage := s.Faults.outageSignal()
	send := func(result wire.WatchResult) {
		_ = json.NewEncoder(w).Encode(wire.WatchResponse{Result: result})
		_ = http.NewResponseController(w).Flush()
	}
	s.mu.Lock()
	next := req.Create.StartRevision
	if next == 0 {
		next = s.state.revision + 1
	}
	header := s.header()
	s.mu.Unlock()
	send(wire.WatchResult{Header: header, Created: true})
	for {
		s.mu.Lock()
		compacted, grown, header := s.state.compacted, s.state.historyGrown, s.header()
		var events []wire.Event
		if next > compacted {
			events = s.state.since(next, req.Create.Key, req.Create.RangeEnd)
		}
		s.mu.Unlock()
		if next <= compacted {
			send(wire.WatchResult{Header: header, Canceled: true, CompactRevision: compacted})
			return
		}
		if len(events) > 0 {
			send(wire.WatchResult{Header: header, Events: events})
		}
		next = header.Revision + 1
		select {
		case <-grown:
		case <-outage:
			return
		case <-r.Context().Done():
			return
		}
	}
}
