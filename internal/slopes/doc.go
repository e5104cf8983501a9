// Package slopes measures how the control traffic, processor time, memory and
// store calls of entry nodes grow with the size of the site. It runs real entry
// nodes, or single components of them, in one process over an in-memory
// network and the platform's stand-ins, at several sizes, and fits lines.
//
// Bytes are those that the programs write to their connections, without the
// headers of TCP and IP. Processor time is that of the whole process, stand-ins
// included, so it is an upper bound for the nodes.
package slopes
