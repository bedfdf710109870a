package aflimit

import "time"

// Reservation is a number of tokens taken from a bucket until the number actually used is known.
type Reservation struct {
	reserved Amount
	// refundable is the part of the reserved tokens that a settlement may still return to the bucket.
	refundable Amount
	reservedAt time.Duration
	isSettled  bool
	// older and newer link the reservations of a bucket that have refundable tokens, in order of time.
	older, newer *Reservation
}

// TokenBucket is a token bucket with reservations. Its invariant is level + refundable <= capacity, so that the
// tokens that can be admitted after any instant, without refill, never exceed the capacity.
type TokenBucket struct {
	limit Limit
	// level is the number of tokens that can be reserved. It is negative after a settlement above its reservation.
	level Amount
	// refundable is the sum of the refundable tokens of all reservations.
	refundable Amount
	// refillRemainder is the remainder of the last refill in units of 1e-18 token.
	refillRemainder uint64
	// refilledAt is the instant up to which the bucket has been refilled.
	refilledAt time.Duration
	// oldest is the first of the reservations that still have refundable tokens.
	oldest *Reservation
	// newest is the last of the reservations that still have refundable tokens.
	newest *Reservation
	// disabledGuards is set by tests only.
	disabledGuards guard
}

// advanceTo refills the bucket up to now. An earlier instant than that of the last refill has no effect.
func (b *TokenBucket) advanceTo(now time.Duration) {
	if now <= b.refilledAt {
		return
	}
	accrued, remainder, fits := accruedTokens(b.limit.Rate, now-b.refilledAt, b.refillRemainder)
	b.refilledAt, b.refillRemainder = now, remainder
	if fits {
		b.level += accrued
	} else {
		b.level = b.limit.Burst
	}
	b.trimToCapacity()
}

// trimToCapacity restores the invariant. It first lowers the level to the capacity, and then cuts refundable tokens,
// those of the oldest reservation first.
func (b *TokenBucket) trimToCapacity() {
	if b.level >= b.limit.Burst {
		b.level, b.refillRemainder = b.limit.Burst, 0
	}
	if b.disabledGuards.has(guardRefundCut) {
		return
	}
	excess := b.level + b.refundable - b.limit.Burst
	for r := b.oldest; r != nil && excess > 0; r = b.oldest {
		excess -= b.cutRefund(r, excess)
	}
}

// endRefunds cuts all refundable tokens of reservations made before the instant.
func (b *TokenBucket) endRefunds(before time.Duration) {
	for r := b.oldest; r != nil && r.reservedAt < before; r = b.oldest {
		b.cutRefund(r, r.refundable)
	}
}

// cutRefund lowers the refundable tokens of the reservation by up to a, and returns the tokens cut.
func (b *TokenBucket) cutRefund(r *Reservation, a Amount) Amount {
	a = min(a, r.refundable)
	r.refundable -= a
	b.refundable -= a
	if r.refundable == 0 {
		b.unlinkReservation(r)
	}
	return a
}

// reserveTokens takes the amount from the level. It returns nil if the level is lower.
func (b *TokenBucket) reserveTokens(a Amount) *Reservation {
	if a < 0 || a > b.level {
		return nil
	}
	r := &Reservation{reserved: a, refundable: a, reservedAt: b.refilledAt}
	if a == 0 {
		return r
	}
	r.older = b.newest
	b.level -= a
	b.refundable += a
	if b.newest != nil {
		b.newest.newer = r
	} else {
		b.oldest = r
	}
	b.newest = r
	return r
}

// settleReservation replaces the reserved tokens by the number actually used and returns the refund. A second
// settlement has no effect.
func (b *TokenBucket) settleReservation(r *Reservation, actual Amount) Amount {
	if r.isSettled {
		return 0
	}
	r.isSettled = true
	refund := min(r.reserved-actual, r.refundable)
	if r.refundable > 0 {
		b.refundable -= r.refundable
		r.refundable = 0
		b.unlinkReservation(r)
	}
	b.level += refund // A refund is negative if more tokens were used than reserved.
	b.trimToCapacity()
	return refund
}

// setLimit changes the limit, and cuts the level and the refundable tokens to the new capacity.
func (b *TokenBucket) setLimit(l Limit) {
	b.limit = l
	b.trimToCapacity()
}

// addTokens adds the amount to the level, up to the capacity.
func (b *TokenBucket) addTokens(a Amount) {
	b.level += a
	b.trimToCapacity()
}

// takeTokens removes up to the amount from the level and returns the tokens removed.
func (b *TokenBucket) takeTokens(a Amount) Amount {
	a = max(0, min(a, b.level))
	b.level -= a
	return a
}

// unlinkReservation removes the reservation from the list of those with refundable tokens.
func (b *TokenBucket) unlinkReservation(r *Reservation) {
	if r.older != nil {
		r.older.newer = r.newer
	} else if b.oldest == r {
		b.oldest = r.newer
	}
	if r.newer != nil {
		r.newer.older = r.older
	} else if b.newest == r {
		b.newest = r.older
	}
	r.older, r.newer = nil, nil
}
