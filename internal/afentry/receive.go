package afentry

import (
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afmemory"
)

const (
	// requestBytes is what a request in progress needs beside its head and its body: two goroutines, buffers and the state
	// of the request.
	requestBytes = 24 << 10
	// connectionBytes is what an open connection needs.
	connectionBytes = 4 << 10
	// headCopies is how many copies of a head exist at once: the parser's buffer, which grows by half at most, and the fields.
	headCopies = 3
	// parsedBodyCopies is the same for a body that the parser assembles.
	parsedBodyCopies = 3
	// memoryRetryAfter is the Retry-After of requests that are refused because the process has no memory for them.
	memoryRetryAfter = time.Second
)

// headEnd is the end of the head of a request.
const headEnd = "\r\n\r\n"

// bodyReceiver receives the requests of one connection. It cuts the received data at the ends of heads and assembles bodies of
// known length itself, each in one buffer for which it has reserved the memory before. The parser would hold up to three
// copies of it and has no bound for all connections. Bodies in chunks are assembled from the parser's events.
//
// The mutex is held while data is received, since a connection may be closed by another goroutine.
type bodyReceiver struct {
	mu     sync.Mutex
	conn   *serverConn
	limits Limits
	// matched is the number of bytes of headEnd that the last received bytes match.
	matched int
	// body is the body of known length that is being received or passed on. Its capacity is bodyLength.
	body []byte
	// bodyLength is the length of that body, or zero.
	bodyLength int
	// discardBytes is the rest of a refused body, which the caller still sends.
	discardBytes int
	// isBodyRefused means that no memory was left for the body of the current request.
	isBodyRefused bool
	// isParserFed means that the parser gets all data as it comes, until the end of the request.
	isParserFed bool
	// parsedBody is the body that was assembled from the parser's events. parsingBytes counts the bytes given to the parser
	// after the last such event, which it may hold.
	parsedBody   []byte
	parsingBytes int
	// held and heldHead are the memory of the body and of the head that are being received.
	held, heldHead *afmemory.Holder
	// openBodies are the bodies of requests that have not ended.
	openBodies map[*Body]struct{}
	isClosed   bool
}

// init prepares for the first request.
func (rc *bodyReceiver) init(sc *serverConn) {
	rc.conn = sc
	rc.limits = sc.server.limitsInForce()
	rc.openBodies = make(map[*Body]struct{})
	rc.startRequest()
}

// startRequest prepares for the next request.
func (rc *bodyReceiver) startRequest() {
	m := rc.conn.server.Memory
	rc.held, rc.heldHead = m.HoldKind(afmemory.Body), m.HoldKind(afmemory.Request)
	rc.body, rc.bodyLength, rc.parsedBody, rc.parsingBytes, rc.isBodyRefused = nil, 0, nil, 0, false
}

// receive processes the beginning of the received data and returns how much it has processed, with the parser's error.
func (rc *bodyReceiver) receive(data []byte) (n int, err error) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	switch {
	case rc.isClosed:
		return len(data), nil
	case rc.discardBytes > 0:
		n = min(len(data), rc.discardBytes)
		rc.discardBytes -= n
		return n, nil
	case rc.bodyLength > 0:
		return rc.receiveBody(data)
	case rc.isParserFed:
		return len(data), rc.feedParser(data)
	}
	return rc.receiveHead(data)
}

// receiveHead gives the parser the data up to the end of a head.
func (rc *bodyReceiver) receiveHead(data []byte) (n int, err error) {
	v := rc.conn.validator
	if v.isBetweenRequests || v.headerBytes == 0 {
		rc.limits = rc.conn.server.limitsInForce()
	}
	n, isEnd := rc.findHeadEnd(data)
	if !rc.heldHead.Reserve(headCopies * n) {
		rc.refuse()
		return n, nil
	}
	v.beforeParse(n)
	err = rc.conn.Parser.Parse(data[:n])
	if err != nil || v.refusal != nil || v.isBetweenRequests || v.isReadingHeaders {
		return n, err
	}
	switch {
	case v.isChunked || !isEnd:
		rc.isParserFed = true
	case rc.isBodyRefused:
		rc.discardBytes = v.bodyLength
		return n, rc.passBlankBody(v.bodyLength)
	default:
		rc.bodyLength = v.bodyLength
	}
	return n, nil
}

