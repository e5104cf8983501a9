// Package engine is a small fake of a model engine with continuous batching,
// a bounded prefix cache and deterministic answers that an oracle can check.
//
// # Protocol
//
// It speaks the OpenAI HTTP API: POST /v1/chat/completions, POST
// /v1/completions (whole or as server-sent events, with
// stream_options.include_usage) and GET /v1/models. Extensions:
//
//   - Request header X-Attempt-Id names the attempt. Without it the engine
//     makes one and returns it in the same header. A second POST with a known
//     attempt gets 409.
//   - Request header X-Priority (high, normal, low) orders the waiting queue.
//   - Server-sent events carry "id: n" with n = 1, 2, 3 and so on.
//   - An attempt goes on running when its connection drops.
//   - GET /v1/streams/{attempt} with Last-Event-ID: n replays and follows the
//     events after n; 404 if the attempt is unknown. Finished attempts are
//     kept for Settings.KeepFinished.
//   - DELETE /v1/streams/{attempt} cancels.
//   - Body field "continuation": {"text", "tokens", "after"} goes on after
//     text that was generated elsewhere. It costs a prefill of the prompt and
//     the tokens, less cached ones. Events are numbered from after+1.
//   - The usage counts the whole answer, also after a continuation;
//     prompt_tokens_details.computed_tokens is what the attempt prefilled.
//   - GET /v1/kv/{attempt} exports the attempt's KV cache as an opaque blob,
//     POST /v1/kv imports it.
//   - Response header endpoint-load-metrics carries a load report in the JSON
//     form of ORCA; GET /metrics/load returns the same object.
//   - GET /v1/cache/events?after=n lists stored and evicted cache blocks. A
//     jump in the sequence numbers is a gap.
//   - POST /v1/orders changes the model, adapter or role.
//   - A 503 or 429 with X-Not-Run: true says that the request was not run.
//
// A crashed engine drops every connection and each new request unanswered. A
// test that wants new connections refused closes the listener in
// Settings.OnCrash.
//
// # Answers
//
// A token is a word. The first one is a hash of the prompt and a salt, each
// further one a hash of the prompt and the token before it. A mix of two
// executions therefore breaks the chain.
package engine
