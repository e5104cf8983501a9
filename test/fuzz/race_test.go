//go:build race

package fuzz

// maxBubbles bounds the bubbles that run together: with many of them the race
// detector's runtime of Go 1.26 crashes in runtime.(*timer).modify.
const maxBubbles = 3
