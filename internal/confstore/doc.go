// Package confstore keeps the operators' document: in the key-value service,
// where it changes by compare-and-swap, and among peers, who pass it on. The
// revision in force at a node only rises.
package confstore
