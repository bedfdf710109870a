package afgateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork/internal/afmemory"
	"arbutusfork.example/arbutusfork/internal/afroster"
)

const (
	// priorityLevels is the number of priorities that an engine distinguishes.
	priorityLevels = 10
)

var (
	errDeadline = errors.New("the deadline has passed")
	errStopping = errors.New("the server is stopping")
)

// runFirst sends the request to an endpoint while no other attempt is live, and relays the answer.
func (p *proxiedRequest) runFirst(o *attemptOwner, a *liveAttempt) attemptResult {
	ans, result := p.openAnswer(a, p.position.lastEventID)
	if ans == nil {
		return result
	}
	return p.relayAnswer(o, a, ans)
}

// relayAnswer relays an answer until its end, or until another attempt has spoken.
func (p *proxiedRequest) relayAnswer(o *attemptOwner, a *liveAttempt, ans *answer) attemptResult {
	defer ans.close()
	p.namedLimit = ans.headers.Limit
	if ans.isStream {
		return p.relayStream(o, a, ans)
	}
	if p.isRelayable(ans) {
		ans.exchange.response.Body = bodyReader{ans.exchange.response.Body, o, a}
	}
	result := p.relayBuffered(o, a, ans)
	result.progress = max(result.progress, progressHead)
	return result
}

// isRelayable reports whether any body makes an answer that is not a stream one for the caller. The first part of another answer does
// not close a second attempt, which may give a better one.
func (p *proxiedRequest) isRelayable(ans *answer) bool {
	status := ans.exchange.response.StatusCode
	return status < http.StatusInternalServerError && http.StatusText(status) != "" && !p.responseStarted && p.checkLong(ans.exchange) == nil
}

// classifyFailure ends an attempt without a complete response at its endpoint and returns its result.
func (p *proxiedRequest) classifyFailure(a *liveAttempt, err error) attemptResult {
	cause := context.Cause(a.ctx)
	result := attemptResult{notRun: !mayHaveReachedEndpoint(err), breakCause: breakCauseOf(cause), cause: err.Error()}
	if cause != nil {
		result.cause = cause.Error()
	}
	if cause != nil || errors.Is(err, afmemory.ErrExhausted) {
		// The caller disconnected or set a short deadline, another attempt has spoken, or other answers hold the memory, which says
		// nothing about the endpoint.
		a.endpoint.request.End(afroster.HealthUnaffected)
		return result
	}
	a.endpoint.request.End(afroster.HealthFailure)
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		p.server.Roster.RecordConnectionFailure(a.endpoint.Start())
	}
	result.brokenOff = !result.notRun
	return result
}

// relayBuffered relays a response that is not a stream. It is received in full first, so that a request that may be
// repeated can be sent to another endpoint if the response breaks off, unless it is long.
func (p *proxiedRequest) relayBuffered(o *attemptOwner, a *liveAttempt, ans *answer) attemptResult {
	if err := ans.readBody(); err != nil {
		return p.classifyFailure(a, err)
	}
	status, header := ans.exchange.response.StatusCode, ans.exchange.response.Header
	if status/100 == http.StatusOK/100 {
		// Other answers do not show that the endpoint can answer the prompt.
		p.recordAnswer(p.server.Timer.Now())
	}
	if !ans.isWhole {
		return p.relayLong(o, a, ans)
	}
	isServerError := status >= http.StatusInternalServerError
	a.endpoint.request.End(answerHealth(status, ans.headers))
	response := bufferedResponse{status, header, ans.body}
	if isServerError && (o.hasOther(a) || p.mayRetryServerError(o, a)) {
		return attemptResult{cause: "endpoint answered " + strconv.Itoa(status), serverError: &response}
	}
	if p.responseStarted {
		return attemptResult{cause: "endpoint answered " + strconv.Itoa(status) + " in mid-stream"}
	}
	if http.StatusText(status) == "" && o.hasOther(a) {
		return attemptResult{cause: "endpoint answered " + strconv.Itoa(status)}
	}
	if !o.speakFinally(a) {
		return attemptResult{cause: errReplaced.Error()}
	}
	p.writeResponse(response)
	return attemptResult{responseEnded: true}
}

