package afrecover

import (
	"slices"
	"time"
)

// Limit is a customer's limit in tokens.
type Limit struct {
	Rate, Burst int64
}

// grant is a number of tokens that was admitted at an unknown moment between two times.
type grant struct {
	from, until time.Time
	tokens      int64
}

// excess returns the most tokens beyond burst + rate x interval that were certainly admitted within an interval,
// over all intervals from the sending of a request to the answer of one. Zero or less keeps the limit.
func (l Limit) excess(grants []grant) int64 {
	grants = slices.Clone(grants)
	slices.SortFunc(grants, func(a, b grant) int { return a.until.Compare(b.until) })
	worst := -l.Burst
	for _, first := range grants {
		sum := int64(0)
		for _, g := range grants {
			if g.from.Before(first.from) {
				continue
			}
			sum += g.tokens
			allowed := l.Burst + int64(float64(l.Rate)*g.until.Sub(first.from).Seconds())
			worst = max(worst, sum-allowed)
		}
	}
	return worst
}
