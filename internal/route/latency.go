package route

// featureCount is the number of inputs of the latency prediction.
const featureCount = 5

// features are the inputs of the latency prediction: a constant, uncached
// prompt tokens, prompt tokens ahead, running requests and waiting requests,
// each scaled to the order of 1.
type features [featureCount]float64

const (
	tokenScale   = 1000.0
	requestScale = 10.0
)

func makeFeatures(uncached, backlog, running, waiting float64) features {
	return features{1, uncached / tokenScale, backlog / tokenScale, running / requestScale, waiting / requestScale}
}

// latencyModel predicts the time to the first token in milliseconds. It is a
// recursive least-squares fit with exponential forgetting over the
// observations of one VM class.
type latencyModel struct {
	coef         features
	covariance   [featureCount]features
	observations int
}

const (
	// forgetting weighs an observation n steps old by forgetting^n.
	forgettingFactor = 0.995
	// priorVariance is the initial uncertainty of each coefficient.
	initialVariance = 1e4
	// maxVariance bounds the covariance while the inputs carry no information.
	maxVariance = 1e6
	// maxObservedMillis bounds the influence of one outlier.
	maxObservedMillis = 20000
	// learnedObservations is how many observations make a model trusted.
	minTrainingObservations = 20
)

// newLatencyModel starts from a plain engine: 30 ms, 0.1 ms per prompt token,
// 1 ms per running and 50 ms per waiting request.
func newLatencyModel() *latencyModel {
	m := &latencyModel{coef: features{30, 100, 100, 10, 500}}
	for i := range m.covariance {
		m.covariance[i][i] = initialVariance
	}
	return m
}

func (m *latencyModel) isTrained() bool { return m.observations >= minTrainingObservations }

// predict returns milliseconds. Negative coefficients count as 0: more work
// never makes a server faster.
func (m *latencyModel) predict(f *features) float64 {
	sum := 0.0
	for i, c := range m.coef {
		if c > 0 {
			sum += c * f[i]
		}
	}
	return sum
}

// observe updates the fit with one measured first-token time.
func (m *latencyModel) observe(f *features, millis float64) {
	millis = min(millis, maxObservedMillis)
	m.observations++
	var gain features
	denominator := forgettingFactor
	predicted := 0.0
	for i := range f {
		for j := range f {
			gain[i] += m.covariance[i][j] * f[j]
		}
		predicted += m.coef[i] * f[i]
	}
	for i := range f {
		denominator += f[i] * gain[i]
	}
	residual := millis - predicted
	for i := range f {
		m.coef[i] += gain[i] / denominator * residual
	}
	m.updateCovariance(&gain, denominator)
}

// shrink applies the covariance update and its bound.
func (m *latencyModel) updateCovariance(gain *features, denominator float64) {
	scale := forgettingFactor
	for i := range gain {
		if m.covariance[i][i] > maxVariance {
			scale = 1
		}
	}
	for i := range gain {
		for j := range gain {
			m.covariance[i][j] = (m.covariance[i][j] - gain[i]*gain[j]/denominator) / scale
		}
	}
}

// promptRate returns the learned prompt processing rate in tokens per
// millisecond.
func (m *latencyModel) promptRate() float64 {
	const slowest, fastest = 0.5, 200
	perToken := m.coef[1] / tokenScale
	if perToken <= 1.0/fastest {
		return fastest
	}
	return max(slowest, 1/perToken)
}
