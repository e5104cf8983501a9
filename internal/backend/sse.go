package backend

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes is the maximum size of one server-sent event.
const maxEventBytes = 1 << 20

var (
	errEventTooLong = errors.New("server-sent event is too long")
	errEventID      = errors.New("server-sent event has a bad id")
)

// sseEvent is one server-sent event. id is 0 if the event has no ID.
type sseEvent struct {
	id   int
	data []byte
}

// sseReader parses server-sent events. It ignores fields other than id and data.
type sseReader struct{ r *bufio.Reader }

func newSSEReader(r io.Reader) *sseReader { return &sseReader{bufio.NewReaderSize(r, 16<<10)} }

// next returns the next event that has data. It returns io.EOF if the stream ends
// between events and io.ErrUnexpectedEOF if it ends within one.
func (s *sseReader) next() (sseEvent, error) {
	var e sseEvent
	started := false
	hasData := false
	for {
		line, err := s.readLine()
		if err == io.EOF && (started || len(line) > 0) {
			return sseEvent{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return sseEvent{}, err
		}
		if len(line) == 0 {
			if hasData {
				return e, nil
			}
			e, started = sseEvent{}, false
			continue
		}
		started = true
		name, value := splitField(line)
		switch string(name) {
		case "data":
			if hasData {
				e.data = append(e.data, '\n')
			}
			e.data = append(e.data, value...)
			hasData = true
			if len(e.data) > maxEventBytes {
				return sseEvent{}, errEventTooLong
			}
		case "id":
			if e.id, err = strconv.Atoi(string(value)); err != nil || e.id < 1 {
				return sseEvent{}, errEventID
			}
		}
	}
}

// readLine returns one line without its line ending.
func (s *sseReader) readLine() ([]byte, error) {
	var long []byte
	for {
		part, err := s.r.ReadSlice('\n')
		if err == nil && long == nil {
			return bytes.TrimRight(part, "\r\n"), nil
		}
		long = append(long, part...)
		if err == nil {
			return bytes.TrimRight(long, "\r\n"), nil
		}
		if err != bufio.ErrBufferFull {
			return long, err
		}
		if len(long) > maxEventBytes {
			return nil, errEventTooLong
		}
	}
}

func splitField(line []byte) (name, value []byte) {
	name, value, _ = bytes.Cut(line, []byte(":"))
	return name, bytes.TrimPrefix(value, []byte(" "))
}
