// Package cloud is a small fake of the cloud API that starts, stops and reclaims
// VMs.
//
// # Protocol
//
//   - GET /v1/offers returns {"offers": [...]}.
//   - POST /v1/vms with a VMSpec starts a VM and returns it. Repeating an
//     operationId returns the same VM. A start without capacity is 503 with the
//     error type "capacity"; an operationId that was used for another spec is
//     409.
//   - GET /v1/vms returns {"vms": [...]} as of Settings.ListLag ago, with an
//     ETag. With that tag in If-None-Match the answer is 304 while the list is
//     unchanged.
//   - DELETE /v1/vms/{id} stops a VM. Stopping an unknown or terminated VM
//     is not an error.
//   - GET /v1/notices?after=n&wait=ms returns {"notices": [...]} with the
//     reclaim notices whose sequence number is above n. If there are none, it
//     waits for up to ms milliseconds (long polling).
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

// Settings configures a cloud. Zero fields take their defaults.
type Settings struct {
	// Offers are the VM classes on sale, with their prices.
	Offers []provider.Offer
	// StartTime is the time from a VM's start until it is live; default 2 s.
	StartTime time.Duration
	// ListLag is the staleness of the VM list; default 1 s.
	ListLag time.Duration
	// OnLive is called, without locks held, when a started VM becomes live; it
	// returns the address of the server on the VM.
	OnLive func(provider.VM) (address string)
	// OnTerminated is called, without locks held, when a VM is terminated: at
	// its reclaim deadline or when it is stopped. It may be called twice for a VM
	// that is stopped during OnLive.
	OnTerminated func(provider.VM)
}

// Limits of the kept notices and operations, and of the wait for notices.
const (
	maxNotices    = 10000
	maxOperations = 100000
	maxWait       = time.Minute
)

// Faults are the injected faults; Server.SetFaults changes them at any time.
type Faults struct {
	// Outage rejects every call with 503 before it takes effect.
	Outage bool
	// LoseAnswers drops the connections of starts and stops without a response,
	// after they have taken effect.
	LoseAnswers bool
}

// Server is a cloud. It implements http.Handler; VMs become live and reach their
// deadlines only while Run is running.
type Server struct {
	settings Settings
	mux      *http.ServeMux
	wake     chan struct{} // capacity 1: tells Run that the schedule has changed

	mu          sync.Mutex
	faults      Faults
	offers      []provider.Offer
	refusals    map[capacityPool]bool
	vms         map[string]*machine
	operations  map[string]operation
	history     []listing // oldest first; the last one is current
	notices     []provider.Notice
	sequence    int64
	waves       int
	started     int
	noticeAdded chan struct{} // closed and replaced when notices are added
	endedCost   float64       // cost of terminated VMs
}

// capacityPool identifies the VMs of one class in one zone.
type capacityPool struct{ zone, class string }

// operation records the VM that an operationId started.
type operation struct {
	spec provider.VMSpec
	vm   string
}

// listing is the list of VMs from a point in time on.
type listing struct {
	at  time.Time
	vms []provider.VM
}

// machine is a VM with the times of its next state changes; a zero time means
// that none is scheduled.
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
		settings: settings, wake: make(chan struct{}, 1), noticeAdded: make(chan struct{}),
		offers: slices.Clone(settings.Offers), refusals: map[capacityPool]bool{},
		vms: map[string]*machine{}, operations: map[string]operation{},
	}
	s.mux = s.routes()
	return s
}

// Add adds a VM in the given state, or a live one if vm.State is empty. The
// published list contains it at once, without the lag.
func (s *Server) Add(vm provider.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if vm.State == "" {
		vm.State = provider.VMLive
	}
	s.vms[vm.ID] = &machine{VM: vm, startedAt: time.Now()}
	s.recordChange()
	s.history[len(s.history)-1].at = time.Time{}
	s.history = s.history[len(s.history)-1:]
}

// VMs returns the current list without lag, ordered by ID. It includes
// terminated VMs.
func (s *Server) VMs() []provider.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentVMs()
}

// Cost returns the cost of all VMs so far. The price of a VM is the one at its
// start.
func (s *Server) Cost() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := s.endedCost
	now := time.Now()
	for _, m := range s.vms {
		if m.State != provider.VMTerminated {
			total += m.costUntil(now)
		}
	}
	return total
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetPrice changes the price of an offer. The price of running VMs stays.
func (s *Server) SetPrice(zone, class string, reclaimable bool, perHour float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, o := range s.offers {
		if o.Zone == zone && o.Class == class && o.Reclaimable == reclaimable {
			s.offers[i].PricePerHour = perHour
		}
	}
}

// SetRefusal sets whether starts of a class in a zone fail for lack of capacity;
// an empty class means all classes.
func (s *Server) SetRefusal(zone, class string, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusals[capacityPool{zone, class}] = refuse
}

// Reclaim sends a reclaim notice for a VM. It returns false if the VM does not
// exist, or is leaving or terminated already.
func (s *Server) Reclaim(id string, notice time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.vms[id]
	if !ok || !m.canReclaim() {
		return false
	}
	s.addNotices([]*machine{m}, notice, "")
	return true
}

// ReclaimZone sends reclaim notices of one wave for every reclaimable VM of a
// zone and returns their IDs.
func (s *Server) ReclaimZone(zone string, notice time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reclaimed []*machine
	var ids []string
	for _, vm := range s.currentVMs() {
		m := s.vms[vm.ID]
		if m.Zone == zone && m.Reclaimable && m.canReclaim() {
			reclaimed = append(reclaimed, m)
			ids = append(ids, m.ID)
		}
	}
	s.waves++
	s.addNotices(reclaimed, notice, "wave-"+strconv.Itoa(s.waves))
	return ids
}

func (m *machine) canReclaim() bool {
	return m.State == provider.VMLive || m.State == provider.VMStarting
}

func (m *machine) costUntil(t time.Time) float64 {
	return m.PricePerHour * t.Sub(m.startedAt).Hours()
}

// addNotices publishes the notices of one wave and schedules the terminations.
func (s *Server) addNotices(reclaimed []*machine, notice time.Duration, wave string) {
	if len(reclaimed) == 0 {
		return
	}
	deadline := time.Now().Add(notice)
	for _, m := range reclaimed {
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
	close(s.noticeAdded)
	s.noticeAdded = make(chan struct{})
	s.recordChange()
}

// currentVMs returns the VMs ordered by ID.
func (s *Server) currentVMs() []provider.VM {
	list := make([]provider.VM, 0, len(s.vms))
	for _, m := range s.vms {
		list = append(list, m.VM)
	}
	slices.SortFunc(list, func(a, b provider.VM) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// recordChange appends the current list to the history and wakes Run.
func (s *Server) recordChange() {
	now := time.Now()
	s.history = append(s.history, listing{at: now, vms: s.currentVMs()})
	s.dropOldListings(now)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// dropOldListings drops the listings that are older than the published one.
func (s *Server) dropOldListings(now time.Time) {
	cutoff := now.Add(-s.settings.ListLag)
	for len(s.history) > 1 && !s.history[1].at.After(cutoff) {
		s.history = s.history[1:]
	}
}
