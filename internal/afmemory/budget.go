// Package afmemory bounds the memory that a process holds for bytes that others send.
package afmemory

import (
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// FreeBytes is what each holder may hold without a reservation: a few events of a stream, or a short body.
const FreeBytes = 8 << 10

// ErrExhausted means that a reservation would exceed the limit of its budget.
var ErrExhausted = errors.New("the answers in progress hold too much memory")

// Budget bounds the bytes that all holders of a process hold together beyond FreeBytes each. It is safe for concurrent
// use. The zero value uses DefaultLimit.
type Budget struct {
	// Limit is the largest number of reserved bytes. Zero means DefaultLimit. It is set before the first reservation.
	Limit int64

	reserved atomic.Int64
}

// DefaultLimit is the limit of a Budget without one, in bytes: less than a tenth of the smallest VM's memory.
const DefaultLimit = 16 << 20

// Hold returns a holder without reserved bytes.
func (b *Budget) Hold() *Holder { return &Holder{budget: b} }

// ReservedBytes returns the number of reserved bytes.
func (b *Budget) ReservedBytes() int64 { return b.reserved.Load() }

// Holder is one user of a Budget. Its methods must not be called concurrently.
type Holder struct {
	budget *Budget
	bytes  int64
}

// Reserve reserves n more bytes until Release. It returns false if the limit would be exceeded.
func (h *Holder) Reserve(n int) bool {
	limit := h.budget.Limit
	if limit <= 0 {
		limit = DefaultLimit
	}
	if h.budget.reserved.Add(int64(n)) > limit {
		h.budget.reserved.Add(int64(-n))
		return false
	}
	h.bytes += int64(n)
	return true
}

// Release returns all reserved bytes of the holder.
func (h *Holder) Release() {
	h.budget.reserved.Add(-h.bytes)
	h.bytes = 0
}

// ReadBody reads a body of the given length, which is negative if it is unknown, until its end or until maxBytes are read.
// It returns what it has read and whether that is the whole body. The body is not whole either if the budget is exhausted;
// the error is nil then.
func (h *Holder) ReadBody(r io.Reader, length int64, maxBytes int) (body []byte, isWhole bool, err error) {
	body = make([]byte, 0, firstCapacity(length))
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return nil, false, err
		}
		if len(body) < cap(body) {
			continue
		}
		if len(body) > maxBytes || !h.Reserve(cap(body)) {
			return body, false, nil
		}
		body = append(make([]byte, 0, 2*cap(body)), body...)
	}
}

// firstCapacity returns the size of the first buffer for a body. The buffer has room for one byte more than the body, so
// that the end of the body is read without a larger buffer.
func firstCapacity(length int64) int {
	const minCapacity = 512
	if length < 0 || length >= FreeBytes {
		return FreeBytes
	}
	return max(int(length)+1, minCapacity)
}

// HeadLimiter bounds the bytes that are read until the head of a message is complete.
type HeadLimiter struct {
	Reader io.Reader
	// RemainingBytes is how many bytes may still be read before the end of the head.
	RemainingBytes int
	// IsHeadComplete removes the bound.
	IsHeadComplete bool
}

// ErrHeadTooLong means that a head is longer than its bound.
var ErrHeadTooLong = errors.New("the head of the answer is too long")

// Read reads from the reader. It fails with ErrHeadTooLong if the head is too long.
func (l *HeadLimiter) Read(b []byte) (int, error) {
	if l.IsHeadComplete {
		return l.Reader.Read(b)
	}
	if l.RemainingBytes <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := l.Reader.Read(b[:min(len(b), l.RemainingBytes)])
	l.RemainingBytes -= n
	return n, err
}
