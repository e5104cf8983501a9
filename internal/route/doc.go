// Package route selects the backend server that runs a request.
//
// A Picker serves one service on one entry node. It does no I/O and reads no
// clock: callers pass the current time, so the same code runs in production, in
// tests and in the policy experiment. The cost of a candidate server is in
// milliseconds: the predicted time to the first token, plus a penalty for
// approaching or missing the first-token target, plus the weighted cost of
// prompt tokens to recompute, plus the price term.
package route
