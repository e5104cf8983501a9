package backend

import "encoding/json"

// chunkFacts is what the client needs to know of an event.
type chunkInfo struct {
	choices     []choiceInfo
	usage       *chunkUsage
	errorObject json.RawMessage
}

type choiceInfo struct {
	index       int
	isGenerated bool // carries generated text or a call
	isFinished  bool // has a finish reason
}

// read sets f to the facts of an event. The usual form of an event is scanned;
// every other one is decoded.
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

// tokens counts the generated tokens: engines send one token for each choice
// with text.
func (c *chunkInfo) tokens() int {
	n := 0
	for _, ch := range c.choices {
		if ch.isGenerated {
			n++
		}
	}
	return n
}
