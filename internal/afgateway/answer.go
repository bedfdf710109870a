package afgateway

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afmemory"
	"arbutusfork.example/arbutusfork/internal/afroster"
)

// answer is an endpoint's answer to one attempt whose head has arrived.
type answer struct {
	exchange *exchange
	headers  ResponseHeaders
	isStream bool
	// events reads a stream, and pending are events of it that were read and not relayed.
	events  *eventReader
	pending []event
	// body is what was read of an answer that is not a stream, if hasBody, and isWhole means that it is complete.
	body             []byte
	hasBody, isWhole bool
	// held is the memory of the answer.
	held *afmemory.Holder
}

// close closes the connection and returns the memory.
func (ans *answer) close() {
	ans.exchange.close()
	ans.held.Release()
}

// nextEvent returns the next event of a stream.
func (ans *answer) nextEvent() (event, error) {
	if len(ans.pending) > 0 {
		e := ans.pending[0]
		ans.pending = ans.pending[1:]
		return e, nil
	}
	return ans.events.readEvent()
}

// readBody reads the body of an answer that is not a stream, or the start of a long one.
func (ans *answer) readBody() (err error) {
	if !ans.hasBody {
		ans.body, ans.isWhole, err = ans.exchange.readBodyStart(ans.held)
		ans.hasBody = err == nil
	}
	return err
}

// openAnswer sends the request to the endpoint of an attempt and reads the head of the answer. Without an answer that can be relayed,
// it ends the request at the endpoint and returns the result of the attempt.
func (p *proxiedRequest) openAnswer(a *liveAttempt, lastEventID string) (*answer, attemptResult) {
	s, endpoint := p.server, a.endpoint
	h := s.HeaderCodec.BuildForwarded(p.r.Header, ForwardedHeaders{
		EndpointID: endpoint.ID, Timeout: p.timeLeft(), Customer: p.customer.Name, Priority: min(max(p.priority, 0), priorityLevels-1),
		HasPriority: p.service.Engine != nil, LastEventID: lastEventID, RequestID: p.headers.RequestID,
	})
	ex, err := s.openExchange(a.ctx, endpoint.Address, p.r, h, p.body)
	if err != nil {
		return nil, p.classifyFailure(a, err)
	}
	headers := s.HeaderCodec.ParseResponse(ex.response.StatusCode, ex.response.Header)
	s.recordStatement(endpoint.Endpoint, headers.Said)
	if headers.RequestID != "" && headers.RequestID != p.headers.RequestID {
		ex.close()
		endpoint.request.End(afroster.HealthFailure)
		return nil, attemptResult{cause: "answer to another request"}
	}
	s.Metrics.countLimit(headers.Limit)
	if s.EndpointLimits.RecordAnswer != nil {
		s.EndpointLimits.RecordAnswer(endpointStart(endpoint.Endpoint), headers.Limit)
	}
	if headers.NotRun {
		status := ex.response.StatusCode
		ex.close()
		endpoint.request.End(afroster.HealthUnaffected)
		if headers.RequestID == "" {
			// It may be the second copy of the refusal of another request.
			return nil, attemptResult{progress: progressHead, cause: "endpoint answered " + strconv.Itoa(status) + ", not run, without the request's ID"}
		}
		if status == http.StatusServiceUnavailable && headers.Said.Pause <= 0 {
			p.recordFull(endpoint.Endpoint)
		}
		return nil, attemptResult{notRun: true, cause: "endpoint answered " + strconv.Itoa(status) + ", not run"}
	}
	s.full.recordAnswer(p.fullKey(endpoint.Endpoint), a.progressAt)
	if !arbutusfork.MayRelayStatus(ex.response.StatusCode, p.route.IsRepeatable()) {
		return nil, p.withholdAnswer(a, ex, headers)
	}
	ans := &answer{exchange: ex, headers: headers, held: s.AnswerMemory.Hold()}
	ans.isStream = isStream(p.route) && ex.response.StatusCode == http.StatusOK && strings.HasPrefix(ex.response.Header.Get("Content-Type"), "text/event-stream")
	if ans.isStream {
		ans.events = &eventReader{reader: ex.response.Body, held: ans.held}
	}
	return ans, attemptResult{}
}

// withholdAnswer ends an attempt whose answer must not reach the caller because of its status. The request may have run.
func (p *proxiedRequest) withholdAnswer(a *liveAttempt, ex *exchange, headers ResponseHeaders) attemptResult {
	status := ex.response.StatusCode
	ex.close()
	a.endpoint.request.End(answerHealth(status, headers))
	p.server.Metrics.countWithheld(status)
	return attemptResult{progress: progressHead, cause: "endpoint answered " + strconv.Itoa(status) + ", which does not say that the request did not run"}
}

