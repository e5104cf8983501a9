package load

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

// event is one server-sent event.
type event struct {
	// sequence is the sequence number in lastEventID.
	sequence    int
	lastEventID string
	name        string
	data        []byte
}

// eventReader reads server-sent events.
type eventReader struct{ lines *bufio.Scanner }

// next returns the next event with data. Comments are skipped. The error is
// io.ErrUnexpectedEOF at the end of the stream.
func (r *eventReader) next() (event, error) {
	var ev event
	for r.lines.Scan() {
		line := r.lines.Bytes()
		if len(line) == 0 {
			if len(ev.data) > 0 {
				return ev, nil
			}
			continue
		}
		ev.parseField(line)
	}
	if err := r.lines.Err(); err != nil {
		return event{}, err
	}
	return event{}, io.ErrUnexpectedEOF
}

// parseField parses a line of the event.
func (e *event) parseField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.lastEventID = string(value)
		number, _, _ := bytes.Cut(value, []byte("-"))
		e.sequence, _ = strconv.Atoi(string(number))
	case "event":
		e.name = string(value)
	case "data":
		e.data = append(e.data, value...)
	}
}
