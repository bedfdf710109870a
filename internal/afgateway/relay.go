package afgateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
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
	errDeadline    = errors.New("the deadline has passed")
	errIdleTimeout = errors.New("the endpoint is silent")
	errStopping    = errors.New("the server is stopping")
)

// attemptEndpoint sends the request to one endpoint and relays its response. If the endpoint is silent for too long, the result
// contains the endpoint that takes its place.
func (p *proxiedRequest) attemptEndpoint(ctx context.Context, endpoint acquiredEndpoint, excluded map[string]bool) attemptResult {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer p.server.cancelAfter(p.timeLeft(), cancel, errDeadline)()
	watchdog := p.startWatchdog(endpoint, excluded, cancel)
	result := p.exchangeWith(ctx, endpoint, watchdog)
	replacement := watchdog.stop()
	if result.timedOut {
		result.replacement = replacement
	} else {
		replacement.release()
	}
	return result
}

// exchangeWith sends the request to one endpoint and relays its response until the context ends.
func (p *proxiedRequest) exchangeWith(ctx context.Context, endpoint acquiredEndpoint, watchdog *idleWatchdog) attemptResult {
	s := p.server
	h := s.HeaderCodec.BuildForwarded(p.r.Header, ForwardedHeaders{
		EndpointID: endpoint.ID, Timeout: p.timeLeft(), Customer: p.customer.Name, Priority: min(max(p.priority, 0), priorityLevels-1),
		HasPriority: p.service.Engine != nil, LastEventID: p.position.lastEventID, RequestID: p.headers.RequestID,
	})
	ex, err := s.openExchange(ctx, endpoint.Address, p.r, h, p.body)
	if err != nil {
		return p.classifyFailure(ctx, endpoint, err)
	}
	defer ex.close()
	headers := s.HeaderCodec.ParseResponse(ex.response.StatusCode, ex.response.Header)
	s.recordStatement(endpoint.Endpoint, headers.Said)
	if headers.RequestID != "" && headers.RequestID != p.headers.RequestID {
		endpoint.request.End(afroster.HealthFailure)
		return attemptResult{cause: "answer to another request"}
	}
	p.namedLimit = headers.Limit
	s.Metrics.countLimit(headers.Limit)
	if s.EndpointLimits.RecordAnswer != nil {
		s.EndpointLimits.RecordAnswer(endpointStart(endpoint.Endpoint), headers.Limit)
	}
	switch {
	case headers.NotRun && headers.RequestID == "":
		// It may be the second copy of the refusal of another request.
		endpoint.request.End(afroster.HealthUnaffected)
		return attemptResult{progress: progressHead, cause: "endpoint answered " + strconv.Itoa(ex.response.StatusCode) + ", not run, without the request's ID"}
	case headers.NotRun:
		endpoint.request.End(afroster.HealthUnaffected)
		return attemptResult{notRun: true, cause: "endpoint answered " + strconv.Itoa(ex.response.StatusCode) + ", not run"}
	case isStream(p.route) && ex.response.StatusCode == http.StatusOK &&
		strings.HasPrefix(ex.response.Header.Get("Content-Type"), "text/event-stream"):
		return p.relayStream(ctx, endpoint, ex, watchdog)
	}
	ex.response.Body = bodyReader{ex.response.Body, watchdog}
	result := p.relayBuffered(ctx, endpoint, ex, headers.Said.Pause > 0, watchdog)
	result.progress = max(result.progress, progressHead)
	return result
}

// classifyFailure ends an attempt without a complete response and returns its result.
func (p *proxiedRequest) classifyFailure(ctx context.Context, endpoint acquiredEndpoint, err error) attemptResult {
	cause := err.Error()
	if c := context.Cause(ctx); c != nil {
		cause = c.Error()
	}
	health := afroster.HealthFailure
	if errors.Is(err, afmemory.ErrExhausted) || errors.Is(context.Cause(ctx), errDeadline) || ctx.Err() != nil && !errors.Is(context.Cause(ctx), errIdleTimeout) {
		// The caller disconnected or set a short deadline, or other answers hold the memory, which says nothing about the
		// endpoint.
		health = afroster.HealthUnaffected
	}
	timedOut := errors.Is(context.Cause(ctx), errIdleTimeout)
	if timedOut {
		endpoint.request.End(afroster.HealthUnaffected) // The watchdog has recorded the silence.
	} else {
		endpoint.request.End(health)
	}
	return attemptResult{notRun: !mayHaveReachedEndpoint(err), timedOut: timedOut, brokenOff: health == afroster.HealthFailure && !timedOut && mayHaveReachedEndpoint(err), cause: cause}
}

