package slopes

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"buckthornpick/internal/request"
)

const (
	answerCount    = 500
	maxAnswerBytes = 8 << 20
	promptBytes    = 2000
)

// measureAnswers measures the memory held by completed requests and their answers
// against the number of tokens per answer, with one event per token.
func measureAnswers(_ context.Context, _ Options, out *Results) error {
	for _, tokens := range []int{50, 350, 1000} {
		before := liveBytes()
		records := make([]*request.Record, 0, answerCount)
		for i := range answerCount {
			record, err := newCompletedRecord(i, tokens)
			if err != nil {
				return err
			}
			records = append(records, record)
		}
		perAnswer := (liveBytes() - before) / answerCount
		out.Add("answers", "kept answer: memory, prompt of 2,000 bytes", "B", "tokens of an answer", float64(tokens), perAnswer)
		runtime.KeepAlive(records)
	}
	return nil
}

// newCompletedRecord returns the record of a completed request whose answer has
// the given number of tokens.
func newCompletedRecord(i, tokens int) (*request.Record, error) {
	r := request.NewRecord(&request.Request{ID: request.ID(fmt.Sprintf("%032x", i)), Organisation: "delta",
		Service: "chat", Repeatable: true, Body: make([]byte, promptBytes)}, maxAnswerBytes)
	attempt, err := r.Dispatch()
	if err != nil {
		return nil, err
	}
	for k := range tokens {
		data := fmt.Appendf(nil, `{"choices":[{"index":0,"delta":{"content":" token%d"}}]}`, k)
		if err := r.Append(attempt, request.Event{Sequence: k + 1, Data: data, Tokens: 1}); err != nil {
			return nil, err
		}
	}
	return r, r.Finish(request.End{Outcome: request.Completed}, time.Now())
}
