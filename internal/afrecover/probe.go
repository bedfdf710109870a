package afrecover

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	orderPoll = 25 * time.Millisecond
	ownerPoll = 100 * time.Millisecond
	// coldTokens keeps the answer of a cold start short against the load.
	coldTokens = 16
	// nextAfter is when another request follows one that cannot be served in time.
	nextAfter = time.Second
	// withdrawTokens make a stream of about ten seconds.
	withdrawTokens = 5000
	withdrawAfter  = time.Second
	withdrawBound  = 5 * time.Second
	leaveBound     = 3 * time.Second
	leaveWatch     = 4 * time.Second
	probeCustomer  = "nile-party-shops"
)

// CheckColdStart sends one request for a model that is not loaded to the first ready VM other than the one with the number
// except, and tells when the load was ordered and when the first token came. The times count from the start. With
// refused it expects that the deadline cannot be met and that the request, and another one after it, are refused.
func (f *Deployment) CheckColdStart(ctx context.Context, model string, except int, deadline time.Duration, refused bool) (string, error) {
	start := time.Now()
	vm, err := f.ready(ctx, except)
	if err != nil {
		return "", err
	}
	key, err := f.probeKey(ctx, vm)
	if err != nil {
		return "", err
	}
	before, err := f.counts(ctx)
	if err != nil {
		return "", err
	}
	ordered, taken := make(chan time.Duration, 1), make(chan time.Duration, 1)
	poll, stop := context.WithCancel(ctx)
	defer stop()
	go func() { ordered <- f.awaitOrder(poll, model, start) }()
	go func() { taken <- f.awaitOwner(poll, start) }()
	q := request{customer: probeCustomer, key: key, model: model, tokens: coldTokens, stream: true, deadline: deadline}
	next := make(chan Sample, 1)
	if refused {
		go func() {
			_ = pause(ctx, nextAfter) // A request whose context has ended is not sent.
			next <- q.send(ctx, &http.Client{}, f.CallersURLs[vm], vm)
		}()
	}
	s := q.send(ctx, &http.Client{}, f.CallersURLs[vm], vm)
	stop()
	after, err := f.counts(ctx)
	if err != nil {
		return "", err
	}
	loads := after.loads[model] - before.loads[model]
	text := fmt.Sprintf("asked=%s new-owner=%s ordered=%s first-token=%s loads=%d %s", s.SentAt.Sub(start).Round(time.Millisecond),
		(<-taken).Round(time.Millisecond), (<-ordered).Round(time.Millisecond), s.HeaderAt.Sub(start).Round(time.Millisecond), loads, s.Result)
	if refused {
		again := <-next
		text += fmt.Sprintf(", the next one %s after %s", again.Result, again.HeaderAt.Sub(again.SentAt).Round(time.Millisecond))
		for _, s := range []Sample{s, again} {
			if s.Result != ResultRefused || s.Outcome != "not run" || s.HeaderAt.Sub(s.SentAt) > deadline+lateSlack {
				return text, fmt.Errorf("C3: %s", describe(s))
			}
		}
		return text, nil
	}
	switch {
	case s.Result != ResultAnswered:
		return text, fmt.Errorf("%s", describe(s))
	case loads > 1:
		return text, fmt.Errorf("%d loads of %s for one request", loads, model)
	}
	return text, nil
}

// awaitOrder returns when an engine held the model, from the start on, or zero if none did.
func (f *Deployment) awaitOrder(ctx context.Context, model string, start time.Time) time.Duration {
	tick := time.NewTicker(orderPoll)
	defer tick.Stop()
	for {
		if c, err := f.counts(ctx); err == nil && c.loads[model] > 0 {
			return time.Since(start)
		}
		select {
		case <-ctx.Done():
			return 0
		case <-tick.C:
		}
	}
}

// awaitOwner returns when the shard's fencing number rose, from the start on, or zero if it did not.
func (f *Deployment) awaitOwner(ctx context.Context, start time.Time) time.Duration {
	first := int64(0)
	tick := time.NewTicker(ownerPoll)
	defer tick.Stop()
	for {
		r, err := f.record(ctx)
		switch {
		case err != nil:
		case first == 0:
			first = r.Fence
		case r.Fence > first:
			return time.Since(start)
		}
		select {
		case <-ctx.Done():
			return 0
		case <-tick.C:
		}
	}
}

// ready returns the index of the first ready VM other than the one with the number except.
func (f *Deployment) ready(ctx context.Context, except int) (int, error) {
	for vm, operator := range f.OperatorsURLs {
		if vm+1 == except {
			continue
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, operator+"/readyz", nil)
		if err != nil {
			return 0, err
		}
		res, err := f.HTTPClient.Do(req)
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return vm, nil
		}
	}
	return 0, fmt.Errorf("no VM is ready")
}

