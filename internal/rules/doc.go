// Package rules compiles the operators' ordered when-then list and decides the
// outcome of a request by its first matching rule. It does no I/O and reads no
// clock.
package rules
