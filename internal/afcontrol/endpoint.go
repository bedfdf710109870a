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
	// statusTimeout bounds the wait for an endpoint's report.
	statusTimeout = time.Second
	// maxStatusBytes bounds an endpoint's report.
	maxStatusBytes = 4 << 20
)

// poll is the state of asking one endpoint for its status.
type poll struct {
	asking bool
	asked  time.Time
}

// orderBody is the body of a load or unload order of the model repository extension.
type orderBody struct {
	Parameters orderParameters `json:"parameters"`
}

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

// poll asks the endpoints of an owned shard for their status when it is due.
func (s *Service) poll(sh *shard, now time.Time) {
	if !sh.view.HasLease(now) {
		return
	}
	for _, ep := range sh.view.Config().Endpoints {
		p := sh.polls[ep.Name]
		if p == nil {
			p = &poll{}
			sh.polls[ep.Name] = p
		}
		if !p.asking && (p.asked.IsZero() || now.Sub(p.asked) >= sh.view.PollDelay(ep.Name, p.asked)) {
			s.status(sh, p, ep, now)
		}
	}
}

// soon polls again before the next tick if a short load is due by then.
func (s *Service) soon(sh *shard, endpoint string) {
	if d := sh.view.PollDelay(endpoint, s.Timer.Now()); d < tick && sh.view.HasLease(s.Timer.Now()) {
		s.Timer.After(d, func(now time.Time) {
			s.ring.Push(func() { s.poll(sh, now) })
		})
	}
}

func (s *Service) status(sh *shard, p *poll, ep arbutusfork.Endpoint, now time.Time) {
	p.asking, p.asked = true, now
	s.spawn(func(ctx context.Context) func() {
		st, err := s.getStatus(ctx, ep)
		return func() {
			p.asking = false
			if err != nil {
				s.Log.Debug("endpoint status not read", "endpoint", ep.Name, "error", err)
			}
			o := afplacement.StatusPolled{Endpoint: ep.Name, RequestedAt: now, Status: st, Failed: err != nil}
			if sh.view.IsEndpointBusy(ep.Name) {
				s.step(sh, afplacement.ReportBatch{Statuses: append(sh.seen, o)})
				sh.seen = nil
				return
			}
			sh.seen = append(sh.seen, o)
			s.soon(sh, ep.Name)
		}
	})
}

func (s *Service) getStatus(ctx context.Context, ep arbutusfork.Endpoint) (st afplacement.EndpointStatus, err error) {
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&st); err != nil {
		return st, &Error{Op: "status " + ep.Name, Kind: MalformedMessage, Err: err}
	}
	return st, nil
}

// send sends an order once and reports what became of it.
func (s *Service) send(sh *shard, o afplacement.Order) {
	ep := sh.view.Config().Endpoints[o.Endpoint]
	s.spawn(func(ctx context.Context) func() {
		reply, status := s.post(ctx, ep, o)
		return func() {
			s.Log.Info("order sent", "shard", sh.name, "order", o.ID, "fence", o.Fence, "verb", o.Verb.String(), "model", o.Model,
				"endpoint", o.Endpoint, "reply", reply.String(), "status", status)
			s.step(sh, afplacement.OrderAnswered{OrderID: o.ID, Outcome: reply})
			s.soon(sh, o.Endpoint)
		}
	})
}

// post tells from the connection's trace whether an order without an answer may have left this VM.
func (s *Service) post(ctx context.Context, ep arbutusfork.Endpoint, o afplacement.Order) (afplacement.OrderOutcome, int) {
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

func orderRequest(ctx context.Context, ep arbutusfork.Endpoint, o afplacement.Order) (*http.Request, error) {
	fence, id := strconv.FormatInt(o.Fence, 10), strconv.FormatInt(o.ID, 10)
	var (
		path string
		body any
	)
	if _, adapter := arbutusfork.SplitModel(o.Model); adapter != "" {
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
	// Without GetBody the transport cannot send the order a second time on another connection.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}
