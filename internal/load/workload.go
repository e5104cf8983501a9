// Package load generates open-loop load: it sends callers' requests to entries
// over HTTP, checks every answer and reports outcomes and latencies.
package load

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Workload describes a mix of calls and their arrival rate.
type Workload struct {
	Name string `json:"name"`
	// RequestsPerSecond is the mean arrival rate of all classes together.
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	// DurationSeconds is the length of the period in which requests arrive.
	DurationSeconds float64 `json:"durationSeconds"`
	// BurstFactor multiplies the rate during the first second of every ten;
	// default 1.
	BurstFactor float64 `json:"burstFactor,omitempty"`
	Classes     []Class `json:"classes"`
	// Callers are the organisations that send the requests.
	Callers []CallerSpec `json:"callers"`
}

// CallerSpec is an organisation that sends requests with the bearer key Key.
// Weight is its share of the requests, relative to the other callers.
type CallerSpec struct {
	Organisation string  `json:"organisation"`
	Key          string  `json:"key"`
	Weight       float64 `json:"weight"`
}

// Class is one kind of call.
type Class struct {
	Name string `json:"name"`
	// Weight is the class's share of the requests, relative to the other
	// classes.
	Weight float64 `json:"weight"`
	// Model selects chat completions of this model. If it is empty, Method and
	// Path select calls of a plain service.
	Model  string `json:"model,omitempty"`
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
	// PromptWords is the length of the part of the prompt that is unique to a
	// request, SharedWords that of the part shared by all requests of a context.
	PromptWords int `json:"promptWords,omitempty"`
	SharedWords int `json:"sharedWords,omitempty"`
	// Contexts is the number of concurrent conversations of each caller; 0 sends
	// no context.
	Contexts int `json:"contexts,omitempty"`
	// MaxTokens is the length of the answer, in tokens.
	MaxTokens     int    `json:"maxTokens,omitempty"`
	Stream        bool   `json:"stream,omitempty"`
	NonRepeatable bool   `json:"nonRepeatable,omitempty"`
	Priority      string `json:"priority,omitempty"`
}

// Check returns an error that describes the first invalid value of the workload.
func (w *Workload) Check() error {
	switch {
	case w.RequestsPerSecond <= 0:
		return fmt.Errorf("workload %q: requestsPerSecond must be above 0", w.Name)
	case w.DurationSeconds <= 0:
		return fmt.Errorf("workload %q: durationSeconds must be above 0", w.Name)
	case len(w.Classes) == 0 || len(w.Callers) == 0:
		return fmt.Errorf("workload %q: at least one class and one caller are needed", w.Name)
	}
	for _, c := range w.Classes {
		if c.Weight <= 0 || (c.Model == "") == (c.Path == "") {
			return fmt.Errorf("workload %q: class %q needs a weight above 0 and either a model or a path", w.Name, c.Name)
		}
	}
	return nil
}

// Call is one request of a workload.
type Call struct {
	Number int
	Class  *Class
	Caller *CallerSpec
	// At is the arrival time, relative to the start of the run.
	At      time.Duration
	Key     string
	Context string
	Body    []byte
}

// Schedule returns the calls of the workload in the order of their arrival.
// The same seed gives the same calls.
func (w *Workload) Schedule(seed uint64) []Call {
	rng := rand.New(rand.NewPCG(seed, 0x6c6f6164))
	var calls []Call
	end := time.Duration(w.DurationSeconds * float64(time.Second))
	for at := w.nextGap(rng, 0); at < end; at += w.nextGap(rng, at) {
		calls = append(calls, w.newCall(rng, len(calls), at))
	}
	return calls
}

const (
	burstPeriod = 10 * time.Second
	burstLength = time.Second
)

// nextGap draws the time to the next arrival of a Poisson process.
func (w *Workload) nextGap(rng *rand.Rand, at time.Duration) time.Duration {
	rate := w.RequestsPerSecond
	if w.BurstFactor > 1 && at%burstPeriod < burstLength {
		rate *= w.BurstFactor
	}
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

func (w *Workload) newCall(rng *rand.Rand, number int, at time.Duration) Call {
	class := &w.Classes[pickWeighted(rng, len(w.Classes), func(i int) float64 { return w.Classes[i].Weight })]
	caller := &w.Callers[pickWeighted(rng, len(w.Callers), func(i int) float64 { return w.Callers[i].Weight })]
	c := Call{Number: number, Class: class, Caller: caller, At: at,
		Key: "call-" + strconv.FormatUint(rng.Uint64(), 36)}
	if class.Contexts > 0 {
		c.Context = fmt.Sprintf("%s-%s-%d", class.Name, caller.Organisation, rng.IntN(class.Contexts))
	}
	if class.Model != "" {
		c.Body = chatBody(rng, class, c.Context)
	} else {
		c.Body = []byte(randomWords(rng, class.PromptWords))
	}
	return c
}

// pickWeighted draws an index below n with a probability in proportion to its
// weight.
func pickWeighted(rng *rand.Rand, n int, weight func(int) float64) int {
	total := 0.0
	for i := range n {
		total += weight(i)
	}
	x := rng.Float64() * total
	for i := range n {
		if x -= weight(i); x < 0 {
			return i
		}
	}
	return n - 1
}

func chatBody(rng *rand.Rand, class *Class, context string) []byte {
	shared := sharedWords(context, class.SharedWords)
	own := randomWords(rng, class.PromptWords)
	return fmt.Appendf(nil,
		`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"system","content":%q},{"role":"user","content":%q}]}`,
		class.Model, class.Stream, class.MaxTokens, shared, own)
}

// sharedWords returns the part of the prompt that all requests of a context share.
func sharedWords(context string, n int) string {
	seed := uint64(len(context))
	for _, b := range []byte(context) {
		seed = seed*31 + uint64(b)
	}
	return randomWords(rand.New(rand.NewPCG(seed, 1)), n)
}

func randomWords(rng *rand.Rand, n int) string {
	var b strings.Builder
	for i := range n {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(strconv.FormatUint(rng.Uint64N(1<<24), 36))
	}
	return b.String()
}