// relayLong relays a response whose body is too long to be received in full first. If the body breaks off, the response to
// the caller is broken too.
func (p *proxiedRequest) relayLong(o *attemptOwner, a *liveAttempt, ans *answer) attemptResult {
	ex := ans.exchange
	length := ex.response.ContentLength
	if p.responseStarted {
		return p.classifyFailure(a, errors.New("a long answer cannot go on with a stream"))
	}
	if err := p.checkLong(ex); err != nil {
		return p.classifyFailure(a, err)
	}
	if status := ex.response.StatusCode; status >= http.StatusInternalServerError && o.hasOther(a) {
		a.endpoint.request.End(afroster.HealthFailure)
		return attemptResult{cause: "endpoint answered " + strconv.Itoa(status)}
	}
	if !o.speakFinally(a) {
		return attemptResult{cause: errReplaced.Error()}
	}
	p.isRelayingLong = true
	p.releaseUnrepeatable()
	p.writeHead(ex.response.StatusCode, ex.response.Header, length)
	part, buffer := ans.body, make([]byte, relayBufferBytes)
	var readErr error
	for total := 0; ; {
		if total += len(part); total > maxResponseBytes {
			return p.classifyFailure(a, errResponseTooLong)
		}
		if len(part) > 0 && !p.writePart(part) {
			a.endpoint.request.End(afroster.HealthUnaffected)
			return attemptResult{responseEnded: true}
		}
		if errors.Is(readErr, io.EOF) {
			a.endpoint.request.End(healthResult(ex.response.StatusCode < http.StatusInternalServerError))
			return attemptResult{responseEnded: true}
		}
		if readErr != nil {
			return p.classifyFailure(a, errors.Wrapf(readErr, "after %d bytes of the answer", total))
		}
		var n int
		n, readErr = ex.response.Body.Read(buffer)
		part = buffer[:n]
	}
}

// checkLong returns an error if a long answer cannot be relayed as it arrives.
func (p *proxiedRequest) checkLong(ex *exchange) error {
	if http.StatusText(ex.response.StatusCode) == "" {
		return errors.Errorf("a long answer with status %d cannot be relayed", ex.response.StatusCode)
	}
	if ex.response.ContentLength < 0 && !p.r.ProtoAtLeast(1, 1) {
		// A caller with HTTP/1.0 could not tell a response that breaks off from a complete one.
		return errors.New("a long answer of unknown length cannot be relayed by HTTP/1.0")
	}
	return nil
}

// writePart sends a part of a response to the caller. If the caller has disconnected, it breaks the response and returns
// false.
func (p *proxiedRequest) writePart(part []byte) bool {
	_, err := p.w.Write(part)
	if err == nil {
		err = p.caller.Flush()
	}
	if err != nil {
		p.breakCause = breakByCaller
		p.breakResponse("caller disconnected: " + err.Error())
	}
	return err == nil
}

// bufferedResponse is a complete response of an endpoint.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// writeResponse sends a complete response to the caller.
func (p *proxiedRequest) writeResponse(response bufferedResponse) {
	if http.StatusText(response.status) == "" {
		p.firstEventAt = p.server.Timer.Now()
		p.responseStarted, p.statusCode = true, response.status
		p.breakResponse("the endpoint's status " + strconv.Itoa(response.status) + " has no standard text")
		return
	}
	length := int64(len(response.body))
	if p.r.Method == http.MethodHead {
		length = -1
	}
	p.writeHead(response.status, response.header, length)
	if p.r.Method != http.MethodHead && len(response.body) > 0 {
		if _, err := p.w.Write(response.body); err != nil {
			p.detail = "caller disconnected: " + err.Error()
		}
	}
}

