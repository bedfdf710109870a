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
	// maxQueuedRequests bounds the requests on one link that wait for their handlers.
	maxQueuedRequests = 256

	// maxBodyBytes bounds an encoded message. The other fields of its frame fit into the 1024 bytes left.
	maxBodyBytes = afframe.MaxFrameBytes - 1024

	// kindHello is the kind of a helloMessage.
	kindHello = "hello"
	// kindBeat is the kind of a heartbeatRequest and of its answer.
	kindBeat = "beat"
	// kindError is the kind of an answer that carries the text of an error.
	kindError = "error"
)

// link is one connection to another VM. The VM that dialled sends requests, and the VM that accepted answers them.
type link struct {
	service *Service
	conn    *Conn
	decoder afframe.Decoder
	// peerIncarnation is the VM at the other end. It is nil until a hello is received.
	peerIncarnation atomic.Pointer[arbutusfork.Incarnation]
	// requests holds the received requests that wait for their handlers.
	requests *afring.Queue[afframe.Frame]
	// framesSinceCheck counts the frames received since the last idle check.
	framesSinceCheck atomic.Int64
	ctx              context.Context
	cancel           context.CancelFunc

	mu            sync.Mutex
	lastRequestID uint64
	// answerCallbacks maps the IDs of unanswered requests to their callbacks. It is nil once the link is closed.
	answerCallbacks map[uint64]func(afframe.Frame, error)
}

func (s *Service) newLink(conn *Conn) *link {
	l := &link{
		service: s, conn: conn,
		requests:        afring.New[afframe.Frame](maxQueuedRequests),
		answerCallbacks: make(map[uint64]func(afframe.Frame, error)),
	}
	l.ctx, l.cancel = context.WithCancel(s.ctx)
	conn.OnData = l.receiveBytes
	conn.OnClosed = l.handleClose
	return l
}

func (l *link) isOpen() bool { return l.ctx.Err() == nil }

func (l *link) close() {
	l.conn.Close()
	l.handleClose()
}

// handleClose ends the context of the link and fails the requests without an answer. It may be called more than once.
func (l *link) handleClose() {
	l.cancel()
	l.mu.Lock()
	callbacks := l.answerCallbacks
	l.answerCallbacks = nil
	l.mu.Unlock()
	for _, fn := range callbacks {
		fn(afframe.Frame{}, errors.New("connection closed"))
	}
}

// receiveBytes decodes received bytes into frames. Malformed frames close the link.
func (l *link) receiveBytes(b []byte) {
	l.service.stats.bytesReceived.Add(int64(len(b)))
	if err := l.decoder.FeedBytes(b, l.receiveFrame); err != nil {
		l.service.log().Warn("peer link closed after a malformed frame", "error", err)
		l.close()
	}
}

// receiveFrame handles one received frame. Heartbeats bypass the queue of requests, so that a VM with a slow handler is
// not suspected.
func (l *link) receiveFrame(f afframe.Frame) {
	l.service.stats.messagesReceived.Add(1)
	l.framesSinceCheck.Add(1)
	if f.IsAnswer {
		l.mu.Lock()
		fn := l.answerCallbacks[f.ID]
		delete(l.answerCallbacks, f.ID)
		l.mu.Unlock()
		if fn != nil {
			fn(f, nil)
		}
		return
	}
	from := l.peerIncarnation.Load()
	switch {
	case f.Kind == kindHello:
		l.sendAnswer(f, l.service.answerHello(l, f.Body), nil)
	case from == nil:
		l.service.log().Warn("peer link closed: message before hello", "kind", f.Kind)
		l.close()
	case f.Kind == kindBeat:
		l.sendAnswer(f, l.service.answerHeartbeat(*from, f.Body), nil)
	case !l.requests.TryPush(f):
		l.service.log().Warn("message refused: handler queue full", "kind", f.Kind, "vm", from.VM)
		l.sendAnswer(f, nil, errors.New("too many messages wait"))
	}
}

// serveRequests calls the handlers in the order in which the requests were received, until the link is closed.
func (l *link) serveRequests() {
	l.requests.Consume(l.ctx, func(f afframe.Frame) {
		handler := l.service.handlers[f.Kind]
		if handler == nil {
			l.sendAnswer(f, nil, errors.Errorf("no handler for %q", f.Kind))
			return
		}
		answer, err := handler(*l.peerIncarnation.Load(), f.Body)
		if err != nil {
			l.service.log().Debug("handler of peer message failed", "kind", f.Kind, "vm", l.peerIncarnation.Load().VM, "error", err)
		}
		l.sendAnswer(f, answer, err)
	})
}

// sendAnswer answers a request with a message or, if err is not nil, with an error. A frame with ID 0 takes no answer.
func (l *link) sendAnswer(f afframe.Frame, answer any, err error) {
	if f.ID == 0 {
		return
	}
	reply := afframe.Frame{Kind: f.Kind, ID: f.ID, IsAnswer: true}
	if err == nil {
		reply.Body, err = encodeMessage(answer)
	}
	if err != nil {
		reply.Kind = kindError
		reply.Body, _ = msgpack.Marshal(err.Error()) // A string can always be encoded.
	}
	if err := l.writeFrame(reply); err != nil {
		l.close()
	}
}

// encodeMessage encodes a message and fails if the result is larger than maxBodyBytes.
func encodeMessage(message any) ([]byte, error) {
	b, err := msgpack.Marshal(message)
	if err == nil && len(b) > maxBodyBytes {
		return nil, errors.Errorf("message of %d bytes", len(b))
	}
	return b, err
}

// writeFrame encodes a frame, counts it and queues it on the connection.
func (l *link) writeFrame(f afframe.Frame) error {
	b, err := afframe.AppendFrame(nil, f)
	if err != nil {
		return err
	}
	l.service.stats.messagesSent.Add(1)
	l.service.stats.bytesSent.Add(int64(len(b)))
	return l.conn.Write(b)
}

// sendRequest sends a request and calls onAnswer once with the answer or with an error, unless the function that it
// returns is called before. That function discards the answer.
func (l *link) sendRequest(kind string, body []byte, onAnswer func(afframe.Frame, error)) func() {
	l.mu.Lock()
	if l.answerCallbacks == nil {
		l.mu.Unlock()
		onAnswer(afframe.Frame{}, errors.New("connection closed"))
		return func() {}
	}
	l.lastRequestID++
	id := l.lastRequestID
	l.answerCallbacks[id] = onAnswer
	l.mu.Unlock()
	if err := l.writeFrame(afframe.Frame{Kind: kind, ID: id, Body: body}); err != nil {
		l.close()
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.answerCallbacks, id)
	}
}

// requestAndWait sends a request and waits for the answer until ctx ends.
func (l *link) requestAndWait(ctx context.Context, kind string, body []byte) (afframe.Frame, error) {
	type result struct {
		frame afframe.Frame
		err   error
	}
	done := make(chan result, 1)
	cancelRequest := l.sendRequest(kind, body, func(f afframe.Frame, err error) { done <- result{f, err} })
	defer cancelRequest()
	select {
	case r := <-done:
		return r.frame, r.err
	case <-ctx.Done():
		return afframe.Frame{}, ctx.Err()
	}
}
