package planner_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests with GOMAXPROCS=1. With more, the runtime of the race
// detector (Go 1.26.8) crashes when a synctest bubble fires very many timers.
// Goroutines still switch at every blocking call, and the detector observes the
// same ordering of events.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
