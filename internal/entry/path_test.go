package entry_test

import (
	"bytes"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/standin/engine"
)

func TestChatAnswerIsCompleteAtEveryEntry(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		body := chatBody("check the shop", 20, false)
		for _, e := range s.Entries() {
			for _, key := range []string{"", "key-of-" + e.ID} {
				r, err := s.send(e, "POST", "/v1/chat/completions", map[string]string{"Idempotency-Key": key}, body)
				require.NoError(t, err)
				require.Equal(t, 200, r.status, "%s", r.tail())
				require.Equal(t, "completed", r.outcome())
				require.NoError(t, engine.VerifyText(engine.PromptOf(body), answerText(t, r.body), 20))
			}
		}
	})
}

func TestStreamedChatAnswerIsComplete(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		body := chatBody("check the shop", 30, true)
		for _, e := range s.Entries() {
			r, err := s.send(e, "POST", "/v1/chat/completions", map[string]string{"Idempotency-Key": "k" + e.ID}, body)
			require.NoError(t, err)
			require.Equal(t, 200, r.status, "%s", r.tail())
			require.Equal(t, "completed", r.outcome())
			require.NoError(t, engine.VerifyText(engine.PromptOf(body), streamText(t, r.body), 30))
			require.Contains(t, string(r.body), "data: [DONE]")
		}
	})
}

func TestResentKeyGetsTheSameAnswerFromAnyEntry(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		header := map[string]string{"Idempotency-Key": "once"}
		first, err := s.send(s.Entries()[0], "POST", "/services/report/exports", header, []byte("x"))
		require.NoError(t, err)
		require.Equal(t, 200, first.status, "%s", first.tail())
		for _, e := range s.Entries() {
			again, err := s.send(e, "POST", "/services/report/exports", header, []byte("x"))
			require.NoError(t, err)
			require.Equal(t, first.body, again.body)
		}
		runs := 0
		for _, sv := range s.Servers() {
			if sv.Plain != nil {
				runs += len(sv.Plain.Runs())
			}
		}
		require.Equal(t, 1, runs)
	})
}

func TestPlainServiceErrorReachesTheCaller(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		r, err := s.send(s.Entries()[0], "GET", "/services/report/missing", nil, nil)
		require.NoError(t, err)
		require.Equal(t, "completed", r.outcome())
		require.Empty(t, r.header.Get("Endpoint-Load-Metrics"))
	})
}

func TestReusedKeyWithOtherContentIsRefused(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		header := map[string]string{"Idempotency-Key": "used"}
		_, err := s.send(s.Entries()[0], "POST", exportPath, header, []byte("October"))
		require.NoError(t, err)
		for _, e := range s.Entries() {
			r, err := s.send(e, "POST", exportPath, header, []byte("November"))
			require.NoError(t, err)
			require.Equal(t, 422, r.status)
			require.Contains(t, string(r.body), `"message":"the idempotency key was used with another request"`)
		}
		require.Equal(t, 1, s.runs("used"))
	})
}

// The owner and its record are lost after a caller has received part of an answer.
// When the caller sends the request again after its last event, the rest of a new,
// different answer must not be appended to the old one.
func TestAnswerOfALostExecutionIsNotMixedWithANewOne(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		owner, other := s.Entries()[3], s.Entries()[0]
		header := map[string]string{"Idempotency-Key": s.keyOwnedBy(owner, "sampled-")}
		body := []byte(`{"model":"` + testModel + `","stream":true,"max_tokens":20,"temperature":1,` +
			`"messages":[{"role":"user","content":"check"}]}`)
		first, err := s.send(owner, "POST", chatPath, header, body)
		require.NoError(t, err)
		ids := regexp.MustCompile(`(?m)^id: (\S+)$`).FindAllStringSubmatch(string(first.body), -1)
		require.Len(t, ids, 21)
		owner.Kill()
		time.Sleep(30 * time.Second)
		header["Last-Event-ID"] = ids[9][1]
		rest, err := s.send(other, "POST", chatPath, header, body)
		require.NoError(t, err)
		require.Equal(t, 409, rest.status, "%s", rest.tail())
		require.Contains(t, string(rest.body), "answer_lost")
		delete(header, "Last-Event-ID")
		whole, err := s.send(other, "POST", chatPath, header, body)
		require.NoError(t, err)
		require.NoError(t, engine.VerifyText(engine.PromptOf(body), streamText(t, whole.body), 20))
	})
}

func TestAttachAfterAnEventReturnsTheRemainingEvents(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		body := chatBody("check the shop", 20, true)
		first, err := s.send(s.Entries()[0], "POST", chatPath, nil, body)
		require.NoError(t, err)
		ids := regexp.MustCompile(`(?m)^id: (\S+)$`).FindAllStringSubmatch(string(first.body), -1)
		path := "/v1/requests/" + first.header.Get("Buckthornpick-Request-Id")
		for _, e := range s.Entries() {
			rest, err := s.send(e, "GET", path, map[string]string{"Last-Event-ID": ids[4][1]}, nil)
			require.NoError(t, err)
			_, tail, ok := bytes.Cut(first.body, []byte("id: "+ids[5][1]))
			require.True(t, ok)
			require.Equal(t, "id: "+ids[5][1]+string(tail), string(rest.body))
		}
	})
}

// Reads some events, closes the connection, and attaches at another entry while the
// answer is still being generated.
func TestDisconnectedCallerGetsTheRemainingEventsAtAnotherEntry(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		body := chatBody("check the shop", 150, true)
		id, events := s.readEvents(s.Entries()[1], body, 40)
		last := regexp.MustCompile(`id: (\S+)`).FindAllStringSubmatch(events, -1)[39][1]
		rest, err := s.send(s.Entries()[4], "GET", "/v1/requests/"+id, map[string]string{"Last-Event-ID": last}, nil)
		require.NoError(t, err)
		require.Equal(t, "completed", rest.outcome(), "%s", rest.tail())
		text := streamText(t, []byte(events)) + streamText(t, rest.body)
		require.NoError(t, engine.VerifyText(engine.PromptOf(body), text, 150))
	})
}
