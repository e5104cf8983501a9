// Package bench measures in one run what an entry adds to a streamed answer:
// the same calls go to the stand-in engines directly, through one entry, and
// through an entry that is not the request's owner, over TCP on loopback.
//
// The engines note when they accept a request and generate an event, so that
// delays are free of the engines' own time:
//
//   - the delay of an event is the time from its generation to its receipt by
//     the caller;
//   - the delay of a first token is the time from the call to the engine's
//     acceptance, and the delay of the first event.
package bench
