package plainservice

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the length of an answer's content, in words.
const (
	minWords = 20
	maxWords = 400
)

type answer struct {
	Call    string `json:"call"`
	Run     int64  `json:"run"`
	Content string `json:"content"`
}

// Answer returns the answer that run number run of a call gives. uri is the path
// and query.
func Answer(method, uri string, body []byte, run int64) []byte {
	call := method + " " + uri
	seed := strconv.FormatUint(xxhash.Sum64(body), 16) + call
	words := minWords + int(xxhash.Sum64String(seed)%(maxWords-minWords+1))
	var sb strings.Builder
	previous := strconv.FormatInt(run, 10)
	for i := range words {
		if i > 0 {
			sb.WriteByte(' ')
		}
		previous = strconv.FormatUint(xxhash.Sum64String(previous+seed)&0xffffffff, 36)
		sb.WriteString(previous)
	}
	data, err := json.Marshal(answer{Call: call, Run: run, Content: sb.String()})
	if err != nil {
		panic("answer: " + err.Error()) // encoding this struct cannot fail
	}
	return data
}

// VerifyAnswer checks that got is the complete answer of a single run of the
// call.
func VerifyAnswer(method, uri string, body, got []byte) error {
	var a answer
	if err := json.Unmarshal(got, &a); err != nil {
		return fmt.Errorf("answer to %s %s: %w", method, uri, err)
	}
	if !bytes.Equal(got, Answer(method, uri, body, a.Run)) {
		return fmt.Errorf("answer to %s %s differs from run %d", method, uri, a.Run)
	}
	return nil
}
