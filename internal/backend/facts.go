package backend

import "encoding/json"

// chunkFacts is what the client needs to know of an event.
type chunkFacts struct {
	choices []choiceFacts
	usage   *chunkUsage
	problem json.RawMessage
}

type choiceFacts struct {
	index       int
	isGenerated bool // carries generated text or a call
	isFinished  bool // has a finish reason
}

// read sets f to the facts of an event. The usual form of an event is scanned;
// every other one is decoded.
func (f *chunkFacts) read(data []byte) error {
	f.reset()
	s := chunkScanner{data: data, facts: f}
	if s.chunk() {
		return nil
	}
	f.reset()
	return f.decode(data)
}

func (f *chunkFacts) reset() { f.choices, f.usage, f.problem = f.choices[:0], nil, nil }

func (f *chunkFacts) decode(data []byte) error {
	var c streamChunk
	if err := json.Unmarshal(data, &c); err != nil {
		return err
	}
	f.usage, f.problem = c.Usage, c.Error
	for i := range c.Choices {
		ch := &c.Choices[i]
		f.choices = append(f.choices, choiceFacts{index: ch.Index, isGenerated: ch.generated(), isFinished: ch.FinishReason != ""})
	}
	return nil
}

// tokens counts the generated tokens: engines send one token for each choice
// with text.
func (f *chunkFacts) tokens() int {
	n := 0
	for _, ch := range f.choices {
		if ch.isGenerated {
			n++
		}
	}
	return n
}
