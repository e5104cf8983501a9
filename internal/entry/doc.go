// Package entry composes one entry node: the callers' gateway, the owner's
// dispatcher, membership, claims, configuration and the inner protocol.
package entry
