package route

// featureCount is the number of inputs of the latency prediction.
const featureCount = 5

// features are the inputs of the latency prediction: a constant, the uncached
// prompt tokens of the request, the backlog of prompt tokens at the server, the
// running requests and the waiting requests, each scaled to the order of 1.
type features [featureCount]float64

const (
	tokenScale   = 1000.0
	requestScale = 10.0
)

func makeFeatures(uncached, backlog, running, waiting float64) features {
	return features{1, uncached / tokenScale, backlog / tokenScale, running / requestScale, waiting / requestScale}
}

// latencyModel predicts the time to the first token in milliseconds. It is
// fitted to the observations of one VM class by recursive least squares with
// exponential forgetting.
type latencyModel struct {
	coef         features
	covariance   [featureCount]features
	observations int
}

const (
	// forgettingFactor is the weight of older observations: one that is n steps
	// old has the weight forgettingFactor^n.
	forgettingFactor = 0.995
	// initialVariance is the initial variance of each coefficient.
	initialVariance = 1e4
	// maxVariance stops the covariance from growing without bound while the
	// inputs carry no information.
	maxVariance = 1e6
	// maxObservedMillis clips observations to limit the effect of an outlier.
	maxObservedMillis = 20000
	// minTrainingObservations is the number of observations from which a model
	// is considered trained.
	minTrainingObservations = 20
)

// newLatencyModel returns a model with the initial coefficients of a typical
// engine: 30 ms, 0.1 ms per prompt token, 1 ms per running and 50 ms per waiting
// request.
func newLatencyModel() *latencyModel {
	m := &latencyModel{coef: features{30, 100, 100, 10, 500}}
	for i := range m.covariance {
		m.covariance[i][i] = initialVariance
	}
	return m
}

func (m *latencyModel) isTrained() bool { return m.observations >= minTrainingObservations }

// predict returns the predicted time to the first token in milliseconds.
// Negative coefficients are treated as 0, because more load never makes a server
// faster.
func (m *latencyModel) predict(f *features) float64 {
	sum := 0.0
	for i, c := range m.coef {
		if c > 0 {
			sum += c * f[i]
		}
	}
	return sum
}

// observe updates the model with a measured time to the first token.
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

// updateCovariance updates the covariance after an observation. It skips the
// division by the forgetting factor if a variance exceeds maxVariance.
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

// promptRate returns the estimated prompt processing rate in tokens per
// millisecond.
func (m *latencyModel) promptRate() float64 {
	const slowest, fastest = 0.5, 200
	perToken := m.coef[1] / tokenScale
	if perToken <= 1.0/fastest {
		return fastest
	}
	return max(slowest, 1/perToken)
}
