// Package provider describes what the cloud platform offers: VMs, their list,
// their lifecycle and reclaim notices. Adapters speak HTTP to the platform.
package provider

import (
	"context"
	"time"
)

// VMState is the state of a VM as the platform reports it.
type VMState string

// VM states.
const (
	VMStarting   VMState = "starting"
	VMLive       VMState = "live"
	VMLeaving    VMState = "leaving"
	VMTerminated VMState = "terminated"
)

// VM is one machine of the site. Backend servers are VMs with a Service.
type VM struct {
	ID      string  `json:"id" msgpack:"id"`
	Zone    string  `json:"zone" msgpack:"z"`
	Class   string  `json:"class" msgpack:"c"`
	State   VMState `json:"state" msgpack:"s"`
	Service string  `json:"service,omitempty" msgpack:"v,omitempty"`
	// Address is "host:port" of the backend server's HTTP interface.
	Address string `json:"address,omitempty" msgpack:"a,omitempty"`
	// Reclaimable VMs can be taken back with seconds of notice.
	Reclaimable bool `json:"reclaimable" msgpack:"r"`
	// PricePerHour is in the currency of the site's bill.
	PricePerHour float64 `json:"pricePerHour" msgpack:"p"`
	// Accelerators is the number of accelerators on the VM.
	Accelerators int `json:"accelerators,omitempty" msgpack:"n,omitempty"`
}

// Notice announces that a VM will be taken back at Deadline.
type Notice struct {
	// Sequence orders the notices of one platform; it starts at 1.
	Sequence int64     `json:"sequence" msgpack:"q"`
	VM       string    `json:"vm" msgpack:"v"`
	Zone     string    `json:"zone" msgpack:"z"`
	Deadline time.Time `json:"deadline" msgpack:"d"`
	// Wave is the same for VMs that are taken back together.
	Wave string `json:"wave,omitempty" msgpack:"w,omitempty"`
}

// VMSpec asks for a new VM.
type VMSpec struct {
	// OperationID makes the start idempotent.
	OperationID string `json:"operationId"`
	Zone        string `json:"zone"`
	Class       string `json:"class"`
	Reclaimable bool   `json:"reclaimable"`
	Service     string `json:"service"`
}

// Offer is a VM class that a zone sells, with its current price.
type Offer struct {
	Zone         string  `json:"zone"`
	Class        string  `json:"class"`
	Reclaimable  bool    `json:"reclaimable"`
	PricePerHour float64 `json:"pricePerHour"`
	Accelerators int     `json:"accelerators"`
}

// Lister returns the VM list. The list lags behind the platform.
type Lister interface {
	ListVMs(ctx context.Context) ([]VM, error)
}

// NoticeSource waits for reclaim notices after the given sequence number.
type NoticeSource interface {
	Notices(ctx context.Context, after int64) ([]Notice, error)
}

// Cloud starts and stops VMs. A refused start is an error of type
// fault.Exhausted.
type Cloud interface {
	Offers(ctx context.Context) ([]Offer, error)
	StartVM(ctx context.Context, spec VMSpec) (VM, error)
	StopVM(ctx context.Context, id string) error
}