// relayBuffered relays a response that is not a stream. It is received in full first, so that a request that may be
// repeated can be sent to another endpoint if the response breaks off, unless it is long.
func (p *proxiedRequest) relayBuffered(ctx context.Context, endpoint acquiredEndpoint, ex *exchange, asksForPause bool, w *idleWatchdog) attemptResult {
	body, isWhole, err := ex.readBodyStart(p.held)
	if err != nil {
		return p.classifyFailure(ctx, endpoint, err)
	}
	status := ex.response.StatusCode
	if status/100 == http.StatusOK/100 {
		// Other answers do not show that the endpoint can answer the prompt.
		p.recordAnswer(p.server.Timer.Now())
	}
	if !isWhole {
		if w.stop() != nil {
			w.cancel(errIdleTimeout) // The watchdog may not have come to it.
			return p.classifyFailure(ctx, endpoint, errIdleTimeout)
		}
		return p.relayLong(ctx, endpoint, ex, body)
	}
	isServerError := status >= http.StatusInternalServerError
	health := healthResult(!isServerError)
	if asksForPause {
		health = afroster.HealthUnaffected // The endpoint says itself when it is to be used again.
	}
	endpoint.request.End(health)
	response := bufferedResponse{status, ex.response.Header, body}
	if isServerError && p.mayRetryServerError(endpoint.ID) {
		p.endpointError = &response
		return attemptResult{cause: "endpoint answered " + strconv.Itoa(status)}
	}
	if p.responseStarted {
		return attemptResult{cause: "endpoint answered " + strconv.Itoa(status) + " in mid-stream"}
	}
	p.writeResponse(response)
	return attemptResult{responseEnded: true}
}

// relayLong relays a response whose body is too long to be received in full first. If the body breaks off, the response to
// the caller is broken too.
func (p *proxiedRequest) relayLong(ctx context.Context, endpoint acquiredEndpoint, ex *exchange, start []byte) attemptResult {
	length := ex.response.ContentLength
	if p.responseStarted || http.StatusText(ex.response.StatusCode) == "" {
		return p.classifyFailure(ctx, endpoint, errors.Errorf("a long answer with status %d cannot be relayed", ex.response.StatusCode))
	}
	if length < 0 && !p.r.ProtoAtLeast(1, 1) {
		// A caller with HTTP/1.0 could not tell a response that breaks off from a complete one.
		return p.classifyFailure(ctx, endpoint, errors.New("a long answer of unknown length cannot be relayed by HTTP/1.0"))
	}
	p.isRelayingLong = true
	p.releaseUnrepeatable()
	p.writeHead(ex.response.StatusCode, ex.response.Header, length)
	part, buffer := start, make([]byte, relayBufferBytes)
	var readErr error
	for total := 0; ; {
		if total += len(part); total > maxResponseBytes {
			return p.classifyFailure(ctx, endpoint, errResponseTooLong)
		}
		if len(part) > 0 && !p.writePart(part) {
			endpoint.request.End(afroster.HealthUnaffected)
			return attemptResult{responseEnded: true}
		}
		if errors.Is(readErr, io.EOF) {
			endpoint.request.End(healthResult(ex.response.StatusCode < http.StatusInternalServerError))
			return attemptResult{responseEnded: true}
		}
		if readErr != nil {
			return p.classifyFailure(ctx, endpoint, errors.Wrapf(readErr, "after %d bytes of the answer", total))
		}
		var n int
		n, readErr = ex.response.Body.Read(buffer)
		part = buffer[:n]
	}
}

