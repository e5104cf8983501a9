package engine

import (
	"encoding/json"
	"net/http"
	"slices"
)

// Order is a command that changes the models or the role of the engine.
type Order struct {
	FencingNumber int64  `json:"fencingNumber"`
	Action        string `json:"action"`
	Model         string `json:"model,omitempty"`
	Version       string `json:"version,omitempty"`
	Role          string `json:"role,omitempty"`
}

// Values of Order.Action.
const (
	LoadModel   = "load_model"
	LoadAdapter = "load_adapter"
	SetRole     = "set_role"
)

// maxOrders is the largest number of orders that Orders returns.
const maxOrders = 10000

type orderState struct {
	highestFencingNumber int64
	models               []string
	role                 string
	applied              []Order
}

// Models returns the loaded models and adapters.
func (s *Server) Models() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.orders.models...)
}

// Role returns the role set by the latest order, or "" if no order set one.
func (s *Server) Role() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders.role
}

// Orders returns a copy of the applied orders, oldest first.
func (s *Server) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order{}, s.orders.applied...)
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		writeProblem(w, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	if !o.valid() {
		writeProblem(w, http.StatusBadRequest, "invalid_request_error", "order lacks its model or role")
		return
	}
	if !s.apply(o) {
		writeProblem(w, http.StatusConflict, "fenced", "a higher fencing number was seen")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (o Order) valid() bool {
	switch o.Action {
	case LoadModel, LoadAdapter:
		return o.Model != ""
	case SetRole:
		return o.Role != ""
	}
	return false
}

// apply returns false if the order is rejected for its fencing number.
func (s *Server) apply(o Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settings.ChecksFencing && o.FencingNumber < s.orders.highestFencingNumber {
		return false
	}
	s.orders.highestFencingNumber = max(s.orders.highestFencingNumber, o.FencingNumber)
	if len(s.orders.applied) >= maxOrders {
		s.orders.applied = s.orders.applied[1:]
	}
	s.orders.applied = append(s.orders.applied, o)
	if o.Action == SetRole {
		s.orders.role = o.Role
		return true
	}
	name := o.Model
	if o.Version != "" {
		name += "@" + o.Version
	}
	if !slices.Contains(s.orders.models, name) {
		s.orders.models = append(s.orders.models, name)
	}
	return true
}
