// Package slopes measures how the control traffic, processor time, memory and
// store calls of entry nodes grow with the size of the site. It runs real entry
// nodes, or single components of them, in one process at several sizes, over an
// in-memory network and the platform's stand-ins, and fits a line to each
// quantity.
//
// Byte counts are application data without TCP and IP headers. Processor time
// is that of the whole process including the stand-ins, so it is an upper bound
// for the nodes.
package slopes
