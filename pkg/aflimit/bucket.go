package aflimit

import "time"

// Reservation is a reservation of tokens until its actual count is known.
type Reservation struct {
	reserved   Amount
	refundable Amount // refundable is what a settlement may still return.
	at         time.Duration
	settled    bool
	prev, next *Reservation
}

// TokenBucket is a token bucket with reservations. Its invariant is level + refundable <= capacity, so that the tokens
// that can be admitted from any instant on, without refill, never exceed the capacity.
type TokenBucket struct {
	limit      Limit
	level      Amount // level is below zero after a settlement above its reservation.
	refundable Amount // refundable is the sum over all unsettled holds.
	carry      uint64 // carry is the remainder of the last refill in 1e-18 token.
	at         time.Duration
	oldest     *Reservation
	newest     *Reservation
	without    guard
}

// advance refills the bucket up to now. Instants that went by before are ignored.
func (b *TokenBucket) advance(now time.Duration) {
	if now <= b.at {
		return
	}
	a, carry, ok := refill(b.limit.Rate, now-b.at, b.carry)
	b.at, b.carry = now, carry
	if ok {
		b.level += a
	} else {
		b.level = b.limit.Burst
	}
	b.trim()
}

// trim restores the invariant. Refundable tokens go first, those of the oldest hold before others, then the level.
func (b *TokenBucket) trim() {
	if b.level >= b.limit.Burst {
		b.level, b.carry = b.limit.Burst, 0
	}
	if b.without.has(guardRefundCut) {
		return
	}
	excess := b.level + b.refundable - b.limit.Burst
	for h := b.oldest; h != nil && excess > 0; h = b.oldest {
		excess -= b.cut(h, excess)
	}
}

// expire ends the refunds of holds from before the instant.
func (b *TokenBucket) expire(before time.Duration) {
	for h := b.oldest; h != nil && h.at < before; h = b.oldest {
		b.cut(h, h.refundable)
	}
}

// cut takes up to the amount from what the hold may still return, and returns what it took.
func (b *TokenBucket) cut(h *Reservation, a Amount) Amount {
	a = min(a, h.refundable)
	h.refundable -= a
	b.refundable -= a
	if h.refundable == 0 {
		b.unlink(h)
	}
	return a
}

// reserve takes the amount from the level, or returns nil when the level is lower.
func (b *TokenBucket) reserve(a Amount) *Reservation {
	if a < 0 || a > b.level {
		return nil
	}
	h := &Reservation{reserved: a, refundable: a, at: b.at}
	if a == 0 {
		return h
	}
	h.prev = b.newest
	b.level -= a
	b.refundable += a
	if b.newest != nil {
		b.newest.next = h
	} else {
		b.oldest = h
	}
	b.newest = h
	return h
}

// settle replaces the reservation by the actual count and returns the refund. A second settlement has no effect.
func (b *TokenBucket) settle(h *Reservation, actual Amount) Amount {
	if h.settled {
		return 0
	}
	h.settled = true
	refund := min(h.reserved-actual, h.refundable)
	if h.refundable > 0 {
		b.refundable -= h.refundable
		h.refundable = 0
		b.unlink(h)
	}
	b.level += refund // A negative refund is the debt of a count above its reservation.
	b.trim()
	return refund
}

// resize changes the limit and cuts refundable tokens and the level to the new capacity.
func (b *TokenBucket) resize(l Limit) {
	b.limit = l
	b.trim()
}

// add puts tokens into the level, up to the capacity.
func (b *TokenBucket) add(a Amount) {
	b.level += a
	b.trim()
}

// take removes up to the amount from the level and returns what it removed.
func (b *TokenBucket) take(a Amount) Amount {
	a = max(0, min(a, b.level))
	b.level -= a
	return a
}

func (b *TokenBucket) unlink(h *Reservation) {
	if h.prev != nil {
		h.prev.next = h.next
	} else if b.oldest == h {
		b.oldest = h.next
	}
	if h.next != nil {
		h.next.prev = h.prev
	} else if b.newest == h {
		b.newest = h.prev
	}
	h.prev, h.next = nil, nil
}
