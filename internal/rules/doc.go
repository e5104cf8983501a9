// Package rules compiles the ordered list of when-then rules in the configuration
// document. The first rule that matches a request determines its outcome. The
// package does no I/O and reads no clock.
package rules
