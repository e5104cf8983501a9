//go:build race

package fuzz

// maxBubbles bounds the synctest bubbles that run at the same time. With many
// bubbles under the race detector, the Go 1.26 runtime crashes in
// runtime.(*timer).modify.
const maxBubbles = 3