// answerHealth returns the health result of an attempt whose endpoint has answered.
func answerHealth(status int, headers ResponseHeaders) afroster.HealthResult {
	if headers.Said.Pause > 0 {
		return afroster.HealthUnaffected // The endpoint says itself when it is to be used again.
	}
	return healthResult(status < http.StatusInternalServerError)
}

// runSecond sends the request to a second endpoint while the first one is silent. The answer is handed to the goroutine of the request
// as soon as it has a part for the caller, unless the first endpoint has spoken by then.
func (p *proxiedRequest) runSecond(o *attemptOwner, a *liveAttempt) {
	s, endpoint := p.server, a.endpoint
	canSend := func() bool { return p.refuseQuarantined() == nil && s.takesRequests(endpoint.Endpoint) }
	isSlotTaken := false
	if canSend() {
		result, _ := p.waitForSlot(a.ctx, endpoint.Endpoint, p.timeLeft())
		isSlotTaken = result == slotTaken
	}
	if !isSlotTaken || !canSend() {
		o.fail(a, attemptResult{notRun: true})
		return
	}
	position, ok := o.send(a)
	if !ok {
		return
	}
	ans, result := p.openAnswer(a, position.lastEventID)
	if ans == nil {
		o.fail(a, result)
		return
	}
	if result, ok := p.readUntilSpeech(a, ans, position); !ok {
		ans.close()
		o.fail(a, result)
		return
	}
	if !o.hand(a, ans) {
		ans.close()
		o.fail(a, attemptResult{progress: progressHead, cause: "the answer cannot go on with the one that has begun"})
	}
}

// readUntilSpeech reads an answer until it has a part that can be relayed after the position. Otherwise it returns the result of the
// attempt and false.
func (p *proxiedRequest) readUntilSpeech(a *liveAttempt, ans *answer, position streamPosition) (attemptResult, bool) {
	if !ans.isStream {
		return p.readBodyUntilSpeech(a, ans, position)
	}
	bytes := 0
	for {
		e, err := ans.events.readEvent()
		if errors.Is(err, errStreamEnd) {
			a.endpoint.request.End(afroster.HealthUnaffected)
			return attemptResult{progress: progressHead, brokenOff: !position.isStarted, cause: "stream without an event"}, false
		}
		if err != nil {
			result := p.classifyFailure(a, err)
			result.notRun, result.progress = false, progressHead
			return result, false
		}
		if !position.isStarted || e.hasContent {
			e.raw = append([]byte(nil), e.raw...) // The reader uses its buffer again.
			ans.pending = append(ans.pending, e)
			bytes += len(e.raw)
			if bytes > afmemory.FreeBytes && !ans.held.Reserve(len(e.raw)) {
				return p.classifyFailure(a, afmemory.ErrExhausted), false
			}
		}
		switch {
		case e.hasContent && !position.isFollowedBy(e.id, true, p.headers.LastEventID):
			a.endpoint.request.End(afroster.HealthFailure)
			return attemptResult{progress: progressHead, cause: "event " + strconv.Quote(e.id) + " does not follow " + position.lastEventID}, false
		case e.hasContent:
			return attemptResult{}, true
		case bytes > maxEventBytes:
			return p.classifyFailure(a, errors.Errorf("no event within %d bytes", maxEventBytes)), false
		}
	}
}

// readBodyUntilSpeech reads the body of an answer that is not a stream. Server errors are no answer while another endpoint may still
// give one.
func (p *proxiedRequest) readBodyUntilSpeech(a *liveAttempt, ans *answer, position streamPosition) (attemptResult, bool) {
	if err := ans.readBody(); err != nil {
		result := p.classifyFailure(a, err)
		result.progress = progressHead
		return result, false
	}
	if !ans.isWhole {
		if err := p.checkLong(ans.exchange); err != nil {
			return p.classifyFailure(a, err), false
		}
	}
	status := ans.exchange.response.StatusCode
	if status < http.StatusInternalServerError && !position.isStarted && http.StatusText(status) != "" {
		return attemptResult{}, true
	}
	a.endpoint.request.End(healthResult(status < http.StatusInternalServerError))
	result := attemptResult{progress: progressHead, cause: "endpoint answered " + strconv.Itoa(status)}
	if ans.isWhole && !position.isStarted {
		result.serverError = &bufferedResponse{status, ans.exchange.response.Header, ans.body}
	}
	return result, false
}
