package afdemo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	coldModelTokens      = 24
	streamTimeout        = 20 * time.Second
	withdrawTimeout      = 5 * time.Second
	limitedRequestTokens = 2000
	limitedRequests      = 60
)

// Demo checks a running example deployment. All fields are set before Run.
type Demo struct {
	// CallersURLs holds the base URL of each VM's callers' listener.
	CallersURLs []string
	// EngineURLs holds the base URLs of the engine stand-ins whose loads are counted.
	EngineURLs []string
	// PlainServiceURLs holds the base URLs of the plain services whose executed calls are counted.
	PlainServiceURLs []string
	// ColdModel is a model that no endpoint has loaded.
	ColdModel string
	// AdapterModel is an adapter in the form base:adapter.
	AdapterModel string
	// AtMostOncePath is the path of a route whose calls with the same idempotency key run at most once.
	AtMostOncePath string
	// Customers are the customers whose keys send the burst.
	Customers []string
	// LimitedCustomer is the customer whose rate limit is tested.
	LimitedCustomer string

	// OperatorsURLs holds the base URL of each VM's operators' listener.
	OperatorsURLs []string
	// OperatorToken is the bearer token for the operators' listeners.
	OperatorToken string

	Output     io.Writer
	HTTPClient *http.Client

	apiKeys map[string]string
	runID   string
}

// Run performs the steps in order, prints the outcome of each, and returns an error that joins all failures.
func (d *Demo) Run(ctx context.Context) error {
	d.apiKeys = make(map[string]string)
	d.runID = fmt.Sprintf("%x", time.Now().UnixNano())
	steps := []struct {
		name string
		fn   func(ctx context.Context) (string, error)
	}{
		{"keys issued", d.issueKeys},
		{"burst for one idle model at every VM", d.checkBurst},
		{"request for an adapter", d.checkAdapter},
		{"customer above its rate", d.checkRateLimit},
		{"key withdrawn", d.checkWithdrawnKey},
		{"payment sent twice", d.checkPaymentRetry},
		{"drain of one VM", d.checkDrain},
	}
	var failed []error
	for _, step := range steps {
		observation, err := step.fn(ctx)
		if err != nil {
			_, _ = fmt.Fprintf(d.Output, "FAIL  %s: %v\n", step.name, err)
			failed = append(failed, fmt.Errorf("%s: %w", step.name, err))
			continue
		}
		_, _ = fmt.Fprintf(d.Output, "ok    %s: %s\n", step.name, observation)
	}
	return errors.Join(failed...)
}

// newCaller returns a caller at the VM with the index vm. The customer selects the API key.
func (d *Demo) newCaller(vm int, customer string) caller {
	return caller{baseURL: d.CallersURLs[vm], apiKey: d.apiKeys[customer], httpClient: d.HTTPClient}
}

// issueKeys creates an API key for each customer.
func (d *Demo) issueKeys(ctx context.Context) (string, error) {
	for _, customer := range d.Customers {
		secret, err := d.issueKey(ctx, "demo-"+customer+"-"+d.runID, customer)
		if err != nil {
			return "", err
		}
		d.apiKeys[customer] = secret
	}
	return fmt.Sprintf("%d customers have a key", len(d.Customers)), nil
}

// checkBurst requests a model that is not loaded at every VM at once, and expects whole streams and a single load.
func (d *Demo) checkBurst(ctx context.Context) (string, error) {
	before, err := d.countLoads(ctx, d.ColdModel)
	if err != nil {
		return "", err
	}
	answers := make([]answer, len(d.CallersURLs))
	errs := make([]error, len(d.CallersURLs))
	var wg sync.WaitGroup
	for i := range d.CallersURLs {
		wg.Go(func() {
			c := d.newCaller(i, d.Customers[i%len(d.Customers)])
			prompt := fmt.Sprintf("request %d of the burst", i)
			answers[i], errs[i] = c.sendChat(ctx, d.ColdModel, prompt, coldModelTokens, true)
		})
	}
	wg.Wait()
	var slowest time.Duration
	for i, a := range answers {
		if errs[i] != nil {
			return "", fmt.Errorf("VM %d: %w", i+1, errs[i])
		}
		if err := checkStream(a, coldModelTokens); err != nil {
			return "", fmt.Errorf("VM %d: %w", i+1, err)
		}
		slowest = max(slowest, a.FirstChunkDelay)
	}
	after, err := d.countLoads(ctx, d.ColdModel)
	if err != nil {
		return "", err
	}
	if after-before != 1 {
		return "", fmt.Errorf("%d loads of %s, want 1", after-before, d.ColdModel)
	}
	return fmt.Sprintf("%d whole streams from %d VMs, 1 load of %s, slowest first token after %s",
		len(answers), len(d.CallersURLs), d.ColdModel, slowest.Round(time.Millisecond)), nil
}

// checkStream returns an error unless a is a complete stream with the number of tokens.
func checkStream(a answer, tokens int) error {
	switch {
	case a.StatusCode != http.StatusOK:
		return fmt.Errorf("status %d, code %s: %s", a.StatusCode, a.Error.Code, a.Error.Message)
	case !a.IsComplete:
		return fmt.Errorf("stream ended without its end marker after %d of %d pieces", a.ChunkCount, tokens)
	case a.ChunkCount != tokens:
		return fmt.Errorf("%d pieces of text, want %d", a.ChunkCount, tokens)
	}
	return nil
}

