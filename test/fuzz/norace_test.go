//go:build !race

package fuzz

// maxBubbles bounds the bubbles that run together.
const maxBubbles = 64
