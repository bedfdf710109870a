// Package afmemory bounds the memory that a process holds for bytes that others send.
package afmemory

import (
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// FreeBytes is what each holder may hold without a reservation: a few events of a stream, or a short body.
const FreeBytes = 8 << 10

// ErrExhausted means that a reservation would exceed the limit of its budget.
var ErrExhausted = errors.New("the answers in progress hold too much memory")

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind says what holds memory of a Budget.
type Kind int

// The kinds of holders.
const (
	// Answer is a buffered part of an endpoint's answer.
	Answer Kind = iota // answer
	// Body is the body of a caller's request, received or being received.
	Body // body
	// Request is the head of a request and what serving it needs, also while it waits.
	Request // request
	// Connection is an open connection of a caller.
	Connection // connection
	// Unsent is the part of responses that slow callers have not received.
	Unsent // unsent
	// Feed is the copy of the platform's objects.
	Feed // feed
	kindCount
)

const (
	// SmallBytes is the largest part of the budget that a holder may have in order to count as small.
	SmallBytes = 64 << 10
	// The shares of the limit leave room for others: large bodies leave a quarter to small requests and to answers, and
	// requests and connections leave an eighth to answers, which may have begun and are broken without memory.
	largeBodyShare, requestShare = 0.75, 0.875
)

// Budget bounds the bytes that all holders of a process hold together beyond FreeBytes for each answer. It is safe for
// concurrent use. The zero value uses DefaultLimit.
type Budget struct {
	// Limit is the largest number of reserved bytes. Zero means DefaultLimit. It is set before the first reservation.
	Limit int64
	// AnswerLimit is the largest number of bytes of answers, so that these leave room for requests. Zero means Limit. It is
	// set before the first reservation.
	AnswerLimit int64

	mu sync.Mutex
	// reserved is the sum of reservedByKind.
	reserved       int64
	reservedByKind [kindCount]int64
}

// DefaultLimit is the limit of a Budget without one, in bytes: less than a tenth of the smallest VM's memory.
const DefaultLimit = 16 << 20

// unlimitedBytes is more than any process can hold.
const unlimitedBytes = 1 << 50

// processShare is the share of a process's memory limit for what others send. The rest is for the program, stacks, and
// garbage between two collections, which begin at 0.7 of the limit at the latest.
const processShare = 0.5

// NewProcessBudget returns the budget of a process with the given memory limit in bytes, or a budget that bounds only
// answers if the limit is zero.
func NewProcessBudget(memoryLimit int64) *Budget {
	if memoryLimit <= 0 {
		return &Budget{Limit: unlimitedBytes, AnswerLimit: DefaultLimit}
	}
	limit := int64(float64(memoryLimit) * processShare)
	return &Budget{Limit: limit, AnswerLimit: min(DefaultLimit, limit/8)}
}

// Hold returns a holder of an answer without reserved bytes.
func (b *Budget) Hold() *Holder { return b.HoldKind(Answer) }

// HoldKind returns a holder without reserved bytes.
func (b *Budget) HoldKind(kind Kind) *Holder { return &Holder{budget: b, kind: kind} }

// ReservedBytes returns the number of reserved bytes.
func (b *Budget) ReservedBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserved
}

// ReservedBytesOf returns the number of bytes that holders of a kind have reserved.
func (b *Budget) ReservedBytesOf(kind Kind) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reservedByKind[kind]
}

// LimitBytes returns the largest number of reserved bytes.
func (b *Budget) LimitBytes() int64 {
	if b.Limit <= 0 {
		return DefaultLimit
	}
	return b.Limit
}

// Kinds returns all kinds of holders.
func Kinds() []Kind { return []Kind{Answer, Body, Request, Connection, Unsent, Feed} }

// mayAdd reports whether a holder with held bytes may reserve n more. The caller holds the lock.
func (b *Budget) mayAdd(kind Kind, held, n int64) bool {
	limit := b.LimitBytes()
	switch {
	case kind == Answer && b.AnswerLimit > 0 && b.reservedByKind[Answer]+n > b.AnswerLimit:
		return false
	case kind == Answer:
	case kind == Body && held+n > SmallBytes:
		limit = int64(float64(limit) * largeBodyShare)
	default:
		limit = int64(float64(limit) * requestShare)
	}
	return b.reserved+n <= limit
}

// add changes the reserved bytes of a kind. The caller holds the lock.
func (b *Budget) add(kind Kind, n int64) {
	b.reserved += n
	b.reservedByKind[kind] += n
}

// Holder is one user of a Budget. Its methods must not be called concurrently.
type Holder struct {
	budget *Budget
	kind   Kind
	bytes  int64
}

// Reserve reserves n more bytes until Release. It returns false if the limit would be exceeded.
func (h *Holder) Reserve(n int) bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if !h.budget.mayAdd(h.kind, h.bytes, int64(n)) {
		return false
	}
	h.budget.add(h.kind, int64(n))
	h.bytes += int64(n)
	return true
}

// Resize changes the number of reserved bytes to n. It returns false, and changes nothing, if the limit would be exceeded.
func (h *Holder) Resize(n int) bool {
	if int64(n) > h.bytes {
		return h.Reserve(n - int(h.bytes))
	}
	h.Force(n)
	return true
}

// Force sets the number of reserved bytes to n, also beyond the limit, for memory that cannot be refused.
func (h *Holder) Force(n int) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.add(h.kind, int64(n)-h.bytes)
	h.bytes = int64(n)
}

// Release returns all reserved bytes of the holder.
func (h *Holder) Release() { h.Force(0) }

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