// checkAdapter expects a complete stream from an adapter.
func (d *Demo) checkAdapter(ctx context.Context) (string, error) {
	a, err := d.newCaller(0, d.Customers[0]).sendChat(ctx, d.AdapterModel, "describe a stool", coldModelTokens, true)
	if err != nil {
		return "", err
	}
	if err := checkStream(a, coldModelTokens); err != nil {
		return "", err
	}
	return fmt.Sprintf("whole stream of %s, first token after %s", d.AdapterModel, a.FirstChunkDelay.Round(time.Millisecond)), nil
}

// checkRateLimit sends requests of the limited customer to all VMs at once. It expects a refusal by the rate limit, and
// cancels the other requests at the first one.
func (d *Demo) checkRateLimit(ctx context.Context) (string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		a   answer
		err error
	}
	results := make(chan result, limitedRequests)
	for i := range limitedRequests {
		go func() {
			a, err := d.newCaller(i%len(d.CallersURLs), d.LimitedCustomer).sendChat(ctx, d.ColdModel, "how many", limitedRequestTokens, false)
			results <- result{a, err}
		}()
	}
	served := 0
	for range limitedRequests {
		r := <-results
		switch {
		case r.err != nil:
			return "", r.err
		case r.a.StatusCode == http.StatusOK:
			served++
		case r.a.StatusCode != http.StatusTooManyRequests:
			return "", fmt.Errorf("status %d, code %s: %s", r.a.StatusCode, r.a.Error.Code, r.a.Error.Message)
		case r.a.Error.Outcome != "not run" || r.a.RetryAfter == "":
			return "", fmt.Errorf("malformed refusal: outcome %q, Retry-After %q", r.a.Error.Outcome, r.a.RetryAfter)
		default:
			return fmt.Sprintf("of %d requests for %d tokens each, %s got %s (%s, retry after %s s)",
				limitedRequests, limitedRequestTokens, d.LimitedCustomer, r.a.Error.Code, r.a.Error.Outcome, r.a.RetryAfter), nil
		}
	}
	return "", fmt.Errorf("%d of %d requests of %d tokens were served and none refused", served, limitedRequests, limitedRequestTokens)
}

// checkWithdrawnKey withdraws a key that all VMs accept, and expects that all VMs refuse the key soon after.
func (d *Demo) checkWithdrawnKey(ctx context.Context) (string, error) {
	name := "demo-withdrawn-" + d.runID
	customer := d.Customers[0]
	secret, err := d.issueKey(ctx, name, customer)
	if err != nil {
		return "", err
	}
	d.apiKeys["withdrawn"] = secret
	if err := d.waitForStatus(ctx, http.StatusOK); err != nil {
		return "", err
	}
	start := time.Now()
	if err := d.withdrawKey(ctx, name); err != nil {
		return "", err
	}
	if err := d.waitForStatus(ctx, http.StatusUnauthorized); err != nil {
		return "", err
	}
	return fmt.Sprintf("refused at every VM %s after the withdrawal was sent",
		time.Since(start).Round(time.Millisecond)), nil
}

// waitForStatus waits until every VM answers requests with the key to be withdrawn with the status.
func (d *Demo) waitForStatus(ctx context.Context, status int) error {
	deadline := time.Now().Add(withdrawTimeout)
	for vm := range d.CallersURLs {
		for {
			a, err := d.newCaller(vm, "withdrawn").sendChat(ctx, d.ColdModel, "still there", 1, false)
			if err != nil {
				return err
			}
			if a.StatusCode == status {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("VM %d still answers status %d, want %d", vm+1, a.StatusCode, status)
			}
		}
	}
	return nil
}

// checkPaymentRetry sends the same payment to two VMs, and expects equal answers and a single execution.
func (d *Demo) checkPaymentRetry(ctx context.Context) (string, error) {
	id := "pay-" + d.runID
	body := fmt.Appendf(nil, `{"id":%q,"amount":125}`, id)
	header := map[string]string{"Idempotency-Key": id}
	first, err := d.newCaller(0, d.Customers[0]).sendRequest(ctx, d.AtMostOncePath, body, header)
	if err != nil {
		return "", err
	}
	second, err := d.newCaller(1, d.Customers[0]).sendRequest(ctx, d.AtMostOncePath, body, header)
	if err != nil {
		return "", err
	}
	if first.StatusCode != http.StatusOK || second.StatusCode != http.StatusOK {
		return "", fmt.Errorf("statuses %d and %d: %s %s", first.StatusCode, second.StatusCode, first.Body, second.Body)
	}
	if string(first.Body) != string(second.Body) {
		return "", fmt.Errorf("answers differ: %s and %s", first.Body, second.Body)
	}
	runs, err := d.countRuns(ctx, id)
	if err != nil {
		return "", err
	}
	if runs != 1 {
		return "", fmt.Errorf("the payment ran %d times, want 1", runs)
	}
	return "two VMs gave the same answer, the payment ran once", nil
}

// checkDrain drains a VM during a stream, and expects that the stream completes and the VM is no longer ready.
func (d *Demo) checkDrain(ctx context.Context) (string, error) {
	last := len(d.CallersURLs) - 1
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	var a answer
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		a, err = d.newCaller(last, d.Customers[0]).sendChat(ctx, d.ColdModel, "a long note", 10*coldModelTokens, true)
	}()
	if err := d.waitForRunningRequest(ctx); err != nil {
		return "", err
	}
	if err := d.postToOperator(ctx, last, "/v1/drain"); err != nil {
		return "", err
	}
	<-done
	if err != nil {
		return "", err
	}
	if err := checkStream(a, 10*coldModelTokens); err != nil {
		return "", err
	}
	if d.isReady(ctx, last) {
		return "", errors.New("the VM is still ready after the drain")
	}
	return fmt.Sprintf("VM %d finished its open stream and takes no new request", last+1), nil
}
