package backend

import "encoding/json"

// chunkInfo holds the parts of an event that the client uses.
type chunkInfo struct {
	choices     []choiceInfo
	usage       *chunkUsage
	errorObject json.RawMessage
}

// choiceInfo holds the parts of one choice of an event that the client uses.
type choiceInfo struct {
	index       int
	isGenerated bool // contains generated text or a tool call
	isFinished  bool // has a finish reason
}

// parse sets c from the data of an event. It uses chunkScanner for the common form
// of an event and encoding/json for any other.
func (c *chunkInfo) parse(data []byte) error {
	c.reset()
	s := chunkScanner{data: data, info: c}
	if s.chunk() {
		return nil
	}
	c.reset()
	return c.decode(data)
}

func (c *chunkInfo) reset() { c.choices, c.usage, c.errorObject = c.choices[:0], nil, nil }

func (c *chunkInfo) decode(data []byte) error {
	var decoded streamChunk
	if err := json.Unmarshal(data, &decoded); err != nil {
		return err
	}
	c.usage, c.errorObject = decoded.Usage, decoded.Error
	for i := range decoded.Choices {
		ch := &decoded.Choices[i]
		c.choices = append(c.choices, choiceInfo{index: ch.Index, isGenerated: ch.hasGeneratedToken(), isFinished: ch.FinishReason != ""})
	}
	return nil
}

// tokens returns the number of generated tokens in the event. Engines send one
// token per choice with generated text.
func (c *chunkInfo) tokens() int {
	n := 0
	for _, ch := range c.choices {
		if ch.isGenerated {
			n++
		}
	}
	return n
}
