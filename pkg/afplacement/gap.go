package afplacement

import (
	"math"
	"time"
)

const (
	// gapBuckets cover idle times of 1 s to 9 h, each bucket reaching to the square root of two times its start.
	gapBuckets = 30
	// gapDecay weighs old idle times down with each new one, to a memory of about a thousand.
	gapDecay = 0.999
	// priorRisk and priorEnds are added to each bucket: without observations, one idle time in seven that reached a
	// bucket ends in it, which is the usual heavy tail.
	priorRisk = 2
	priorEnds = 0.3
)

// gaps counts how long models of the service were idle before the next request.
type gaps [gapBuckets]float64

func gapStart(i int) float64 { return math.Pow(2, float64(i)/2) }

// bucket returns the index of the bucket of an idle time, at least zero.
func bucket(d time.Duration) int {
	if d <= time.Second {
		return 0
	}
	return min(int(2*math.Log2(d.Seconds())), gapBuckets-1)
}

func (g gaps) add(d time.Duration) gaps {
	for i := range g {
		g[i] *= gapDecay
	}
	g[bucket(d)]++
	return g
}

// outlook is the chance that an idle time which reaches a bucket ends in it.
type outlook [gapBuckets]float64

// outlook estimates from the idle times that ended and from those of models that are still idle.
func (v View) outlook(now time.Time) outlook {
	var risk, out outlook
	for _, used := range v.used {
		risk[bucket(now.Sub(used))]++
	}
	total := 0.0
	for i := gapBuckets - 1; i >= 0; i-- {
		total += v.gaps[i]
		// Of the models that are idle at a time in the bucket, half of the bucket has been at risk on average.
		out[i] = (v.gaps[i] + priorEnds) / (total + risk[i]/2 + priorRisk)
		total += risk[i]
	}
	return out
}

// pays reports whether holding a replica that has been idle for the time pays for some time ahead. BreakEven is the
// cost of the next cold start over the cost of holding for one second; planned is the expected arrivals per second.
func (o outlook) pays(idle time.Duration, breakEven, planned float64) bool {
	t := max(idle.Seconds(), 1)
	alive, ended, held := 1.0, 0.0, 0.0
	for i := bucket(idle); i < gapBuckets; i++ {
		lo, hi := gapStart(i), gapStart(i+1)
		from := max(lo, t)
		q := o[i] * (hi - from) / (hi - lo)
		q = 1 - (1-q)*math.Exp(-planned*(hi-from))
		ended += alive * q
		held += alive * (hi - from) * (1 - q/2)
		alive *= 1 - q
		if ended*breakEven >= held {
			return true
		}
		if held > breakEven {
			return false
		}
	}
	return false
}
