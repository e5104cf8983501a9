// Package cloud is a small fake of the platform's cloud API.
//
// # Protocol
//
//   - GET /v1/offers returns {"offers": [...]}.
//   - POST /v1/vms with a VMSpec starts a VM and returns it. The same
//     operationId returns the same VM. A refused start is 503 with the error
//     type "capacity"; an operationId that was used for another spec is 409.
//   - GET /v1/vms returns {"vms": [...]} as of Settings.ListLag ago, with an
//     ETag; with that tag in If-None-Match it is 304 while the list is the same.
//   - DELETE /v1/vms/{id} stops a VM; an unknown or stopped VM is no error.
//   - GET /v1/notices?after=n&wait=ms returns {"notices": [...]} with a
//     sequence above n, and waits for one for up to ms milliseconds.
package cloud

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"buckthornpick/internal/provider"
)

// Settings of a cloud. Zero fields take their defaults.
type Settings struct {
	// Offers are sold from the start.
	Offers []provider.Offer
	// StartTime is the time from a VM's start until it is live; default 2 s.
	StartTime time.Duration
	// ListLag is how far the VM list lags; default 1 s.
	ListLag time.Duration
	// OnLive is called, without locks, when a started VM becomes live; it
	// returns the address of the VM's server.
	OnLive func(provider.VM) (address string)
	// OnTerminated is called, without locks, when a VM ends: at its deadline
	// or when it is stopped. It may be called twice for a VM that is stopped
	// during OnLive.
	OnTerminated func(provider.VM)
}

// Bounds of what is kept.
const (
	maxNotices    = 10000
	maxOperations = 100000
	maxWait       = time.Minute
)

// Faults are switched on and off at any time with Server.SetFaults.
type Faults struct {
	// Outage answers 503 to every call without effect.
	Outage bool
	// LoseAnswers lets starts and stops take effect and drops their
	// connections unanswered.
	LoseAnswers bool
}

// Server is a cloud. It is an http.Handler; VMs become live and end while Run
// runs.
type Server struct {
	settings Settings
	mux      *http.ServeMux
	wake     chan struct{} // capacity 1: the schedule has changed

	mu         sync.Mutex
	faults     Faults
	offers     []provider.Offer
	refusals   map[place]bool
	vms        map[string]*machine
	operations map[string]operation
	history    []listing // oldest first; the last one is the present
	notices    []provider.Notice
	sequence   int64
	waves      int
	started    int
	noticed    chan struct{} // closed and replaced at each notice
	cost       float64       // of ended VMs
}

type place struct{ zone, class string }

type operation struct {
	spec provider.VMSpec
	vm   string
}

type listing struct {
	at  time.Time
	vms []provider.VM
}

// machine is a VM with its schedule; zero times are not scheduled.
type machine struct {
	provider.VM
	startedAt time.Time
	liveAt    time.Time
	deadline  time.Time
}

// New returns a cloud without VMs.
func New(settings Settings) *Server {
	if settings.StartTime == 0 {
		settings.StartTime = 2 * time.Second
	}
	if settings.ListLag == 0 {
		settings.ListLag = time.Second
	}
	s := &Server{
		settings: settings, wake: make(chan struct{}, 1), noticed: make(chan struct{}),
		offers: slices.Clone(settings.Offers), refusals: map[place]bool{},
		vms: map[string]*machine{}, operations: map[string]operation{},
	}
	s.mux = s.routes()
	return s
}

// Add puts a VM on the platform that is already live. It shows in the list at
// once.
func (s *Server) Add(vm provider.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if vm.State == "" {
		vm.State = provider.VMLive
	}
	s.vms[vm.ID] = &machine{VM: vm, startedAt: time.Now()}
	s.changed()
	s.history[len(s.history)-1].at = time.Time{}
	s.history = s.history[len(s.history)-1:]
}

// VMs returns the true present list, ordered by ID, ended VMs included.
func (s *Server) VMs() []provider.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.present()
}

// Cost returns what all VMs have cost so far, at the price of their start.
func (s *Server) Cost() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := s.cost
	now := time.Now()
	for _, m := range s.vms {
		if m.State != provider.VMTerminated {
			total += m.costUntil(now)
		}
	}
	return total
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetPrice changes the price of an offer. Running VMs keep theirs.
func (s *Server) SetPrice(zone, class string, reclaimable bool, perHour float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, o := range s.offers {
		if o.Zone == zone && o.Class == class && o.Reclaimable == reclaimable {
			s.offers[i].PricePerHour = perHour
		}
	}
}

// SetRefusal makes starts of a class in a zone fail; an empty class stands for
// all classes.
func (s *Server) SetRefusal(zone, class string, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusals[place{zone, class}] = refuse
}

// Reclaim gives a VM notice. It reports whether the VM was there to take.
func (s *Server) Reclaim(id string, notice time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.vms[id]
	if !ok || !m.takeable() {
		return false
	}
	s.announce([]*machine{m}, notice, "")
	return true
}

// ReclaimZone gives notice to every reclaimable VM of a zone, as one wave, and
// returns their IDs.
func (s *Server) ReclaimZone(zone string, notice time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var taken []*machine
	var ids []string
	for _, vm := range s.present() {
		m := s.vms[vm.ID]
		if m.Zone == zone && m.Reclaimable && m.takeable() {
			taken = append(taken, m)
			ids = append(ids, m.ID)
		}
	}
	s.waves++
	s.announce(taken, notice, "wave-"+strconv.Itoa(s.waves))
	return ids
}

func (m *machine) takeable() bool {
	return m.State == provider.VMLive || m.State == provider.VMStarting
}

func (m *machine) costUntil(t time.Time) float64 {
	return m.PricePerHour * t.Sub(m.startedAt).Hours()
}

// announce sends the notices of one wave.
func (s *Server) announce(taken []*machine, notice time.Duration, wave string) {
	if len(taken) == 0 {
		return
	}
	deadline := time.Now().Add(notice)
	for _, m := range taken {
		m.State = provider.VMLeaving
		m.liveAt = time.Time{}
		m.deadline = deadline
		s.sequence++
		s.notices = append(s.notices, provider.Notice{
			Sequence: s.sequence, VM: m.ID, Zone: m.Zone, Deadline: deadline, Wave: wave,
		})
	}
	if len(s.notices) > maxNotices {
		s.notices = slices.Clone(s.notices[len(s.notices)-maxNotices:])
	}
	close(s.noticed)
	s.noticed = make(chan struct{})
	s.changed()
}

// present returns the VMs ordered by ID.
func (s *Server) present() []provider.VM {
	list := make([]provider.VM, 0, len(s.vms))
	for _, m := range s.vms {
		list = append(list, m.VM)
	}
	slices.SortFunc(list, func(a, b provider.VM) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// changed records the present list and wakes Run.
func (s *Server) changed() {
	now := time.Now()
	s.history = append(s.history, listing{at: now, vms: s.present()})
	s.forget(now)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// forget drops listings that are older than the published one.
func (s *Server) forget(now time.Time) {
	limit := now.Add(-s.settings.ListLag)
	for len(s.history) > 1 && !s.history[1].at.After(limit) {
		s.history = s.history[1:]
	}
}