// findHeadEnd returns the number of bytes up to the end of the head, or all.
func (rc *bodyReceiver) findHeadEnd(data []byte) (n int, isEnd bool) {
	for i, c := range data {
		switch c {
		case headEnd[rc.matched]:
			rc.matched++
		case headEnd[0]:
			rc.matched = 1
		default:
			rc.matched = 0
		}
		if rc.matched == len(headEnd) {
			rc.matched = 0
			return i + 1, true
		}
	}
	return len(data), false
}

// admitBody reserves the memory for a body of known length, whose head is complete.
func (rc *bodyReceiver) admitBody(length int) bool {
	rc.isBodyRefused = !rc.held.Resize(length)
	return !rc.isBodyRefused
}

// receiveBody adds data to the body, and gives the body to the parser when it is complete.
func (rc *bodyReceiver) receiveBody(data []byte) (n int, err error) {
	if rc.body == nil {
		rc.body = make([]byte, 0, rc.bodyLength)
	}
	n = min(len(data), rc.bodyLength-len(rc.body))
	rc.body = append(rc.body, data[:n]...)
	if len(rc.body) < rc.bodyLength {
		return n, nil
	}
	return n, rc.conn.Parser.Parse(rc.body)
}

// passBlankBody gives the parser a body of zeros, so that the request gets its refusal before its body has arrived. The pages
// are only read, and thus need no memory.
func (rc *bodyReceiver) passBlankBody(length int) error {
	zeros, err := syscall.Mmap(-1, 0, length, syscall.PROT_READ, syscall.MAP_ANON|syscall.MAP_PRIVATE)
	if err != nil {
		return err
	}
	defer func() { _ = syscall.Munmap(zeros) }()
	return rc.conn.Parser.Parse(zeros)
}

// feedParser gives the parser data of a request whose body the parser assembles.
func (rc *bodyReceiver) feedParser(data []byte) error {
	v := rc.conn.validator
	rc.parsingBytes += len(data)
	if !rc.held.Resize(cap(rc.parsedBody) + parsedBodyCopies*rc.parsingBytes) {
		rc.refuse()
		return nil
	}
	v.beforeParse(len(data))
	if err := rc.conn.Parser.Parse(data); err != nil {
		return err
	}
	if v.isBetweenRequests || v.isReadingHeaders {
		rc.isParserFed, rc.matched = false, 0
	}
	if rc.parsingBytes > rc.limits.MaxBodyBytes+rc.limits.MaxHeaderBytes {
		return nbhttp.ErrTooLong
	}
	return nil
}

// addParsed adds a part of the body that the parser has assembled.
func (rc *bodyReceiver) addParsed(part []byte) error {
	if rc.bodyLength > 0 || rc.isBodyRefused {
		return nil // It is the body that receiveBody or passBlankBody gave to the parser.
	}
	rc.parsingBytes = 0
	if len(rc.parsedBody)+len(part) > rc.limits.MaxBodyBytes {
		return nbhttp.ErrTooLong
	}
	rc.parsedBody = append(rc.parsedBody, part...)
	return nil
}

// finishRequest returns the body of a complete request and prepares for the next one.
func (rc *bodyReceiver) finishRequest() *Body {
	b := &Body{bytes: rc.body, isRefused: rc.isBodyRefused, held: rc.held, heldHead: rc.heldHead}
	if rc.parsedBody != nil {
		b.bytes = rc.parsedBody
		rc.held.Force(cap(b.bytes))
	}
	if !rc.heldHead.Reserve(requestBytes) {
		b.bytes, b.isRefused = nil, true
		rc.held.Release()
	}
	for old := range rc.openBodies {
		if old.isOver() {
			delete(rc.openBodies, old)
		}
	}
	rc.openBodies[b] = struct{}{}
	rc.startRequest()
	return b
}

// refuse refuses the request that is being received, and all further data of the connection.
func (rc *bodyReceiver) refuse() {
	rc.conn.validator.refusal = outOfMemory()
}

// outOfMemory returns the refusal of a request for which the process has no memory.
func outOfMemory() *arbutusfork.Refusal {
	return arbutusfork.NewRefusal(arbutusfork.CodeNoCapacity, "the requests in progress hold too much memory").WithRetryAfter(memoryRetryAfter)
}

// release returns the memory of the request that is being received.
func (rc *bodyReceiver) release() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.releaseLocked()
}

func (rc *bodyReceiver) releaseLocked() {
	rc.held.Release()
	rc.heldHead.Release()
	rc.body, rc.parsedBody = nil, nil
}

// close returns the memory of all requests that do not run.
func (rc *bodyReceiver) close() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.isClosed = true
	rc.releaseLocked()
	for b := range rc.openBodies {
		b.closeUntaken()
	}
}
