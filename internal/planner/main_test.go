package planner_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor. With more, the race detector's own
// runtime (Go 1.26.8) crashes when a bubble fires very many timers; goroutines
// still switch at every blocking call, and the detector sees the same order of
// events.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
