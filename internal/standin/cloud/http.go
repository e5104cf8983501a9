package cloud

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornpick/internal/provider"
)

const maxBodyBytes = 1 << 20

type offerList struct {
	Offers []provider.Offer `json:"offers"`
}

type vmList struct {
	VMs []provider.VM `json:"vms"`
}

type noticeList struct {
	Notices []provider.Notice `json:"notices"`
}

type problem struct {
	Error problemBody `json:"error"`
}

type problemBody struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}

func (s *Server) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/offers", s.serveOffers)
	mux.HandleFunc("GET /v1/vms", s.serveList)
	mux.HandleFunc("POST /v1/vms", s.serveStart)
	mux.HandleFunc("DELETE /v1/vms/{id}", s.serveStop)
	mux.HandleFunc("GET /v1/notices", s.serveNotices)
	return mux
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	outage := s.faults.Outage
	s.mu.Unlock()
	if outage {
		writeProblem(w, http.StatusServiceUnavailable, "unavailable", "the platform is down")
		return
	}
	s.mux.ServeHTTP(w, r)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}

func writeProblem(w http.ResponseWriter, status int, kind, text string) {
	writeJSON(w, status, problem{problemBody{kind, text}})
}

func (s *Server) serveOffers(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	list := offerList{Offers: append([]provider.Offer{}, s.offers...)}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, list)
}

// serveList returns the list as of Settings.ListLag ago, with an entity tag.
func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	now := time.Now()
	s.dropOldListings(now)
	list := vmList{VMs: []provider.VM{}}
	if len(s.history) > 0 && !s.history[0].at.After(now.Add(-s.settings.ListLag)) {
		list.VMs = s.history[0].vms
	}
	s.mu.Unlock()
	data, err := json.Marshal(list)
	if err != nil {
		writeProblem(w, http.StatusInternalServerError, "internal", err.Error())
		return
	}
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(data), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

var (
	errCapacity          = errors.New("no capacity")
	errSpecMismatch      = errors.New("operationId was used for another spec")
	errNoOffer           = errors.New("no such offer")
	errTooManyOperations = errors.New("too many operations")
)

func (s *Server) serveStart(w http.ResponseWriter, r *http.Request) {
	var spec provider.VMSpec
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&spec); err != nil {
		writeProblem(w, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	if spec.OperationID == "" {
		writeProblem(w, http.StatusBadRequest, "invalid", "operationId is missing")
		return
	}
	vm, err := s.start(spec)
	s.loseAnswer()
	switch err {
	case nil:
		writeJSON(w, http.StatusCreated, vm)
	case errCapacity, errTooManyOperations:
		w.Header().Set("Retry-After", "5")
		writeProblem(w, http.StatusServiceUnavailable, "capacity", err.Error())
	case errSpecMismatch:
		writeProblem(w, http.StatusConflict, "conflict", err.Error())
	default:
		writeProblem(w, http.StatusBadRequest, "invalid", err.Error())
	}
}

// start starts a VM. A failed start does not use up its operationId.
func (s *Server) start(spec provider.VMSpec) (provider.VM, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if op, ok := s.operations[spec.OperationID]; ok {
		if op.spec != spec {
			return provider.VM{}, errSpecMismatch
		}
		return s.vms[op.vm].VM, nil
	}
	offer, ok := s.offer(spec)
	if !ok {
		return provider.VM{}, errNoOffer
	}
	if s.refusals[capacityPool{spec.Zone, spec.Class}] || s.refusals[capacityPool{spec.Zone, ""}] {
		return provider.VM{}, errCapacity
	}
	if len(s.operations) >= maxOperations {
		return provider.VM{}, errTooManyOperations
	}
	s.started++
	now := time.Now()
	m := &machine{startedAt: now, liveAt: now.Add(s.settings.StartTime), VM: provider.VM{
		ID: "vm-" + strconv.Itoa(s.started), Zone: spec.Zone, Class: spec.Class, State: provider.VMStarting,
		Service: spec.Service, Reclaimable: spec.Reclaimable,
		PricePerHour: offer.PricePerHour, Accelerators: offer.Accelerators,
	}}
	s.vms[m.ID] = m
	s.operations[spec.OperationID] = operation{spec: spec, vm: m.ID}
	s.recordChange()
	return m.VM, nil
}

// offer returns the offer that matches spec.
func (s *Server) offer(spec provider.VMSpec) (provider.Offer, bool) {
	for _, o := range s.offers {
		if o.Zone == spec.Zone && o.Class == spec.Class && o.Reclaimable == spec.Reclaimable {
			return o, true
		}
	}
	return provider.Offer{}, false
}

func (s *Server) serveStop(w http.ResponseWriter, r *http.Request) {
	s.stop(r.PathValue("id"))
	s.loseAnswer()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) stop(id string) {
	s.mu.Lock()
	m, ok := s.vms[id]
	if !ok || m.State == provider.VMTerminated {
		s.mu.Unlock()
		return
	}
	s.end(m, time.Now())
	s.recordChange()
	vm := m.VM
	s.mu.Unlock()
	s.notifyTerminated(vm)
}

// loseAnswer drops the connection of a call that has taken effect, if
// Faults.LoseAnswers is set.
func (s *Server) loseAnswer() {
	s.mu.Lock()
	lose := s.faults.LoseAnswers
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) serveNotices(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "invalid", "after is not a number")
		return
	}
	wait, err := strconv.Atoi(cmp.Or(query.Get("wait"), "0"))
	if err != nil || wait < 0 {
		writeProblem(w, http.StatusBadRequest, "invalid", "wait is not a number of milliseconds")
		return
	}
	timeout := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWait))
	defer timeout.Stop()
	for {
		list, noticed := s.noticesAfter(after)
		if len(list) > 0 || wait == 0 {
			writeJSON(w, http.StatusOK, noticeList{Notices: list})
			return
		}
		select {
		case <-noticed:
		case <-timeout.C:
			writeJSON(w, http.StatusOK, noticeList{Notices: list})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// noticesAfter returns the notices with a sequence number above after, and a
// channel that is closed when more notices are added.
func (s *Server) noticesAfter(after int64) ([]provider.Notice, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []provider.Notice{}
	for _, n := range s.notices {
		if n.Sequence > after {
			list = append(list, n)
		}
	}
	return list, s.noticeAdded
}
