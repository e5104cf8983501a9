package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
)

type problem struct {
	Error problemBody `json:"error"`
}

type problemBody struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}

func writeProblem(w http.ResponseWriter, status int, kind, text string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem{problemBody{kind, text}}) // the client may have disconnected
}

func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		writeProblem(w, http.StatusInternalServerError, "internal", err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data) // the client may have disconnected
}

// serveCompletion serves chat and text completions.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	b, err := parseRequest(data)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	if !s.serves(b.Model) {
		writeProblem(w, http.StatusNotFound, "model_not_found", "model "+b.Model+" is not loaded")
		return
	}
	a, status := s.add(r, b)
	if status != 0 {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		s.writeRefusal(w, status)
		return
	}
	w.Header().Set("X-Attempt-Id", a.id)
	s.setLoadHeader(w)
	if b.Stream {
		s.stream(w, r, a, a.firstEventOffset(), b.StreamOptions.IncludeUsage)
		return
	}
	s.serveFullAnswer(w, r, a)
}

func (s *Server) writeRefusal(w http.ResponseWriter, status int) {
	s.setLoadHeader(w)
	switch status {
	case http.StatusServiceUnavailable:
		w.Header().Set("X-Not-Run", "true")
		w.Header().Set("Retry-After", "1")
		writeProblem(w, status, "overloaded", "not run: the queue is full")
	case http.StatusConflict:
		writeProblem(w, status, "conflict", "attempt is known")
	default:
		writeProblem(w, status, "invalid_request_error", "prompt does not fit the KV cache")
	}
}

// serveFullAnswer waits until the attempt has ended and sends the answer as one
// JSON object.
func (s *Server) serveFullAnswer(w http.ResponseWriter, r *http.Request, a *attempt) {
	for {
		s.mu.Lock()
		finished, canceled, changed := a.finished, a.canceled, a.changed
		lose := s.faults.LoseAnswer
		s.mu.Unlock()
		if finished && lose {
			panic(http.ErrAbortHandler)
		}
		if canceled {
			writeProblem(w, http.StatusInternalServerError, "canceled", "attempt was canceled")
			return
		}
		if finished {
			writeJSON(w, a.fullAnswer())
			return
		}
		wait(r, changed, a.down)
	}
}

// wait blocks until the attempt changes. It drops the connection if the engine
// crashes or the client has disconnected.
func wait(r *http.Request, changed, down <-chan struct{}) {
	select {
	case <-changed:
	case <-down:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// stream writes the events with IDs above after, and new events until the attempt
// ends.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, a *attempt, after int, withUsage bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	flusher := http.NewResponseController(w)
	next := max(after-a.firstEventOffset(), 0)
	sent := 0
	for headerSent := false; ; {
		s.mu.Lock()
		frames := a.framesFrom(next, withUsage, !s.settings.PlainStreams)
		finished, canceled, changed := a.finished, a.canceled, a.changed
		faults := s.faults
		s.mu.Unlock()
		if faults.LoseAnswer {
			if finished {
				panic(http.ErrAbortHandler)
			}
			wait(r, changed, a.down)
			continue
		}
		if !headerSent && faults.CutHead > 0 {
			CutHead(w, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", faults.CutHead)
		}
		if !headerSent {
			headerSent = true
			w.WriteHeader(http.StatusOK)
			_ = flusher.Flush()
		}
		for _, f := range frames {
			if faults.TruncateAfter > 0 && sent >= faults.TruncateAfter {
				return
			}
			if _, err := w.Write(f); err != nil {
				return
			}
			sent++
			next++
		}
		if canceled {
			return
		}
		if finished {
			_, _ = io.WriteString(w, "data: [DONE]\n\n") // the client may have disconnected
			return
		}
		_ = flusher.Flush()
		wait(r, changed, a.down)
	}
}

// framesFrom returns the events from index next on as frames. The usage is the
// last event of an answer that was not cancelled; withUsage includes it.
func (a *attempt) framesFrom(next int, withUsage, withID bool) [][]byte {
	end := len(a.events)
	if a.finished && !a.canceled && !withUsage {
		end--
	}
	var frames [][]byte
	for i := next; i < end; i++ {
		frames = append(frames, a.frame(i, withID))
	}
	return frames
}

func (s *Server) serveResume(w http.ResponseWriter, r *http.Request) {
	a, ok := s.lookup(r.PathValue("attempt"))
	if !ok {
		writeProblem(w, http.StatusNotFound, "not_found", "attempt is unknown")
		return
	}
	after := 0
	if text := r.Header.Get("Last-Event-ID"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			writeProblem(w, http.StatusBadRequest, "invalid_request_error", "Last-Event-ID is not a number")
			return
		}
		after = n
	}
	s.setLoadHeader(w)
	s.stream(w, r, a, after, a.body.StreamOptions.IncludeUsage)
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	s.cancel(r.PathValue("attempt"))
	w.WriteHeader(http.StatusNoContent)
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (s *Server) serveModels(w http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range s.Models() {
		list.Data = append(list.Data, modelEntry{ID: m, Object: "model"})
	}
	writeJSON(w, list)
}

// serves reports whether the model is loaded; an empty name is always served.
func (s *Server) serves(model string) bool {
	return model == "" || slices.Contains(s.Models(), model)
}

// CutHead ends the connection of a request after the first bytes of a response's head, and does not
// return. head ends with its empty line.
func CutHead(w http.ResponseWriter, head string, length int) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_, _ = conn.Write([]byte(head[:min(length, len(head)-1)])) // the client may have left
		_ = conn.Close()
	}
	panic(http.ErrAbortHandler)
}
