package afcontrol

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

const (
	// statusTimeout is the timeout of a status request to an endpoint.
	statusTimeout = time.Second
	// maxStatusBytes is the largest accepted size of an endpoint's report.
	maxStatusBytes = 4 << 20
)

// pollState is the state of the status requests to one endpoint.
type pollState struct {
	inFlight    bool
	requestedAt time.Time
}

// orderBody is the body of a load or unload order of the model repository extension.
type orderBody struct {
	Parameters orderParameters `json:"parameters"`
}

// orderParameters identifies the order, so that the endpoint can refuse it after a higher fence.
type orderParameters struct {
	Fence string `json:"fence"`
	Order string `json:"order"`
}

// adapterBody is the body of an adapter order.
type adapterBody struct {
	Name  string `json:"lora_name"`
	Path  string `json:"lora_path"`
	Fence string `json:"fence"`
	Order string `json:"order"`
}

// pollEndpoints requests the status of the endpoints of an owned shard for which a request is due.
func (s *Service) pollEndpoints(sh *shard, now time.Time) {
	if !sh.view.HasLease(now) {
		return
	}
	for _, ep := range sh.view.Config().Endpoints {
		p := sh.polls[ep.Name]
		if p == nil {
			p = &pollState{}
			sh.polls[ep.Name] = p
		}
		if !p.inFlight && (p.requestedAt.IsZero() || now.Sub(p.requestedAt) >= sh.view.PollDelay(ep.Name, p.requestedAt)) {
			s.requestStatus(sh, p, ep, now)
		}
	}
}

// schedulePoll polls the shard's endpoints before the next tick if the endpoint's load is due by then.
func (s *Service) schedulePoll(sh *shard, endpoint string) {
	if d := sh.view.PollDelay(endpoint, s.Timer.Now()); d < tickInterval && sh.view.HasLease(s.Timer.Now()) {
		s.Timer.CallAfter(d, func(now time.Time) {
			s.loopQueue.TryPush(func() { s.pollEndpoints(sh, now) })
		})
	}
}

// requestStatus requests an endpoint's status. A report of an endpoint with nothing in progress is applied at the next
// tick.
func (s *Service) requestStatus(sh *shard, p *pollState, ep arbutusfork.Endpoint, now time.Time) {
	p.inFlight, p.requestedAt = true, now
	s.startCall(func(ctx context.Context) func() {
		st, err := s.fetchStatus(ctx, ep)
		return func() {
			p.inFlight = false
			if err != nil {
				s.Log.Debug("endpoint status not read", "endpoint", ep.Name, "error", err)
			}
			o := afplacement.StatusPolled{Endpoint: ep.Name, RequestedAt: now, Status: st, Failed: err != nil}
			if sh.view.IsEndpointBusy(ep.Name) {
				s.applyEvent(sh, afplacement.ReportBatch{Statuses: append(sh.pendingReports, o)})
				sh.pendingReports = nil
				return
			}
			sh.pendingReports = append(sh.pendingReports, o)
			s.schedulePoll(sh, ep.Name)
		}
	})
}

// fetchStatus reads an endpoint's status.
func (s *Service) fetchStatus(ctx context.Context, ep arbutusfork.Endpoint) (st afplacement.EndpointStatus, err error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ep.Address+"/status", nil)
	if err != nil {
		return st, &Error{Op: "status " + ep.Name, Kind: MalformedMessage, Err: err}
	}
	resp, err := s.HTTPClient.Do(req)
	if err != nil {
		return st, &Error{Op: "status " + ep.Name, Kind: EndpointUnreachable, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return st, &Error{Op: "status " + ep.Name, Kind: EndpointUnreachable}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes)) // Only at its end is a body known to be whole.
	if err != nil {
		return st, &Error{Op: "status " + ep.Name, Kind: EndpointUnreachable, Err: err}
	}
	if err := json.Unmarshal(body, &st); err != nil {
		return st, &Error{Op: "status " + ep.Name, Kind: MalformedMessage, Err: err}
	}
	return st, nil
}

// sendOrder sends an order once and applies its outcome.
func (s *Service) sendOrder(sh *shard, o afplacement.Order) {
	ep := sh.view.Config().Endpoints[o.Endpoint]
	s.startCall(func(ctx context.Context) func() {
		outcome, status := s.postOrder(ctx, ep, o)
		return func() {
			s.Log.Info("order sent", "shard", sh.name, "order", o.ID, "fence", o.Fence, "verb", o.Verb.String(), "model", o.Model,
				"endpoint", o.Endpoint, "reply", outcome.String(), "status", status)
			s.applyEvent(sh, afplacement.OrderAnswered{OrderID: o.ID, Outcome: outcome})
			s.schedulePoll(sh, o.Endpoint)
		}
	})
}

// postOrder posts an order to its endpoint and returns the outcome and the HTTP status. Without an answer, the
// connection's trace shows whether the order may have left this VM.
func (s *Service) postOrder(ctx context.Context, ep arbutusfork.Endpoint, o afplacement.Order) (afplacement.OrderOutcome, int) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := orderRequest(ctx, ep, o)
	if err != nil {
		return afplacement.OutcomeNotSent, 0
	}
	resp, err := s.HTTPClient.Do(req)
	if err != nil {
		if connected.Load() {
			return afplacement.OutcomeAnswerLost, 0
		}
		return afplacement.OutcomeNotSent, 0
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK, http.StatusAccepted:
		return afplacement.OutcomeAccepted, resp.StatusCode
	case http.StatusConflict:
		return afplacement.OutcomeStaleFence, resp.StatusCode
	}
	return afplacement.OutcomeRefused, resp.StatusCode
}

// orderRequest returns the HTTP request of an order, to the model repository or the adapter API of the endpoint.
func orderRequest(ctx context.Context, ep arbutusfork.Endpoint, o afplacement.Order) (*http.Request, error) {
	fence, id := strconv.FormatInt(o.Fence, 10), strconv.FormatInt(o.ID, 10)
	var (
		path string
		body any
	)
	if _, adapter := arbutusfork.SplitModelName(o.Model); adapter != "" {
		path = "/v1/" + o.Verb.String() + "_lora_adapter"
		body = adapterBody{Name: o.Model, Path: o.Model, Fence: fence, Order: id}
	} else {
		path = "/v2/repository/models/" + url.PathEscape(o.Model) + "/" + o.Verb.String()
		body = orderBody{Parameters: orderParameters{Fence: fence, Order: id}}
	}
	b, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ep.Address+path, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	// Without GetBody, the transport cannot repeat the order on another connection.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}
