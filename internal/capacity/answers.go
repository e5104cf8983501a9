package capacity

import (
	"math"
	"time"
)

const (
	// answerMemory is the time in which the weight of an answer falls to 1/e. A change shows
	// within two seconds at five answers a second.
	answerMemory = time.Second
	// minReported is the count below which the sums of a server are not reported.
	minReported = 0.1
	// maxLogTime bounds the logarithm of the time of one answer in milliseconds, either way.
	maxLogTime = 10
)

// Sums are sums over the recent answers of one incarnation of a server, in which older
// answers weigh less. Those of several entries may be added.
type Sums struct {
	// Incarnation is a short form of the server's; see shortIncarnation.
	Incarnation int32
	// Count is the number of answers, Running the sum of the requests that ran at the
	// server, and LogTime the sum of the logarithms of the times in milliseconds.
	Count, Running, LogTime float64
}

// shortIncarnation returns the last bits of an incarnation. Two successive ones rarely
// share them.
func shortIncarnation(incarnation int64) int32 { return int32(incarnation & 0x3fff) }

// scale returns the sums with all weights multiplied by f.
func (s Sums) scale(f float64) Sums {
	s.Count, s.Running, s.LogTime = f*s.Count, f*s.Running, f*s.LogTime
	return s
}

// add returns the sum of two sums. Those of different incarnations are not added: the
// second are dropped.
func (s Sums) add(other Sums) Sums {
	switch {
	case s.Count == 0:
		return other
	case s.Incarnation != other.Incarnation:
		return s
	}
	s.Count, s.Running, s.LogTime = s.Count+other.Count, s.Running+other.Running, s.LogTime+other.LogTime
	return s
}

// Report is the form of sums in messages: whole numbers, which take few bytes. One with
// fewer elements than reportLength is ignored, and further ones are.
type Report []int

// The elements of a report are the incarnation, the count, the running requests and the
// logarithms of the times, in units of 1/reportScale.
const (
	reportLength = 4
	reportScale  = 16
	maxReported  = 1 << 20
)

func (s Sums) report() Report {
	return Report{int(s.Incarnation), toUnits(s.Count), toUnits(s.Running), toUnits(s.LogTime)}
}

func toUnits(v float64) int {
	return int(math.Round(min(max(v, -maxReported), maxReported) * reportScale))
}

// sums returns the sums of a report, zero if it has none that are possible.
func (r Report) sums() Sums {
	if len(r) < reportLength || r[1] <= 0 || r[2] < 0 || math.Abs(float64(r[3])) > maxLogTime*float64(r[1]) {
		return Sums{}
	}
	return Sums{Incarnation: int32(r[0]), Count: float64(r[1]) / reportScale, Running: float64(r[2]) / reportScale, LogTime: float64(r[3]) / reportScale}
}

// AddReports adds the reports of other to sum.
func AddReports(sum, other map[string]Report) {
	for server, r := range other {
		if added := sum[server].sums().add(r.sums()); added.Count > 0 {
			sum[server] = added.report()
		}
	}
}

// SubtractReports subtracts the reports of other, which sum includes, from sum.
func SubtractReports(sum, other map[string]Report) {
	for server, r := range other {
		left, own := sum[server].sums(), r.sums()
		if left.Incarnation != own.Incarnation {
			continue
		}
		if left = left.add(own.scale(-1)); left.Count < minReported {
			delete(sum, server)
		} else {
			sum[server] = left.report()
		}
	}
}

// Answers are the sums over the answers that one entry has had, by server.
type Answers struct {
	sums map[string]*ownSums
}

type ownSums struct {
	Sums
	at time.Duration
}

// NewAnswers returns answers without any.
func NewAnswers() *Answers { return &Answers{sums: map[string]*ownSums{}} }

// Add adds an answer of a server at which running requests ran; millis is its time, or a
// multiple of what was expected, without what the server has said about its slowness.
func (a *Answers) Add(now time.Duration, server string, incarnation int64, running int, millis float64) {
	if !(millis > 0) {
		return
	}
	s := a.sums[server]
	if s == nil || s.Incarnation != shortIncarnation(incarnation) {
		s = &ownSums{Sums: Sums{Incarnation: shortIncarnation(incarnation)}, at: now}
		a.sums[server] = s
	}
	s.Sums = s.scale(decay(now-s.at, answerMemory))
	s.at = now
	s.Count++
	s.Running += float64(running)
	s.LogTime += min(max(math.Log(millis), -maxLogTime), maxLogTime)
}

// Reports returns the reports of the servers that have answered lately.
func (a *Answers) Reports(now time.Duration) map[string]Report {
	reports := map[string]Report{}
	for server, s := range a.sums {
		current := s.scale(decay(now-s.at, answerMemory))
		if current.Count < minReported {
			delete(a.sums, server)
			continue
		}
		reports[server] = current.report()
	}
	return reports
}

// decay returns the weight that is left after a time.
func decay(elapsed, memory time.Duration) float64 {
	return math.Exp(-max(0, elapsed).Seconds() / memory.Seconds())
}
