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
	coldTokens    = 24
	streamTimeout = 20 * time.Second
	withdrawBound = 5 * time.Second
	limitTokens   = 2000
	limitTries    = 60
)

// Demo checks a running example. All fields are set before Run.
type Demo struct {
	// CallersURLs holds the base URL of each VM's callers' listener.
	CallersURLs []string
	// EngineURLs and Plain hold the base URLs of the stand-ins whose counts are checked.
	EngineURLs       []string
	PlainServiceURLs []string
	// ColdModel is a model that no endpoint has loaded, and Adapter an adapter in the form base:adapter.
	ColdModel    string
	AdapterModel string
	// AtMostOncePath is the path of a route whose calls run at most once.
	AtMostOncePath string
	// Customers are the customers whose keys send the burst. Small is the one whose limit is tested.
	Customers       []string
	LimitedCustomer string

	// OperatorsURLs holds the base URL of each VM's operators' listener, and Token the operator token.
	OperatorsURLs []string
	OperatorToken string

	Output     io.Writer
	HTTPClient *http.Client

	keys map[string]string
	run  string
}

// Run performs each step in order and returns an error that names every step whose expectation was not met.
func (d *Demo) Run(ctx context.Context) error {
	d.keys = make(map[string]string)
	d.run = fmt.Sprintf("%x", time.Now().UnixNano())
	steps := []struct {
		name string
		fn   func(ctx context.Context) (string, error)
	}{
		{"keys issued", d.issueKeys},
		{"burst for one idle model at every VM", d.burst},
		{"request for an adapter", d.adapter},
		{"customer above its rate", d.limited},
		{"key withdrawn", d.withdrawn},
		{"payment sent twice", d.payment},
		{"drain of one VM", d.drain},
	}
	var failed []error
	for _, step := range steps {
		seen, err := step.fn(ctx)
		if err != nil {
			_, _ = fmt.Fprintf(d.Output, "FAIL  %s: %v\n", step.name, err)
			failed = append(failed, fmt.Errorf("%s: %w", step.name, err))
			continue
		}
		_, _ = fmt.Fprintf(d.Output, "ok    %s: %s\n", step.name, seen)
	}
	return errors.Join(failed...)
}

func (d *Demo) caller(vm int, customer string) caller {
	return caller{base: d.CallersURLs[vm], key: d.keys[customer], http: d.HTTPClient}
}

func (d *Demo) issueKeys(ctx context.Context) (string, error) {
	for _, customer := range d.Customers {
		secret, err := d.issue(ctx, "demo-"+customer+"-"+d.run, customer)
		if err != nil {
			return "", err
		}
		d.keys[customer] = secret
	}
	return fmt.Sprintf("%d customers have a key", len(d.Customers)), nil
}

func (d *Demo) burst(ctx context.Context) (string, error) {
	before, err := d.loads(ctx, d.ColdModel)
	if err != nil {
		return "", err
	}
	answers := make([]answer, len(d.CallersURLs))
	errs := make([]error, len(d.CallersURLs))
	var wg sync.WaitGroup
	for i := range d.CallersURLs {
		wg.Go(func() {
			c := d.caller(i, d.Customers[i%len(d.Customers)])
			prompt := fmt.Sprintf("request %d of the burst", i)
			answers[i], errs[i] = c.chat(ctx, d.ColdModel, prompt, coldTokens, true)
		})
	}
	wg.Wait()
	var slowest time.Duration
	for i, a := range answers {
		if errs[i] != nil {
			return "", fmt.Errorf("VM %d: %w", i+1, errs[i])
		}
		if err := wholeStream(a, coldTokens); err != nil {
			return "", fmt.Errorf("VM %d: %w", i+1, err)
		}
		slowest = max(slowest, a.First)
	}
	after, err := d.loads(ctx, d.ColdModel)
	if err != nil {
		return "", err
	}
	if after-before != 1 {
		return "", fmt.Errorf("%d loads of %s, want 1", after-before, d.ColdModel)
	}
	return fmt.Sprintf("%d whole streams from %d VMs, 1 load of %s, slowest first token after %s",
		len(answers), len(d.CallersURLs), d.ColdModel, slowest.Round(time.Millisecond)), nil
}

func wholeStream(a answer, tokens int) error {
	switch {
	case a.Status != http.StatusOK:
		return fmt.Errorf("status %d, code %s: %s", a.Status, a.Error.Code, a.Error.Message)
	case !a.Whole:
		return fmt.Errorf("stream ended without its end marker after %d of %d pieces", a.Chunks, tokens)
	case a.Chunks != tokens:
		return fmt.Errorf("%d pieces of text, want %d", a.Chunks, tokens)
	}
	return nil
}

