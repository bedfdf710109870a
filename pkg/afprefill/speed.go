package afprefill

import "time"

const (
	// defaultSpeed is the number of prompt tokens a second that an engine is assumed to read at first. The slowest models of the known
	// deployments are read at 20,000 tokens a second and need some 20 ms for each request beside.
	defaultSpeed = 12_000
	// requestTokens is what a request costs the engine beside its prompt, in prompt tokens that it could read meanwhile.
	requestTokens = 300
	// minSampleTokens is the size of the smallest prompt that shows the speed of an engine. The time to the first event of a smaller one
	// depends more on the steps of the engine.
	minSampleTokens = 400
	// faster and slower are the factors by which a sample above and below the speed changes it. With these, about one sample in five is
	// above it: those are slower than the engine while other prompts are read before them, and faster if an unexpected part of the
	// prompt is in the cache. With a quarter of the samples that much faster, the time for a prompt would be less than half of the true one.
	faster = 1.15
	slower = 0.965
	// minSpeed and maxSpeed bound the speed.
	minSpeed = 1_000
	maxSpeed = 200_000
	// maxReadTime bounds the time that one prompt is expected to take. Callers state the sizes of their prompts, and a wrong size must not
	// keep an engine from other requests. The 8,000 tokens that an engine gets at once take 0.7 s at the default speed.
	maxReadTime = 2 * time.Second
)

// readSpeed is how fast an engine reads the prompts of one model, in tokens a second. The zero value means that nothing is known.
type readSpeed struct {
	tokensPerSecond float64
}

// withSample returns the speed after a request whose first event came after some time.
func (v readSpeed) withSample(promptTokens int64, took time.Duration) readSpeed {
	if promptTokens < minSampleTokens || took <= 0 {
		return v
	}
	sample := min(max(float64(promptTokens+requestTokens)/took.Seconds(), minSpeed), maxSpeed)
	if v.tokensPerSecond == 0 {
		v.tokensPerSecond = defaultSpeed
	}
	if sample > v.tokensPerSecond {
		return readSpeed{tokensPerSecond: min(sample, v.tokensPerSecond*faster)}
	}
	return readSpeed{tokensPerSecond: max(sample, v.tokensPerSecond*slower)}
}

// timeFor returns how long the engine needs for a prompt, at most maxReadTime.
func (v readSpeed) timeFor(promptTokens int64) time.Duration {
	speed := v.tokensPerSecond
	if speed == 0 {
		speed = defaultSpeed
	}
	return min(time.Duration(float64(max(promptTokens, 0)+requestTokens)/speed*float64(time.Second)), maxReadTime)
}
