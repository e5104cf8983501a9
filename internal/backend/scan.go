package backend

// chunkScanner is a parser without reflection for the common form of an event: an
// object with known fields and simple values. Its methods return false for any
// other input, valid or not; the event must then be decoded with encoding/json.
type chunkScanner struct {
	data []byte
	pos  int
	info *chunkInfo
}

// chunk parses a whole event.
func (s *chunkScanner) chunk() bool {
	hasChoices := false
	ok := s.object(func(name []byte) bool {
		switch string(name) {
		case "id", "object", "model", "system_fingerprint":
			_, ok := s.text()
			return ok
		case "created":
			_, ok := s.number()
			return ok
		case "usage":
			return s.literal("null")
		case "choices":
			if hasChoices {
				return false
			}
			hasChoices = true
			return s.choices()
		}
		return false
	})
	s.skipSpace()
	return ok && s.pos == len(s.data)
}

func (s *chunkScanner) choices() bool {
	if !s.accept('[') {
		return false
	}
	if s.accept(']') {
		return true
	}
	for {
		if !s.choice() {
			return false
		}
		if s.accept(']') {
			return true
		}
		if !s.accept(',') {
			return false
		}
	}
}

// Bits for the fields of a choice, to detect repeated fields.
const (
	fieldIndex = 1 << iota
	fieldDelta
	fieldText
	fieldFinish
)

func (s *chunkScanner) choice() bool {
	var ch choiceInfo
	seen := 0
	first := func(field int) bool {
		isFirst := seen&field == 0
		seen |= field
		return isFirst
	}
	ok := s.object(func(name []byte) bool {
		switch string(name) {
		case "index":
			n, ok := s.number()
			ch.index = n
			return ok && first(fieldIndex)
		case "delta":
			return first(fieldDelta) && s.delta(&ch)
		case "text":
			n, ok := s.text()
			ch.isGenerated = ch.isGenerated || n > 0
			return ok && first(fieldText)
		case "finish_reason":
			if s.literal("null") {
				return first(fieldFinish)
			}
			n, ok := s.text()
			ch.isFinished = n > 0
			return ok && first(fieldFinish)
		case "logprobs":
			return s.literal("null")
		}
		return false
	})
	s.info.choices = append(s.info.choices, ch)
	return ok
}

func (s *chunkScanner) delta(ch *choiceInfo) bool {
	hasContent := false
	return s.object(func(name []byte) bool {
		switch string(name) {
		case "role":
			_, ok := s.text()
			return ok
		case "content":
			if hasContent {
				return false
			}
			hasContent = true
			n, ok := s.text()
			ch.isGenerated = ch.isGenerated || n > 0
			return ok
		}
		return false
	})
}

// object parses an object. After each name and its colon it calls field, which
// must consume the value.
func (s *chunkScanner) object(field func(name []byte) bool) bool {
	if !s.accept('{') {
		return false
	}
	if s.accept('}') {
		return true
	}
	for {
		s.skipSpace()
		start := s.pos + 1
		if _, ok := s.text(); !ok {
			return false
		}
		name := s.data[start : s.pos-1]
		if !s.accept(':') || !field(name) {
			return false
		}
		if s.accept('}') {
			return true
		}
		if !s.accept(',') {
			return false
		}
	}
}

// text parses a string and returns the length of its content in bytes before
// unescaping, which is 0 only for the empty string.
func (s *chunkScanner) text() (length int, ok bool) {
	if !s.accept('"') {
		return 0, false
	}
	for start := s.pos; s.pos < len(s.data); s.pos++ {
		switch c := s.data[s.pos]; {
		case c == '"':
			s.pos++
			return s.pos - 1 - start, true
		case c == '\\':
			if !s.skipEscape() {
				return 0, false
			}
		case c < ' ':
			return 0, false
		}
	}
	return 0, false
}

// skipEscape moves from the backslash of an escape sequence to its last byte.
func (s *chunkScanner) skipEscape() bool {
	s.pos++
	if s.pos >= len(s.data) {
		return false
	}
	switch s.data[s.pos] {
	case '"', '\\', '/', 'b', 'f', 'n', 'r', 't':
		return true
	case 'u':
		const digits = 4
		if s.pos+digits >= len(s.data) {
			return false
		}
		for _, c := range s.data[s.pos+1 : s.pos+1+digits] {
			if !isHex(c) {
				return false
			}
		}
		s.pos += digits
		return true
	}
	return false
}

func isHex(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

// number parses a non-negative integer of at most 15 digits.
func (s *chunkScanner) number() (n int, ok bool) {
	const maxDigits = 15
	s.skipSpace()
	start := s.pos
	for s.pos < len(s.data) && s.data[s.pos] >= '0' && s.data[s.pos] <= '9' {
		n = 10*n + int(s.data[s.pos]-'0')
		if s.pos++; s.pos-start > maxDigits {
			return 0, false
		}
	}
	hasLeadingZero := s.pos-start > 1 && s.data[start] == '0'
	return n, s.pos > start && !hasLeadingZero
}

// literal consumes word and the whitespace before it, if word comes next.
func (s *chunkScanner) literal(word string) bool {
	s.skipSpace()
	if len(s.data)-s.pos < len(word) || string(s.data[s.pos:s.pos+len(word)]) != word {
		return false
	}
	s.pos += len(word)
	return true
}

// accept consumes c and the whitespace before it, if c is the next character.
func (s *chunkScanner) accept(c byte) bool {
	s.skipSpace()
	if s.pos >= len(s.data) || s.data[s.pos] != c {
		return false
	}
	s.pos++
	return true
}

func (s *chunkScanner) skipSpace() {
	for s.pos < len(s.data) {
		switch s.data[s.pos] {
		case ' ', '\t', '\r', '\n':
			s.pos++
		default:
			return
		}
	}
}
