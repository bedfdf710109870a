package afentry

import (
	"io"
	"sync"

	"arbutusfork.example/arbutusfork/internal/afmemory"
)

// Body is the body of a caller's request. It was received in full, unless the server had no memory for it. It holds the
// request's memory until Close.
type Body struct {
	mu        sync.Mutex
	bytes     []byte
	readBytes int
	isRefused bool
	isClosed  bool
	// isTaken means that the request runs, so that its end closes the body. The connection closes other bodies.
	isTaken bool
	// held and heldHead are the memory of the body and of the rest of the request.
	held, heldHead *afmemory.Holder
}

// IsRefused reports whether the body was not received because the process has no memory for it.
func (b *Body) IsRefused() bool { return b.isRefused }

// Bytes returns the body without a copy. It must not be changed. It is nil after Close.
func (b *Body) Bytes() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes
}

// Read reads the rest of the body.
func (b *Body) Read(out []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.readBytes >= len(b.bytes) {
		return 0, io.EOF
	}
	n := copy(out, b.bytes[b.readBytes:])
	b.readBytes += n
	return n, nil
}

// Close lets the bytes go and returns their memory to the budget. Further calls do nothing.
func (b *Body) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isClosed {
		b.isClosed, b.bytes = true, nil
		b.held.Release()
		b.heldHead.Release()
	}
	return nil
}

// take marks the body as that of a running request.
func (b *Body) take() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isTaken = true
}

// closeUntaken closes the body unless its request runs.
func (b *Body) closeUntaken() {
	b.mu.Lock()
	isTaken := b.isTaken
	b.mu.Unlock()
	if !isTaken {
		_ = b.Close()
	}
}

// isOver reports whether the body was closed.
func (b *Body) isOver() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isClosed
}
