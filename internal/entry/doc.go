// Package entry assembles an entry node, the node type that accepts callers'
// requests. The node at which a request arrives is its ingress; the node that owns
// the request's partition (its owner) dispatches it to backend servers and keeps
// its record. The package connects the callers' gateway, the dispatcher,
// membership, claims, configuration and the protocol between nodes.
package entry