// probeKey issues a key and waits until the VM accepts it.
func (f *Deployment) probeKey(ctx context.Context, vm int) (string, error) {
	name := fmt.Sprintf("probe-%x", time.Now().UnixNano())
	key, err := f.issue(ctx, f.OperatorsURLs[vm], name, probeCustomer)
	if err != nil {
		return "", err
	}
	for f.rejects(ctx, http.DefaultClient, f.CallersURLs[vm], key) {
		if err := pause(ctx, orderPoll); err != nil {
			return "", err
		}
	}
	return key, nil
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// CheckKeyWithdrawal opens a long stream at each VM, withdraws their key and tells when the last stream ended.
func (f *Deployment) CheckKeyWithdrawal(ctx context.Context) (string, error) {
	name := fmt.Sprintf("withdraw-%x", time.Now().UnixNano())
	key, err := f.issue(ctx, f.OperatorsURLs[0], name, probeCustomer)
	if err != nil {
		return "", err
	}
	for _, base := range f.CallersURLs {
		for f.rejects(ctx, http.DefaultClient, base, key) {
			if err := pause(ctx, orderPoll); err != nil {
				return "", err
			}
		}
	}
	ends := make(chan Sample, len(f.CallersURLs))
	for vm, base := range f.CallersURLs {
		q := request{customer: probeCustomer, key: key, model: WarmModels[vm%len(WarmModels)], tokens: withdrawTokens, stream: true}
		go func() { ends <- q.send(ctx, &http.Client{}, base, vm) }()
	}
	if err := pause(ctx, withdrawAfter); err != nil {
		return "", err
	}
	start := time.Now()
	if err := f.call(ctx, http.MethodPost, f.OperatorsURLs[1]+"/v1/keys/"+name+"/withdraw", struct{}{}, nil); err != nil {
		return "", err
	}
	answered := time.Since(start)
	slowest := time.Duration(0)
	for range f.CallersURLs {
		s := <-ends
		if s.Result != ResultEnded || s.Code != "key_withdrawn" {
			return "", fmt.Errorf("%s", describe(s))
		}
		slowest = max(slowest, s.EndedAt.Sub(start))
	}
	for vm, base := range f.CallersURLs {
		q := request{customer: probeCustomer, key: key, model: WarmModels[0], tokens: 1}
		if s := q.send(ctx, &http.Client{}, base, vm); s.Status != http.StatusUnauthorized {
			return "", fmt.Errorf("after the withdrawal: %s", describe(s))
		}
	}
	text := fmt.Sprintf("withdrawal-answered=%s last-of-%d-streams-ended=%s, then refused at every VM",
		answered.Round(time.Millisecond), len(f.CallersURLs), slowest.Round(time.Millisecond))
	if slowest > withdrawBound {
		return text, fmt.Errorf("C4: a stream went on for %s", slowest)
	}
	return text, nil
}

// CheckEndpointLeave makes an endpoint that serves the load leave and counts the requests that it still gets. With config the
// operator says so, otherwise the endpoint itself.
func (f *Deployment) CheckEndpointLeave(ctx context.Context, config bool) (string, error) {
	engine, err := f.serving(ctx)
	if err != nil {
		return "", err
	}
	set := func(leaving bool) error { return f.setLeaving(ctx, engine, config, leaving) }
	if err := set(true); err != nil {
		return "", err
	}
	at, err := f.arrivals(ctx, engine)
	if err != nil {
		return "", err
	}
	if err := pause(ctx, leaveBound); err != nil {
		return "", err
	}
	bound, err := f.arrivals(ctx, engine)
	if err != nil {
		return "", err
	}
	if err := pause(ctx, leaveWatch); err != nil {
		return "", err
	}
	last, err := f.arrivals(ctx, engine)
	if err != nil {
		return "", err
	}
	if err := set(false); err != nil {
		return "", err
	}
	text := fmt.Sprintf("requests-within-%s=%d after=%d", leaveBound, bound-at, last-bound)
	if last > bound {
		return text, fmt.Errorf("C9: %d requests reached the leaving endpoint after %s", last-bound, leaveBound)
	}
	return text, nil
}

// serving returns the index of the engine with the most running requests of the load.
func (f *Deployment) serving(ctx context.Context) (int, error) {
	before, err := f.counts(ctx)
	if err != nil {
		return 0, err
	}
	if err := pause(ctx, withdrawAfter); err != nil {
		return 0, err
	}
	after, err := f.counts(ctx)
	if err != nil {
		return 0, err
	}
	best, most := -1, 0
	for i := range after.requests {
		if n := after.requests[i] - before.requests[i]; n > most {
			best, most = i, n
		}
	}
	if best < 0 {
		return 0, fmt.Errorf("no engine serves requests")
	}
	return best, nil
}

// arrivals returns how many requests have reached the engine, those included that it refused as leaving.
func (f *Deployment) arrivals(ctx context.Context, engine int) (int, error) {
	var c struct {
		Requests int `json:"requests"`
		Left     int `json:"left"`
	}
	err := f.get(ctx, f.EngineURLs[engine]+"/counts", &c)
	return c.Requests + c.Left, err
}

func (f *Deployment) setLeaving(ctx context.Context, engine int, config, leaving bool) error {
	if !config {
		return f.call(ctx, http.MethodPost, f.EngineURLs[engine]+"/faults", map[string]bool{"leaving": leaving}, nil)
	}
	target := fmt.Sprintf("%s/v1/endpoints/%s-%d", f.OperatorsURLs[0], EngineService, engine+1)
	var o struct {
		Version int64          `json:"version"`
		Spec    map[string]any `json:"spec"`
	}
	if err := f.get(ctx, target, &o); err != nil {
		return err
	}
	o.Spec["leaving"] = leaving
	return f.call(ctx, http.MethodPut, fmt.Sprintf("%s?version=%d", target, o.Version), o.Spec, nil)
}
