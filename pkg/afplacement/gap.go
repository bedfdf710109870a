package afplacement

import (
	"math"
	"time"
)

const (
	// idleGapBuckets is the number of buckets for idle times of 1 s to 9 h. Each bucket ends at the square root of two
	// times its start.
	idleGapBuckets = 30
	// idleGapDecay is the factor applied to all counts at each new idle time, so that about the last thousand idle
	// times count.
	idleGapDecay = 0.999
	// priorAtRisk is added to the number of idle times that reached a bucket. Without observations, one idle time in
	// seven that reached a bucket ends in it, which is the usual heavy tail.
	priorAtRisk = 2
	// priorEnded is added to the number of idle times that ended in a bucket.
	priorEnded = 0.3
)

// idleGaps counts, by bucket, how long models of the service were idle before their next request.
type idleGaps [idleGapBuckets]float64

// bucketStart returns the start of a bucket in seconds.
func bucketStart(i int) float64 { return math.Pow(2, float64(i)/2) }

// bucketIndex returns the index of the bucket of an idle time. Times below 1 s are in bucket 0.
func bucketIndex(d time.Duration) int {
	if d <= time.Second {
		return 0
	}
	return min(int(2*math.Log2(d.Seconds())), idleGapBuckets-1)
}

func (g idleGaps) withIdleTime(d time.Duration) idleGaps {
	for i := range g {
		g[i] *= idleGapDecay
	}
	g[bucketIndex(d)]++
	return g
}

// hazardRates are, by bucket, the probabilities that an idle time which reaches the bucket ends in it.
type hazardRates [idleGapBuckets]float64

// hazardRates estimates the probabilities from the idle times that have ended and those of models that are still idle.
func (v View) hazardRates(now time.Time) hazardRates {
	var atRisk, hazards hazardRates
	for _, used := range v.lastUsedAt {
		atRisk[bucketIndex(now.Sub(used))]++
	}
	reached := 0.0
	for i := idleGapBuckets - 1; i >= 0; i-- {
		reached += v.idleGaps[i]
		// A model that is still idle in the bucket has spent half of the bucket idle on average.
		hazards[i] = (v.idleGaps[i] + priorEnded) / (reached + atRisk[i]/2 + priorAtRisk)
		reached += atRisk[i]
	}
	return hazards
}

// isHoldingWorthwhile reports whether to keep a replica loaded that has been idle for the given time, because for some
// period ahead the expected saving exceeds the cost. breakEven is the cost of the next cold start divided by the cost
// of holding the replica for one second. plannedRate is the planned arrivals per second.
func (h hazardRates) isHoldingWorthwhile(idle time.Duration, breakEven, plannedRate float64) bool {
	idleSeconds := max(idle.Seconds(), 1)
	survival, expectedReuse, expectedHeldSeconds := 1.0, 0.0, 0.0
	for i := bucketIndex(idle); i < idleGapBuckets; i++ {
		lo, hi := bucketStart(i), bucketStart(i+1)
		from := max(lo, idleSeconds)
		reuse := h[i] * (hi - from) / (hi - lo)
		reuse = 1 - (1-reuse)*math.Exp(-plannedRate*(hi-from))
		expectedReuse += survival * reuse
		expectedHeldSeconds += survival * (hi - from) * (1 - reuse/2)
		survival *= 1 - reuse
		if expectedReuse*breakEven >= expectedHeldSeconds {
			return true
		}
		if expectedHeldSeconds > breakEven {
			return false
		}
	}
	return false
}
