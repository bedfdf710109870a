// Package aflimit splits a customer's rate and burst over VMs. It has token buckets, base shares and short loans of
// parts of a base share.
//
// Every function depends only on the state, the event and the now argument. An instant is a duration since an
// arbitrary origin on the VM's own monotonic clock.
package aflimit

import (
	"math"
	"math/bits"
	"time"
)

// Amount is a number of tokens in units of 1e-9 token, or a rate in that unit per second. Integers keep refills
// exact.
type Amount int64

// Token is one token.
const Token Amount = 1_000_000_000

// maxTokens bounds an Amount, in whole tokens, so that sums of a few amounts do not overflow.
const maxTokens = int64(math.MaxInt64 / 4 / Token)

// Tokens returns the amount of n tokens, bounded to about 2.3e9 tokens in either direction.
func Tokens(n int64) Amount {
	return Amount(max(-maxTokens, min(n, maxTokens))) * Token
}

// WholeTokens returns the amount in whole tokens, rounded towards zero.
func (a Amount) WholeTokens() int64 { return int64(a / Token) }

// TotalParts is the number of parts that a customer's limit is divided into. It is divisible by 1 to 8, so that an
// equal split over the share set leaves no remainder.
const TotalParts int64 = 840_000

// Limit is the sustained rate and the capacity of a token bucket.
type Limit struct {
	// Rate is the amount that accrues per second.
	Rate Amount
	// Burst is the capacity.
	Burst Amount
}

// ForParts returns the limit of a VM that holds the parts. It rounds down, so that the limits of all VMs together
// never exceed the whole limit.
func (l Limit) ForParts(p Parts) Limit {
	p = p.Max(Parts{}).Min(EqualParts(TotalParts))
	return Limit{Rate: mulDiv(l.Rate, p.Rate, TotalParts), Burst: mulDiv(l.Burst, p.Burst, TotalParts)}
}

// Parts is a share of a customer's rate and a share of its burst. The two are lent separately, because a VM that
// holds refundable tokens needs capacity long after its demand for rate has ended.
type Parts struct {
	// Rate is the share of the rate, out of TotalParts.
	Rate int64 `json:"rate"`
	// Burst is the share of the burst, out of TotalParts.
	Burst int64 `json:"burst"`
}

// Plus returns the sum of both shares.
func (p Parts) Plus(q Parts) Parts { return Parts{Rate: p.Rate + q.Rate, Burst: p.Burst + q.Burst} }

// Minus returns the difference of both shares, each at least zero.
func (p Parts) Minus(q Parts) Parts {
	return Parts{Rate: max(0, p.Rate-q.Rate), Burst: max(0, p.Burst-q.Burst)}
}

// Min returns the lower rate share and the lower burst share.
func (p Parts) Min(q Parts) Parts {
	return Parts{Rate: min(p.Rate, q.Rate), Burst: min(p.Burst, q.Burst)}
}

// Max returns the higher rate share and the higher burst share.
func (p Parts) Max(q Parts) Parts {
	return Parts{Rate: max(p.Rate, q.Rate), Burst: max(p.Burst, q.Burst)}
}

// Covers reports whether neither share of p is below that of q.
func (p Parts) Covers(q Parts) bool { return p.Rate >= q.Rate && p.Burst >= q.Burst }

// IsZero reports whether both shares are zero.
func (p Parts) IsZero() bool { return p == Parts{} }

// EqualParts returns n parts of the rate and n parts of the burst.
func EqualParts(n int64) Parts { return Parts{Rate: n, Burst: n} }

// PartsForBurst returns the smallest number of parts whose capacity is at least the amount. The result is at most
// TotalParts.
func (l Limit) PartsForBurst(a Amount) int64 { return partsCovering(a, l.Burst) }

// PartsForRate returns the smallest number of parts whose rate is at least the given rate. The result is at most
// TotalParts.
func (l Limit) PartsForRate(rate Amount) int64 { return partsCovering(rate, l.Rate) }

// partsCovering returns the smallest number of parts of total that amount to at least a.
func partsCovering(a, total Amount) int64 {
	if a <= 0 {
		return 0
	}
	if a >= total {
		return TotalParts
	}
	n := int64(mulDiv(Amount(TotalParts), int64(a), int64(total)))
	if mulDiv(total, n, TotalParts) < a {
		n++
	}
	return n
}

// mulDiv returns a x n / d, rounded down, for 0 <= n <= d.
func mulDiv(a Amount, n, d int64) Amount {
	if a <= 0 || n <= 0 || d <= 0 {
		return 0
	}
	hi, lo := bits.Mul64(uint64(a), uint64(n))
	q, _ := bits.Div64(hi, lo, uint64(d))
	return Amount(q)
}

// accruedTokens returns the tokens that accrue at the rate during d. The remainder of the division is passed on from
// one refill to the next, so that no fraction is lost. fits is false if the amount exceeds every possible capacity.
func accruedTokens(rate Amount, d time.Duration, remainder uint64) (accrued Amount, newRemainder uint64, fits bool) {
	hi, lo := bits.Mul64(uint64(rate), uint64(d))
	lo, carry := bits.Add64(lo, remainder, 0)
	hi += carry
	if hi >= uint64(time.Second) {
		return 0, 0, false
	}
	q, newRemainder := bits.Div64(hi, lo, uint64(time.Second))
	if q > math.MaxInt64/4 {
		return 0, 0, false
	}
	return Amount(q), newRemainder, true
}
