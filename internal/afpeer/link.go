package afpeer

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afframe"
	"arbutusfork.example/arbutusfork/pkg/afring"
)

const (
	// handlerQueue bounds the requests of one link that wait for their handlers.
	handlerQueue = 256

	// maxBodyBytes bounds a message. The frame around it takes less than the rest.
	maxBodyBytes = afframe.MaxFrameBytes - 1024

	kindHello = "hello"
	kindBeat  = "beat"
	kindError = "error"
)

// link is one connection. The VM that dialled sends requests; the other one answers them.
type link struct {
	service *Service
	conn    *Conn
	decoder afframe.Decoder
	// from is the VM at the other end, set by hello.
	from     atomic.Pointer[arbutusfork.Incarnation]
	requests *afring.Ring[afframe.Frame]
	frames   atomic.Int64 // frames counts what was received since the last check.
	ctx      context.Context
	cancel   context.CancelFunc

	mu      sync.Mutex
	seq     uint64
	pending map[uint64]func(afframe.Frame, error)
}

func (s *Service) newLink(conn *Conn) *link {
	l := &link{
		service: s, conn: conn,
		requests: afring.New[afframe.Frame](handlerQueue),
		pending:  make(map[uint64]func(afframe.Frame, error)),
	}
	l.ctx, l.cancel = context.WithCancel(s.ctx)
	conn.Data = l.data
	conn.Closed = l.closed
	return l
}

func (l *link) alive() bool { return l.ctx.Err() == nil }

func (l *link) close() {
	l.conn.Close()
	l.closed()
}

// closed fails the calls that wait. It may run more than once.
func (l *link) closed() {
	l.cancel()
	l.mu.Lock()
	pending := l.pending
	l.pending = nil
	l.mu.Unlock()
	for _, fn := range pending {
		fn(afframe.Frame{}, errors.New("connection closed"))
	}
}

func (l *link) data(b []byte) {
	l.service.stats.bytesIn.Add(int64(len(b)))
	if err := l.decoder.FeedBytes(b, l.frame); err != nil {
		l.service.log().Warn("peer link closed after a malformed frame", "error", err)
		l.close()
	}
}

// frame takes one received frame. Heartbeats are answered here, so that a slow handler does not look like a
// dead VM.
func (l *link) frame(f afframe.Frame) {
	l.service.stats.messagesIn.Add(1)
	l.frames.Add(1)
	if f.IsAnswer {
		l.mu.Lock()
		fn := l.pending[f.ID]
		delete(l.pending, f.ID)
		l.mu.Unlock()
		if fn != nil {
			fn(f, nil)
		}
		return
	}
	from := l.from.Load()
	switch {
	case f.Kind == kindHello:
		l.answer(f, l.service.greet(l, f.Body), nil)
	case from == nil:
		l.service.log().Warn("peer link closed: message before hello", "kind", f.Kind)
		l.close()
	case f.Kind == kindBeat:
		l.answer(f, l.service.beat(*from, f.Body), nil)
	case !l.requests.Push(f):
		l.service.log().Warn("message refused: too many wait", "kind", f.Kind, "vm", from.VM)
		l.answer(f, nil, errors.New("too many messages wait"))
	}
}

// serve runs the handlers, in the order of the messages, until the link ends.
func (l *link) serve() {
	l.requests.Drain(l.ctx, func(f afframe.Frame) {
		h := l.service.handlers[f.Kind]
		if h == nil {
			l.answer(f, nil, errors.Errorf("no handler for %q", f.Kind))
			return
		}
		out, err := h(*l.from.Load(), f.Body)
		if err != nil {
			l.service.log().Debug("peer message failed", "kind", f.Kind, "vm", l.from.Load().VM, "error", err)
		}
		l.answer(f, out, err)
	})
}

func (l *link) answer(f afframe.Frame, out any, err error) {
	if f.ID == 0 {
		return
	}
	reply := afframe.Frame{Kind: f.Kind, ID: f.ID, IsAnswer: true}
	if err == nil {
		reply.Body, err = encode(out)
	}
	if err != nil {
		reply.Kind = kindError
		reply.Body, _ = msgpack.Marshal(err.Error()) // A string can always be encoded.
	}
	if err := l.write(reply); err != nil {
		l.close()
	}
}

func encode(message any) ([]byte, error) {
	b, err := msgpack.Marshal(message)
	if err == nil && len(b) > maxBodyBytes {
		return nil, errors.Errorf("message of %d bytes", len(b))
	}
	return b, err
}

func (l *link) write(f afframe.Frame) error {
	b, err := afframe.AppendFrame(nil, f)
	if err != nil {
		return err
	}
	l.service.stats.messagesOut.Add(1)
	l.service.stats.bytesOut.Add(int64(len(b)))
	return l.conn.Write(b)
}

// request sends a frame and calls fn once with the answer or with an error. It returns a function that forgets
// the request.
func (l *link) request(kind string, body []byte, fn func(afframe.Frame, error)) func() {
	l.mu.Lock()
	if l.pending == nil {
		l.mu.Unlock()
		fn(afframe.Frame{}, errors.New("connection closed"))
		return func() {}
	}
	l.seq++
	id := l.seq
	l.pending[id] = fn
	l.mu.Unlock()
	if err := l.write(afframe.Frame{Kind: kind, ID: id, Body: body}); err != nil {
		l.close()
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.pending, id)
	}
}

// call sends a request and waits for its answer.
func (l *link) call(ctx context.Context, kind string, body []byte) (afframe.Frame, error) {
	type result struct {
		frame afframe.Frame
		err   error
	}
	done := make(chan result, 1)
	forget := l.request(kind, body, func(f afframe.Frame, err error) { done <- result{f, err} })
	defer forget()
	select {
	case r := <-done:
		return r.frame, r.err
	case <-ctx.Done():
		return afframe.Frame{}, ctx.Err()
	}
}
