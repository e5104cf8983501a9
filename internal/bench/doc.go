// Package bench measures the overhead that an entry adds to streamed answers. It
// sends the same calls to the stand-in engines directly, through one entry, and
// through an entry that does not own the request and relays it, over TCP on
// loopback.
//
// The engines record when they accept a request and generate each event, so that
// the delays exclude the engines' own time:
//
//   - the delay of an event is the time from its generation to its receipt by
//     the caller;
//   - the delay of a first token is the time from the call to the engine's
//     acceptance plus the delay of the first event.
package bench
