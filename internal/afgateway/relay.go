package afgateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

const (
	// firstFactor times the route's target is how long a repeatable stream waits for its first event before it is sent
	// elsewhere, at least minFirst. Callers leave after four times the target or two seconds.
	firstFactor = 2
	minFirst    = 900 * time.Millisecond
	// pauseFactor times the route's pause is how long a stream may be silent before a resumable one goes on elsewhere,
	// at least minPause. Callers leave after eight pauses or two seconds.
	pauseFactor = 5
	minPause    = 1200 * time.Millisecond
	// wholeFactor times the route's target is how long a repeatable request waits for its answer, at least minWhole.
	wholeFactor = 3
	minWhole    = 300 * time.Millisecond
	// urgencyLevels is the number of ranks that an engine knows.
	urgencyLevels = 10
)

var (
	errDeadline = errors.New("the deadline has passed")
	errSilent   = errors.New("the endpoint is silent")
	errStopping = errors.New("the server is stopping")
)

// send offers the request to one endpoint and relays its answer.
func (j *job) send(ctx context.Context, p placed) result {
	s := j.server
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer s.guardTime(j.left(), cancel, errDeadline)()
	watch := j.watch(p, cancel)
	defer watch.stop()
	h := s.Headers.BuildForwarded(j.r.Header, ForwardedHeaders{
		EndpointID: p.ID, Timeout: j.left(), Customer: j.customer.Name, Priority: min(max(j.urgency, 0), urgencyLevels-1),
		HasPriority: j.service.Engine != nil, LastEventID: j.lastEvent,
	})
	x, err := s.open(ctx, p.Address, j.r, h, j.body)
	if err != nil {
		return j.failed(ctx, p, err)
	}
	defer x.close()
	a := s.Headers.ParseResponse(x.resp.StatusCode, x.resp.Header)
	switch {
	case a.RequestID != "" && a.RequestID != j.call.RequestID:
		p.claim.End(afroster.HealthFailure)
		return result{cause: "answer to another request"}
	case a.NotRun:
		p.claim.End(afroster.HealthUnaffected)
		return result{notRun: true, cause: "endpoint answered " + strconv.Itoa(x.resp.StatusCode) + ", not run"}
	case isStream(j.route) && x.resp.StatusCode == http.StatusOK &&
		strings.HasPrefix(x.resp.Header.Get("Content-Type"), "text/event-stream"):
		return j.relay(ctx, p, x, watch)
	}
	return j.relayWhole(ctx, p, x)
}

// failed classifies an attempt without an answer.
func (j *job) failed(ctx context.Context, p placed, err error) result {
	cause := err.Error()
	if c := context.Cause(ctx); c != nil {
		cause = c.Error()
	}
	v := afroster.HealthFailure
	if errors.Is(context.Cause(ctx), errDeadline) || ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent) {
		v = afroster.HealthUnaffected // The caller left or had little time, which says nothing about the endpoint.
	}
	p.claim.End(v)
	return result{notRun: !wasSent(err), silent: errors.Is(context.Cause(ctx), errSilent), cause: cause}
}

// relayWhole passes an answer on in one piece, after it has come in full.
func (j *job) relayWhole(ctx context.Context, p placed, x *exchange) result {
	body, err := x.whole()
	if err != nil {
		return j.failed(ctx, p, err)
	}
	status := x.resp.StatusCode
	own := status >= http.StatusInternalServerError
	p.claim.End(verdict(!own))
	answer := wholeAnswer{status, x.resp.Header, body}
	if own && j.again() {
		j.spare = &answer
		return result{cause: "endpoint answered " + strconv.Itoa(status)}
	}
	if j.begun {
		return result{cause: "endpoint answered " + strconv.Itoa(status) + " in mid-stream"}
	}
	j.deliver(answer)
	return result{done: true}
}

// wholeAnswer is an endpoint's answer in one piece.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// deliver sends a whole answer to the caller.
func (j *job) deliver(a wholeAnswer) {
	j.first = j.server.Timer.Now()
	j.begun, j.status = true, a.status
	h := j.w.Header()
	for k, v := range j.server.Headers.FilterResponse(a.header) {
		h[k] = v
	}
	if j.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	if http.StatusText(a.status) == "" {
		j.breakOff("the endpoint's status " + strconv.Itoa(a.status) + " has no standard text")
		return
	}
	j.w.WriteHeader(a.status)
	if j.r.Method != http.MethodHead && len(a.body) > 0 {
		if _, err := j.w.Write(a.body); err != nil {
			j.detail = "caller gone: " + err.Error()
		}
	}
}

// again reports whether an answer that is an error may be tried elsewhere. The budget is taken when it is.
func (j *job) again() bool {
	return j.route.IsRepeatable() && !j.begun && j.runs+1 < j.route.MaxAttempts && j.left() > minWhole &&
		len(j.server.Roster.UsableEndpoints(j.service.Name)) > 1
}