// writePart sends a part of a response to the caller. If the caller has disconnected, it breaks the response and returns
// false.
func (p *proxiedRequest) writePart(part []byte) bool {
	_, err := p.w.Write(part)
	if err == nil {
		err = p.caller.Flush()
	}
	if err != nil {
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
func (p *proxiedRequest) mayRetryServerError(endpointID string) bool {
	return p.route.IsRepeatable() && !p.responseStarted && p.possibleRuns+1 < p.route.MaxAttempts && p.timeLeft() > minResponseTimeout &&
		slices.ContainsFunc(p.server.Roster.UsableEndpoints(p.service.Name), func(e afroster.Endpoint) bool { return e.ID != endpointID })
}

// relayStream relays a stream event by event. The head is sent together with the first event, so that another endpoint
// can still answer if the stream fails before its first event.
func (p *proxiedRequest) relayStream(ctx context.Context, endpoint acquiredEndpoint, ex *exchange, w *idleWatchdog) attemptResult {
	s := p.server
	r := &eventReader{reader: ex.response.Body, held: p.held}
	events, beganAt, isContinuation := 0, time.Time{}, p.responseStarted
	for {
		event, err := r.readEvent()
		if err != nil {
			if events > 0 && events < answeredEvents && errors.Is(err, errStreamEnd) && (events > 1 || !ex.endsWithConnection()) {
				p.recordAnswer(beganAt)
			}
			if isContinuation && events == 0 && errors.Is(err, errStreamEnd) {
				endpoint.request.End(afroster.HealthUnaffected)
				return attemptResult{progress: progressHead, cause: "no event follows " + p.position.lastEventID}
			}
			result := p.endStream(ctx, endpoint, r, err)
			result.progress = streamProgress(events)
			return result
		}
		interval := time.Duration(0)
		if event.hasContent {
			interval = w.recordProgress()
		}
		if isContinuation && events == 0 && !event.hasContent {
			continue // Nothing shows yet that the endpoint continues the stream.
		}
		if p.relayedEvents > 0 && events == 0 && !p.position.canContinueWith(event.id) || event.id != "" && !p.isLaterEvent(event.id) {
			endpoint.request.End(afroster.HealthFailure)
			return attemptResult{cause: "event " + strconv.Quote(event.id) + " does not follow " + p.position.lastEventID}
		}
		p.position = p.position.withEvent(event, events == 0)
		if !p.responseStarted {
			p.writeHead(ex.response.StatusCode, ex.response.Header, -1)
			s.sessions.recordEndpoint(p.headers, endpoint.ID, s.Timer.Now())
		}
		if event.hasContent {
			switch events++; events {
			case 1:
				beganAt = s.Timer.Now()
				endpoint.request.MarkPromptRead()
			case answeredEvents:
				p.recordAnswer(beganAt)
			}
			if p.relayedEvents > 0 {
				p.maxEventInterval = max(p.maxEventInterval, interval)
			}
			p.relayedEvents++
		}
		w.setContinuable(p.relayedEvents == 0 || p.position.canBeContinued())
		p.releaseUnrepeatable()
		if !p.writePart(event.raw) {
			endpoint.request.End(afroster.HealthUnaffected)
			return attemptResult{responseEnded: true}
		}
	}
}

// isLaterEvent reports whether an event may follow the latest relayed event. IDs that are not numbers are not compared.
func (p *proxiedRequest) isLaterEvent(id string) bool {
	last := p.position.lastEventID
	if last == "" {
		last = p.headers.LastEventID
	}
	a, b, areNumbers := parseEventIDs(last, id)
	return !areNumbers || b > a
}

// endStream ends an attempt whose stream ended with err. The stream is complete only if it ended between two events.
func (p *proxiedRequest) endStream(ctx context.Context, endpoint acquiredEndpoint, r *eventReader, err error) attemptResult {
	if errors.Is(err, errStreamEnd) {
		endpoint.request.End(afroster.HealthSuccess)
		if !p.responseStarted {
			return attemptResult{brokenOff: true, cause: "stream without an event"}
		}
		return attemptResult{responseEnded: true}
	}
	result := p.classifyFailure(ctx, endpoint, err)
	result.notRun = false
	if r.unreadBytes() > 0 {
		result.cause += ", in the middle of an event"
	}
	return result
}
