// Package provider defines the interfaces to the cloud platform: listing,
// starting and stopping VMs, reclaim notices, and offers. Package cloudhttp
// implements them over HTTP.
package provider

import (
	"context"
	"time"
)

// VMState is the lifecycle state of a VM as reported by the platform.
type VMState string

// VM states.
const (
	VMStarting   VMState = "starting"
	VMLive       VMState = "live"
	VMLeaving    VMState = "leaving"
	VMTerminated VMState = "terminated"
)

// VM is one VM of the site. A VM with a Service is a backend server.
type VM struct {
	ID      string  `json:"id" msgpack:"id"`
	Zone    string  `json:"zone" msgpack:"z"`
	Class   string  `json:"class" msgpack:"c"`
	State   VMState `json:"state" msgpack:"s"`
	Service string  `json:"service,omitempty" msgpack:"v,omitempty"`
	// Address is the "host:port" of the backend server's HTTP interface.
	Address string `json:"address,omitempty" msgpack:"a,omitempty"`
	// Reclaimable is true if the platform can reclaim the VM, with a notice of a
	// few seconds.
	Reclaimable bool `json:"reclaimable" msgpack:"r"`
	// PricePerHour is in the currency in which the site is billed.
	PricePerHour float64 `json:"pricePerHour" msgpack:"p"`
	// Accelerators is the number of accelerators on the VM.
	Accelerators int `json:"accelerators,omitempty" msgpack:"n,omitempty"`
}

// Notice announces that the platform will reclaim a VM at Deadline.
type Notice struct {
	// Sequence numbers the notices of one platform in order, starting at 1.
	Sequence int64     `json:"sequence" msgpack:"q"`
	VM       string    `json:"vm" msgpack:"v"`
	Zone     string    `json:"zone" msgpack:"z"`
	Deadline time.Time `json:"deadline" msgpack:"d"`
	// Wave identifies a group of VMs that are reclaimed together.
	Wave string `json:"wave,omitempty" msgpack:"w,omitempty"`
}

// VMSpec describes a VM to start.
type VMSpec struct {
	// OperationID is the idempotency key of the start.
	OperationID string `json:"operationId"`
	Zone        string `json:"zone"`
	Class       string `json:"class"`
	Reclaimable bool   `json:"reclaimable"`
	Service     string `json:"service"`
}

// Offer is a VM class available in a zone, with its current price.
type Offer struct {
	Zone         string  `json:"zone"`
	Class        string  `json:"class"`
	Reclaimable  bool    `json:"reclaimable"`
	PricePerHour float64 `json:"pricePerHour"`
	Accelerators int     `json:"accelerators"`
}

// Lister lists the VMs of the site. The list may be stale.
type Lister interface {
	ListVMs(ctx context.Context) ([]VM, error)
}

// NoticeSource returns the reclaim notices with a sequence number above after.
// It waits a limited time for one if there is none.
type NoticeSource interface {
	Notices(ctx context.Context, after int64) ([]Notice, error)
}

// Cloud lists offers, and starts and stops VMs. If the platform refuses a start
// for lack of capacity, StartVM returns an error of type fault.Exhausted.
type Cloud interface {
	Offers(ctx context.Context) ([]Offer, error)
	StartVM(ctx context.Context, spec VMSpec) (VM, error)
	StopVM(ctx context.Context, id string) error
}
