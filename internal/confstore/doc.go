// Package confstore stores and distributes the operators' document. The
// document is kept in the key-value service, where it changes by
// compare-and-swap, and nodes also send it to each other. The revision in force
// at a node never decreases.
package confstore
