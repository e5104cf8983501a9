// Package engine is a small fake of a language-model engine with continuous
// batching, a bounded prefix cache and deterministic answers that a test can
// verify.
//
// # Protocol
//
// It speaks the OpenAI HTTP API: POST /v1/chat/completions, POST
// /v1/completions (whole or as server-sent events, with
// stream_options.include_usage) and GET /v1/models. Extensions:
//
//   - Request header X-Attempt-Id names the attempt. Without it the engine
//     assigns an ID. The response to a completion carries the ID in the
//     same header. A second POST with the ID of a known attempt gets 409.
//   - Request header X-Priority (high, normal, low) orders the waiting queue.
//   - Server-sent events carry "id: n" with n = 1, 2, 3 and so on.
//   - An attempt keeps running when its connection drops.
//   - GET /v1/streams/{attempt} with Last-Event-ID: n replays and follows the
//     events after n; 404 if the attempt is unknown. Finished attempts can
//     be resumed for Settings.KeepFinished.
//   - DELETE /v1/streams/{attempt} cancels the attempt.
//   - Body field "continuation": {"text", "tokens", "after"} continues an
//     answer that another engine began. It costs a prefill of the prompt and
//     of the given tokens, except cached ones. Events are numbered from after+1.
//   - The usage counts the whole answer, including the tokens of a continuation;
//     prompt_tokens_details.computed_tokens is the number that the attempt
//     prefilled.
//   - GET /v1/kv/{attempt} exports the attempt's KV cache as an opaque blob,
//     POST /v1/kv imports it.
//   - Response header endpoint-load-metrics carries a load report in the JSON
//     form of ORCA; GET /metrics/load returns the same object.
//   - GET /v1/cache/events?after=n lists stored and evicted cache blocks. A
//     gap in the sequence numbers means that events were lost.
//   - POST /v1/orders changes the model, adapter or role.
//   - A 503 or 429 with X-Not-Run: true means that the request was not run.
//
// A crashed engine drops every open connection, and each new request without a
// response. A test that needs new connections to be refused closes the listener
// in Settings.OnCrash.
//
// # Answers
//
// A token is a word. The first token is a hash of the prompt and a salt, each
// later one a hash of the prompt and the previous token. Text mixed from two
// executions therefore breaks the hash chain, which VerifyText detects.
package engine