// relay passes a stream on, event by event. The head is sent with the first event, so that a stream that fails before
// it can still be answered by another endpoint.
func (j *job) relay(ctx context.Context, p placed, x *exchange, w *watch) result {
	s := j.server
	r := &eventReader{r: x.resp.Body}
	for {
		e, err := r.next()
		if err != nil {
			return j.streamEnded(ctx, p, r, err)
		}
		pause := w.progress()
		if e.id != "" {
			if !j.follows(e.id) {
				p.claim.End(afroster.HealthFailure)
				return result{cause: "event " + e.id + " does not follow " + j.lastEvent}
			}
			j.lastEvent = e.id
		}
		if !j.begun {
			j.start(x)
			p.claim.MarkPromptRead()
			s.sessions.put(j.call, p.ID, s.Timer.Now())
		} else {
			j.pause = max(j.pause, pause)
		}
		j.events++
		_, err = j.w.Write(e.raw)
		if err == nil {
			err = j.caller.Flush()
		}
		if err != nil {
			p.claim.End(afroster.HealthUnaffected)
			j.broken = true
			j.detail = "caller gone: " + err.Error()
			j.caller.Break()
			return result{done: true}
		}
	}
}

// follows reports whether an event may come after the last one that was passed on.
func (j *job) follows(id string) bool {
	last := j.lastEvent
	if last == "" {
		last = j.call.LastEventID
	}
	if last == "" {
		return true
	}
	a, errA := strconv.ParseInt(last, 10, 64)
	b, errB := strconv.ParseInt(id, 10, 64)
	return errA != nil || errB != nil || b > a
}

// start sends the head of a stream.
func (j *job) start(x *exchange) {
	j.begun = true
	j.first = j.server.Timer.Now()
	j.status = x.resp.StatusCode
	h := j.w.Header()
	for k, v := range j.server.Headers.FilterResponse(x.resp.Header) {
		h[k] = v
	}
	j.w.WriteHeader(j.status)
}

// streamEnded takes the end of a stream, which is whole only if the endpoint ended it between two events.
func (j *job) streamEnded(ctx context.Context, p placed, r *eventReader, err error) result {
	if errors.Is(err, errStreamEnd) {
		p.claim.End(afroster.HealthSuccess)
		if !j.begun {
			return result{cause: "stream without an event"}
		}
		return result{done: true}
	}
	res := j.failed(ctx, p, err)
	res.notRun = false
	if r.partial() > 0 {
		res.cause += ", in the middle of an event"
	}
	return res
}

// watch ends an attempt whose endpoint stays silent, if another one may take it over. It keeps one timer for an attempt
// and not one for each event, of which a VM may relay thousands a second.
type watch struct {
	job      *job
	endpoint string
	cancel   context.CancelCauseFunc

	mu      sync.Mutex
	last    time.Time // last is when the endpoint was heard last, or the beginning.
	limit   time.Duration
	timer   *aftimer.Subscription
	stopped bool
}

func (j *job) watch(p placed, cancel context.CancelCauseFunc) *watch {
	w := &watch{job: j, endpoint: p.ID, cancel: cancel, last: j.server.Timer.Now()}
	if !j.route.IsRepeatable() || j.runs+1 >= j.route.MaxAttempts {
		return w
	}
	w.limit = max(wholeFactor*j.route.TargetLatency, minWhole)
	if isStream(j.route) {
		w.limit = max(firstFactor*j.route.TargetLatency, minFirst)
	}
	w.arm(w.limit)
	return w
}

// arm sets the timer. The caller holds mu, or nobody else knows the watch.
func (w *watch) arm(d time.Duration) {
	w.timer = w.job.server.Timer.After(d, w.check)
}

// check is called when the endpoint may have been silent for too long.
func (w *watch) check(now time.Time) {
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		return
	}
	left := w.limit - now.Sub(w.last)
	if left <= 0 && !w.movable() {
		left = w.limit
	}
	if left > 0 {
		w.arm(left)
		w.mu.Unlock()
		return
	}
	w.mu.Unlock()
	w.cancel(errSilent)
}

// progress notes an event and returns the time since the one before or the beginning of the attempt. From the first event
// on the pauses between two count.
func (w *watch) progress() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.job.server.Timer.Now()
	pause := now.Sub(w.last)
	w.last = now
	w.limit = max(pauseFactor*w.job.route.TargetEventInterval, minPause)
	return pause
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// movable reports whether another endpoint may and can take the request over.
func (w *watch) movable() bool {
	j := w.job
	for _, e := range j.server.Roster.UsableEndpoints(j.service.Name) {
		if e.ID != w.endpoint && (j.service.Engine == nil || holds(e, j.call.Model, j.call.Adapter)) {
			return true
		}
	}
	return false
}
