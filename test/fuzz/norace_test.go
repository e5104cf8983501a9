//go:build !race

package fuzz

// maxBubbles bounds the synctest bubbles that run at the same time.
const maxBubbles = 64
