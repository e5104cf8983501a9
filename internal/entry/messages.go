package entry

import (
	"buckthornpick/internal/dispatch"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/request"
)

// submitMsg opens a Submit stream, which brings a request to its owner.
type submitMsg struct {
	Request *request.Request `msgpack:"r"`
	// After is the sequence number of the last event that the caller has received.
	After int `msgpack:"a,omitempty"`
	// Received is the part of the answer that the ingress has from a lost owner.
	Received request.Received `msgpack:"d"`
}

// attachMsg opens an Attach stream, which delivers the answer of a known request.
type attachMsg struct {
	Organisation string     `msgpack:"o"`
	ID           request.ID `msgpack:"i"`
	After        int        `msgpack:"a,omitempty"`
	// IsLocal restricts the search to the receiving node's own records.
	IsLocal bool `msgpack:"l,omitempty"`
}

// answerMsg is one message of an answer: any number of its parts. The first message
// holds only Info.
type answerMsg struct {
	Info       *request.Info   `msgpack:"i,omitempty"`
	Head       *request.Head   `msgpack:"h,omitempty"`
	Events     []request.Event `msgpack:"e,omitempty"`
	End        *request.End    `msgpack:"d,omitempty"`
	HandedOver bool            `msgpack:"o,omitempty"`
}

// locateMsg asks which node has the record of a request.
type locateMsg struct {
	ID request.ID `msgpack:"i"`
	// Hops is how many times the message may be forwarded.
	Hops int `msgpack:"h,omitempty"`
}

// locateReply is the reply to a locateMsg.
type locateReply struct {
	Found bool      `msgpack:"f"`
	At    peer.Node `msgpack:"a"`
	// IsInconclusive is set if a node that may have the record did not reply.
	IsInconclusive bool `msgpack:"u,omitempty"`
}

// transferMsg hands requests over to their new owner.
type transferMsg struct {
	Transfers []dispatch.Transfer `msgpack:"t"`
}

// transferReply is the reply to a transferMsg.
type transferReply struct {
	// Adopted counts the requests that the new owner now holds.
	Adopted int `msgpack:"n"`
}
