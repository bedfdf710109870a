// Package aflimit splits a customer's rate and burst over VMs: token buckets, base shares and short loans.
//
// Every function is deterministic in its state, the event and now. Instants are durations since an arbitrary
// origin of the VM's own monotonic clock.
package aflimit

import (
	"math"
	"math/bits"
	"time"
)

// Amount is a number of tokens in units of 1e-9 token, or a rate in that unit per second. Integers keep refills exact.
type Amount int64

// Token is one token.
const Token Amount = 1_000_000_000

const maxTokens = int64(math.MaxInt64 / 4 / Token)

// Tokens returns the amount of n tokens, bounded to about 2.3e9 tokens so that sums do not overflow.
func Tokens(n int64) Amount {
	return Amount(max(-maxTokens, min(n, maxTokens))) * Token
}

// WholeTokens returns the whole tokens in the amount.
func (a Amount) WholeTokens() int64 { return int64(a / Token) }

// TotalParts is the number of parts that a customer's limit is divided into. It is divisible by 1 to 8, so that an equal
// split over the share set leaves no remainder.
const TotalParts int64 = 840_000

// Limit is a token bucket's sustained rate per second and its capacity.
type Limit struct {
	Rate  Amount
	Burst Amount
}

// ForParts returns the limit of a holder of that many parts, rounded down, so that the parts never exceed the whole.
func (l Limit) ForParts(p Parts) Limit {
	p = p.Max(Parts{}).Min(EqualParts(TotalParts))
	return Limit{Rate: scale(l.Rate, p.Rate, TotalParts), Burst: scale(l.Burst, p.Burst, TotalParts)}
}

// Parts is a share of a customer's rate and of its burst, each out of TotalParts. They are lent apart, since a VM that holds
// refundable tokens needs capacity long after its demand for rate has gone.
type Parts struct {
	Rate  int64 `json:"rate"`
	Burst int64 `json:"burst"`
}

// Plus returns the sum.
func (p Parts) Plus(q Parts) Parts { return Parts{Rate: p.Rate + q.Rate, Burst: p.Burst + q.Burst} }

// Minus returns the difference, at least zero.
func (p Parts) Minus(q Parts) Parts {
	return Parts{Rate: max(0, p.Rate-q.Rate), Burst: max(0, p.Burst-q.Burst)}
}

// Min returns the lesser of each.
func (p Parts) Min(q Parts) Parts {
	return Parts{Rate: min(p.Rate, q.Rate), Burst: min(p.Burst, q.Burst)}
}

// Max returns the greater of each.
func (p Parts) Max(q Parts) Parts {
	return Parts{Rate: max(p.Rate, q.Rate), Burst: max(p.Burst, q.Burst)}
}

// Covers reports whether p is at least q in both.
func (p Parts) Covers(q Parts) bool { return p.Rate >= q.Rate && p.Burst >= q.Burst }

// IsZero reports whether there are no parts.
func (p Parts) IsZero() bool { return p == Parts{} }

// EqualParts returns the same number of parts of rate and burst.
func EqualParts(n int64) Parts { return Parts{Rate: n, Burst: n} }

// PartsForBurst returns the least number of parts whose capacity covers the amount, at most TotalParts.
func (l Limit) PartsForBurst(a Amount) int64 { return partsFor(a, l.Burst) }

// PartsForRate returns the least number of parts whose rate covers the rate, at most TotalParts.
func (l Limit) PartsForRate(rate Amount) int64 { return partsFor(rate, l.Rate) }

func partsFor(a, whole Amount) int64 {
	if a <= 0 {
		return 0
	}
	if a >= whole {
		return TotalParts
	}
	n := int64(scale(Amount(TotalParts), int64(a), int64(whole)))
	if scale(whole, n, TotalParts) < a {
		n++
	}
	return n
}

// scale returns a x n / d rounded down, with 0 <= n <= d.
func scale(a Amount, n, d int64) Amount {
	if a <= 0 || n <= 0 || d <= 0 {
		return 0
	}
	hi, lo := bits.Mul64(uint64(a), uint64(n))
	q, _ := bits.Div64(hi, lo, uint64(d))
	return Amount(q)
}

// refill returns the tokens that accrue at the rate during d, with the remainder carried from the refill before.
// ok is false when the amount is beyond any capacity.
func refill(rate Amount, d time.Duration, carry uint64) (a Amount, rest uint64, ok bool) {
	hi, lo := bits.Mul64(uint64(rate), uint64(d))
	lo, c := bits.Add64(lo, carry, 0)
	hi += c
	if hi >= uint64(time.Second) {
		return 0, 0, false
	}
	q, rest := bits.Div64(hi, lo, uint64(time.Second))
	if q > math.MaxInt64/4 {
		return 0, 0, false
	}
	return Amount(q), rest, true
}
