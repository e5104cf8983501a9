// Package route decides which backend server runs a request.
//
// A Picker serves one service at one entry. It does no I/O and has no clock:
// callers pass the time in, so the same code runs in production, in tests and
// in the policy experiment. The cost of a candidate is in milliseconds: the
// predicted time to the first token, plus the service's weight on prompt
// tokens that would be recomputed, plus the price term.
package route
