package confstore

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/config"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/telemetry"
)

func newTestStore(f *fakeStore) *Store { return New(Config{Self: "n1"}, f, telemetry.Discard(), nil) }

// documentWithService returns a document with one service, by whose name documents
// differ.
func documentWithService(service string) *config.Document {
	return &config.Document{
		Services: []config.Service{{Name: service, Kind: config.PlainService}},
		Rules:    []config.Rule{{Name: "all", Then: config.Then{Service: service}}},
	}
}

func newChange(service string, expected int64, operation string) Change {
	return Change{Document: documentWithService(service), Expected: expected, OperationID: operation}
}

// storedDocument returns the document in the fake store.
func storedDocument(t *testing.T, f *fakeStore) *config.Document {
	doc, err := decodeDocument(f.entries[DefaultKey].Value)
	require.NoError(t, err)
	return doc
}

func TestProposeResolvesLostResponses(t *testing.T) {
	tests := []struct {
		name   string
		faults []txnFault
	}{
		{"answered", nil},
		{"lost after the write", []txnFault{lostAfterApply}},
		{"lost before the write", []txnFault{lostBeforeApply}},
		{"lost twice", []txnFault{lostBeforeApply, lostAfterApply}},
		{"late", []txnFault{appliedLater}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFake()
				f.faults = tt.faults
				s := newTestStore(f)
				result, err := s.Propose(t.Context(), newChange("a", 0, "op1"))
				require.NoError(t, err)
				require.EqualValues(t, 1, result.Revision)
				// A copy of the transaction that arrives later must have no effect.
				writes := f.revision
				f.applyDelayed()
				require.Equal(t, writes, f.revision)
				current, ok := s.Current()
				require.True(t, ok)
				require.Equal(t, "op1", current.Document.OperationID)
				history, err := s.History(t.Context(), 0)
				require.NoError(t, err)
				require.Len(t, history, 1)
			})
		})
	}
}

// The first operator's write reaches the store only after the reads that looked for
// it and after another operator's change; its guard must fail.
func TestDelayedWriteDoesNotOverwriteAnotherChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		f.faults = []txnFault{appliedLater, appliedLater, appliedLater, appliedLater, appliedLater, appliedLater, appliedLater, appliedLater}
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := newTestStore(f).Propose(ctx, newChange("a", 0, "op1"))
		require.True(t, fault.Is(err, fault.Ambiguous), "%v", err)

		f.faults = nil
		_, err = newTestStore(f).Propose(t.Context(), newChange("b", 0, "op2"))
		require.NoError(t, err)
		f.applyDelayed()
		require.Equal(t, "op2", storedDocument(t, f).OperationID)

		_, err = newTestStore(f).Propose(t.Context(), newChange("a", 0, "op1"))
		var conflict *ConflictError
		require.ErrorAs(t, err, &conflict)
		require.True(t, fault.Is(err, fault.Conflict))
	})
}

// The response to the first write is lost, and the store is down until the call ends.
// The write takes effect later and another change follows. Proposing the first change
// again must return its revision and must not overwrite the other change.
func TestRetryResolvesAnAmbiguousChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		f.faults = []txnFault{appliedLater}
		f.beforeTxn = func() {
			if len(f.delayed) > 0 {
				f.setDown(true)
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := newTestStore(f).Propose(ctx, newChange("a", 0, "op1"))
		require.True(t, fault.Is(err, fault.Ambiguous), "%v", err)

		f.beforeTxn = nil
		f.setDown(false)
		f.applyDelayed()
		_, err = newTestStore(f).Propose(t.Context(), newChange("b", 1, "op2"))
		require.NoError(t, err)
		result, err := newTestStore(f).Propose(t.Context(), newChange("a", 0, "op1"))
		require.NoError(t, err)
		require.EqualValues(t, 1, result.Revision)
		require.Equal(t, "op2", storedDocument(t, f).OperationID)
	})
}

func TestReusedOperationIDIsRefused(t *testing.T) {
	f := newFake()
	s := newTestStore(f)
	_, err := s.Propose(t.Context(), newChange("a", 0, "op1"))
	require.NoError(t, err)
	_, err = s.Propose(t.Context(), newChange("b", 0, "op1"))
	require.True(t, fault.Is(err, fault.Invalid), "%v", err)
}

func TestConcurrentChangesHaveOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		const operators = 8
		errs := make(chan error, operators)
		for i := range operators {
			go func() {
				name := fmt.Sprint("s", i)
				_, err := newTestStore(f).Propose(t.Context(), newChange(name, 0, "op-"+name))
				errs <- err
			}()
		}
		won := 0
		for range operators {
			err := <-errs
			var conflict *ConflictError
			if errors.As(err, &conflict) {
				require.EqualValues(t, 1, conflict.Revision())
				require.Equal(t, storedDocument(t, f), conflict.Current)
				continue
			}
			require.NoError(t, err)
			won++
		}
		require.Equal(t, 1, won)
	})
}

func TestProposeWritesNothingWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		f.setDown(true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := newTestStore(f).Propose(ctx, newChange("a", 0, "op1"))
		require.True(t, fault.Is(err, fault.Unavailable), "%v", err)
	})
}

func TestProposeRejectsInvalidAndLargeDocuments(t *testing.T) {
	f := newFake()
	s := newTestStore(f)
	_, err := s.Propose(t.Context(), Change{Document: &config.Document{
		Rules: []config.Rule{{Name: "r"}}}, OperationID: "op1"})
	var problems config.Problems
	require.ErrorAs(t, err, &problems)

	large := documentWithService("a")
	large.Rules[0].Name = strings.Repeat("x", MaxValueBytes)
	_, err = s.Propose(t.Context(), Change{Document: large, OperationID: "op1"})
	require.ErrorContains(t, err, "at most 1000000 are stored")
	require.Zero(t, f.callCount())
}

func TestHistoryIsBoundedAndLatestFirst(t *testing.T) {
	f := newFake()
	s := New(Config{Self: "n1", HistoryLimit: 3}, f, telemetry.Discard(), nil)
	for i := range int64(5) {
		_, err := s.Propose(t.Context(), newChange(fmt.Sprint("s", i), i, fmt.Sprint("op", i)))
		require.NoError(t, err)
	}
	history, err := s.History(t.Context(), 0)
	require.NoError(t, err)
	var revisions []int64
	for _, e := range history {
		revisions = append(revisions, e.Revision)
	}
	require.Equal(t, []int64{5, 4, 3}, revisions)
}
