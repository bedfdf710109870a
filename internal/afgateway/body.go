package afgateway

import (
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afentry"
)

// memoryRetryAfter is the Retry-After of a request for which the process has no memory. Answers that hold it end within
// seconds.
const memoryRetryAfter = time.Second

// readBody sets the body, which the listener has already received in full. The body is not copied. The listener lets it go
// when the request has ended.
func (p *proxiedRequest) readBody() *arbutusfork.Refusal {
	if p.r.Body == nil {
		return nil
	}
	received, ok := p.r.Body.(*afentry.Body)
	if !ok {
		body, err := readRequestBody(p.r)
		if err != nil {
			return arbutusfork.NewRefusal(arbutusfork.CodeBadRequest, "the body cannot be read: "+err.Error())
		}
		p.body = body
		return nil
	}
	if received.IsRefused() {
		return newRefusal(arbutusfork.CodeNoCapacity, "the requests in progress hold too much memory", memoryRetryAfter)
	}
	p.body = received.Bytes()
	return nil
}

// releaseBody lets the body go before the request has ended. It may be called only by the goroutine that serves the request,
// after an answer has begun in a way after which no attempt can be sent again, and when no other attempt reads the body.
func (p *proxiedRequest) releaseBody() {
	p.body = nil
	if p.r.Body != nil {
		_ = p.r.Body.Close()
	}
}

// releaseUnrepeatable lets the body go if the answer has begun and no attempt can be sent again. It is called after each
// relayed event and before a long answer is relayed. If the request may have second attempts, their goroutines may still read the
// body, so that it is kept until the request has ended.
func (p *proxiedRequest) releaseUnrepeatable() {
	if p.body != nil && p.firstTimeout() == 0 && (p.isRelayingLong || p.position.events > 0) {
		p.releaseBody()
	}
}