func (d *Demo) adapter(ctx context.Context) (string, error) {
	a, err := d.caller(0, d.Customers[0]).chat(ctx, d.AdapterModel, "describe a stool", coldTokens, true)
	if err != nil {
		return "", err
	}
	if err := wholeStream(a, coldTokens); err != nil {
		return "", err
	}
	return fmt.Sprintf("whole stream of %s, first token after %s", d.AdapterModel, a.First.Round(time.Millisecond)), nil
}

// limited sends the small customer's requests at all VMs at once until one is refused, and then hangs up the rest.
func (d *Demo) limited(ctx context.Context) (string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		a   answer
		err error
	}
	results := make(chan result, limitTries)
	for i := range limitTries {
		go func() {
			a, err := d.caller(i%len(d.CallersURLs), d.LimitedCustomer).chat(ctx, d.ColdModel, "how many", limitTokens, false)
			results <- result{a, err}
		}()
	}
	served := 0
	for range limitTries {
		r := <-results
		switch {
		case r.err != nil:
			return "", r.err
		case r.a.Status == http.StatusOK:
			served++
		case r.a.Status != http.StatusTooManyRequests:
			return "", fmt.Errorf("status %d, code %s: %s", r.a.Status, r.a.Error.Code, r.a.Error.Message)
		case r.a.Error.Outcome != "not run" || r.a.Retry == "":
			return "", fmt.Errorf("refusal lacks its terms: outcome %q, Retry-After %q", r.a.Error.Outcome, r.a.Retry)
		default:
			return fmt.Sprintf("of %d requests for %d tokens each, %s got %s (%s, retry after %s s)",
				limitTries, limitTokens, d.LimitedCustomer, r.a.Error.Code, r.a.Error.Outcome, r.a.Retry), nil
		}
	}
	return "", fmt.Errorf("%d of %d requests of %d tokens were served and none refused", served, limitTries, limitTokens)
}

func (d *Demo) withdrawn(ctx context.Context) (string, error) {
	name := "demo-withdrawn-" + d.run
	customer := d.Customers[0]
	secret, err := d.issue(ctx, name, customer)
	if err != nil {
		return "", err
	}
	d.keys["withdrawn"] = secret
	if err := d.eventually(ctx, http.StatusOK); err != nil {
		return "", err
	}
	start := time.Now()
	if err := d.withdraw(ctx, name); err != nil {
		return "", err
	}
	if err := d.eventually(ctx, http.StatusUnauthorized); err != nil {
		return "", err
	}
	return fmt.Sprintf("refused at every VM %s after the withdrawal was sent",
		time.Since(start).Round(time.Millisecond)), nil
}

// eventually waits until every VM answers the withdrawn key with the status.
func (d *Demo) eventually(ctx context.Context, status int) error {
	deadline := time.Now().Add(withdrawBound)
	for vm := range d.CallersURLs {
		for {
			a, err := d.caller(vm, "withdrawn").chat(ctx, d.ColdModel, "still there", 1, false)
			if err != nil {
				return err
			}
			if a.Status == status {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("VM %d still answers status %d, want %d", vm+1, a.Status, status)
			}
		}
	}
	return nil
}

func (d *Demo) payment(ctx context.Context) (string, error) {
	id := "pay-" + d.run
	body := fmt.Appendf(nil, `{"id":%q,"amount":125}`, id)
	header := map[string]string{"Idempotency-Key": id}
	first, err := d.caller(0, d.Customers[0]).do(ctx, d.AtMostOncePath, body, header)
	if err != nil {
		return "", err
	}
	second, err := d.caller(1, d.Customers[0]).do(ctx, d.AtMostOncePath, body, header)
	if err != nil {
		return "", err
	}
	if first.Status != http.StatusOK || second.Status != http.StatusOK {
		return "", fmt.Errorf("statuses %d and %d: %s %s", first.Status, second.Status, first.Body, second.Body)
	}
	if string(first.Body) != string(second.Body) {
		return "", fmt.Errorf("answers differ: %s and %s", first.Body, second.Body)
	}
	runs, err := d.runs(ctx, id)
	if err != nil {
		return "", err
	}
	if runs != 1 {
		return "", fmt.Errorf("the payment ran %d times, want 1", runs)
	}
	return "two VMs gave the same answer, the payment ran once", nil
}

func (d *Demo) drain(ctx context.Context) (string, error) {
	last := len(d.CallersURLs) - 1
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	var a answer
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		a, err = d.caller(last, d.Customers[0]).chat(ctx, d.ColdModel, "a long note", 10*coldTokens, true)
	}()
	if err := d.waitRunning(ctx); err != nil {
		return "", err
	}
	if err := d.post(ctx, last, "/v1/drain"); err != nil {
		return "", err
	}
	<-done
	if err != nil {
		return "", err
	}
	if err := wholeStream(a, 10*coldTokens); err != nil {
		return "", err
	}
	if d.ready(ctx, last) {
		return "", errors.New("the VM is still ready after the drain")
	}
	return fmt.Sprintf("VM %d finished its open stream and takes no new request", last+1), nil
}