// writeHead sends the head of a response to the caller. A negative length means that the length of the body is unknown.
func (p *proxiedRequest) writeHead(status int, header http.Header, length int64) {
	p.firstEventAt = p.server.Timer.Now()
	p.responseStarted, p.statusCode = true, status
	h := p.w.Header()
	for k, v := range p.server.HeaderCodec.FilterResponse(header) {
		h[k] = v
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	p.w.WriteHeader(status)
}

// mayRetryServerError reports whether a request may be retried after an endpoint's response with a server error. The retry budget
// is checked later, at the retry itself.
func (p *proxiedRequest) mayRetryServerError(o *attemptOwner, a *liveAttempt) bool {
	_, possibleRuns, _, _ := o.snapshot()
	return p.route.IsRepeatable() && !p.responseStarted && possibleRuns+1 < p.route.MaxAttempts && p.timeLeft() > minResponseTimeout &&
		slices.ContainsFunc(p.server.Roster.UsableEndpoints(p.service.Name), func(e afroster.Endpoint) bool { return e.ID != a.endpoint.ID })
}

// relayStream relays a stream event by event. The head is sent together with the first event, so that another endpoint
// can still answer if the stream fails before its first event.
func (p *proxiedRequest) relayStream(o *attemptOwner, a *liveAttempt, ans *answer) attemptResult {
	s, endpoint := p.server, a.endpoint
	events, beganAt, isContinuation := 0, time.Time{}, p.responseStarted
	var writtenAt time.Time // A caller that reads slowly delays the reading of the next event.
	for {
		event, err := ans.nextEvent()
		if err != nil {
			if events > 0 && events < answeredEvents && errors.Is(err, errStreamEnd) && (events > 1 || !ans.exchange.endsWithConnection()) {
				p.recordAnswer(beganAt)
			}
			if isContinuation && events == 0 && errors.Is(err, errStreamEnd) {
				endpoint.request.End(afroster.HealthUnaffected)
				return attemptResult{progress: progressHead, cause: "no event follows " + p.position.lastEventID}
			}
			result := p.endStream(o, a, ans, err)
			result.progress = streamProgress(events)
			return result
		}
		if isContinuation && events == 0 && !event.hasContent {
			continue // Nothing shows yet that the endpoint continues the stream.
		}
		if !p.position.isFollowedBy(event.id, events == 0, p.headers.LastEventID) {
			endpoint.request.End(afroster.HealthFailure)
			return attemptResult{cause: "event " + strconv.Quote(event.id) + " does not follow " + p.position.lastEventID}
		}
		if event.hasContent && !o.speakEvent(a) || !event.hasContent && !o.start(a) {
			return attemptResult{cause: errReplaced.Error(), progress: streamProgress(events)}
		}
		p.position = p.position.withEvent(event, events == 0)
		if !p.responseStarted {
			p.writeHead(ans.exchange.response.StatusCode, ans.exchange.response.Header, -1)
			s.sessions.recordEndpoint(p.headers, endpoint.ID, s.Timer.Now())
		}
		if event.hasContent {
			switch events++; events {
			case 1:
				beganAt = s.Timer.Now()
				endpoint.request.MarkPromptRead()
				p.recordFirstEvent(a)
			case answeredEvents:
				p.recordAnswer(beganAt)
			}
			now := s.Timer.Now()
			if !writtenAt.IsZero() {
				p.recordEventInterval(endpoint.Endpoint, now.Sub(writtenAt))
			}
			p.recordEventTime(now)
		}
		p.releaseUnrepeatable()
		if !p.writePart(event.raw) {
			endpoint.request.End(afroster.HealthUnaffected)
			return attemptResult{responseEnded: true}
		}
		writtenAt = s.Timer.Now()
		o.relayed(a, p.position, event.hasContent)
	}
}

// recordEventTime records the time of a relayed event and the longest time between two of them.
func (p *proxiedRequest) recordEventTime(now time.Time) {
	if !p.lastEventAt.IsZero() {
		p.maxEventInterval = max(p.maxEventInterval, now.Sub(p.lastEventAt))
	}
	p.lastEventAt = now
}

// endStream ends an attempt whose stream ended with err. The stream is complete only if it ended between two events.
func (p *proxiedRequest) endStream(o *attemptOwner, a *liveAttempt, ans *answer, err error) attemptResult {
	if errors.Is(err, errStreamEnd) {
		a.endpoint.request.End(afroster.HealthSuccess)
		if !p.responseStarted {
			return attemptResult{brokenOff: true, cause: "stream without an event"}
		}
		if p.position.events == 0 && o.hasOther(a) {
			return attemptResult{cause: "stream without an event"}
		}
		if !o.speakFinally(a) {
			return attemptResult{cause: errReplaced.Error()}
		}
		return attemptResult{responseEnded: true}
	}
	result := p.classifyFailure(a, err)
	result.notRun = false
	if ans.events.unreadBytes() > 0 {
		result.cause += ", in the middle of an event"
	}
	return result
}
