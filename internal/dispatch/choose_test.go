package dispatch

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"buckthornpick/internal/request"
	"buckthornpick/internal/telemetry"
)

// soleOwner owns all partitions.
type soleOwner struct{}

func (soleOwner) Self() string                        { return "entry-a-1" }
func (soleOwner) Incarnation() int64                  { return 3 }
func (soleOwner) OwnsPartition(int) bool              { return true }
func (soleOwner) LeaseLapsed() time.Duration          { return 0 }
func (soleOwner) AcquiredDirty(int) (time.Time, bool) { return time.Time{}, false }

// The answers of two runs with one attempt ID have one name, and were mixed.
func TestRepeatedRunOfARequestHasAnotherAttemptID(t *testing.T) {
	d := New(Config{}, Deps{Log: telemetry.Discard(), Registry: metrics.NewRegistry(), Ownership: soleOwner{}})
	r := &request.Request{ID: request.NewID("delta", "key"), Organisation: "delta", Repeatable: true}
	first := newExecution(d, request.NewRecord(r, 1<<20), r).newAttempt(attempt{})
	second := newExecution(d, request.NewRecord(r, 1<<20), r).newAttempt(attempt{})
	require.NotEqual(t, first.id, second.id)
	require.NotEqual(t, answerName(first.id), answerName(second.id))
}
