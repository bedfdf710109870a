package afrecover

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// Profile is the load of one customer.
type Profile struct {
	Customer string
	Limit    Limit
	// IsWithinLimit tells that the load stays within the limit, so that a refusal for the rate is unwarranted.
	IsWithinLimit bool
	// ShortRate and StreamRate are requests per second, of ShortTokens and StreamTokens.
	ShortRate, StreamRate     float64
	ShortTokens, StreamTokens int
	// PaymentRate is the number of calls per second that must run at most once.
	PaymentRate float64
}

// WarmModels are kept warm by the load.
var WarmModels = []string{"order-fr-3b", "order-en-3b"}

// EngineShard holds the placement of the models, which EngineService runs.
const (
	EngineService = "fuqaa-llm"
	EngineShard   = EngineService + "-0"
)

// OverLimitCustomer sends several times its rate, HalfRateCustomer a bit more than half of its rate, and SteadyCustomer stays
// within its limit.
const (
	OverLimitCustomer = "recover-tight"
	HalfRateCustomer  = "recover-even"
	SteadyCustomer    = "recover-steady"
)

// CustomerProfiles are the customers of the load. A short request reserves about 50 tokens for its prompt.
var CustomerProfiles = []Profile{
	{
		Customer: SteadyCustomer, Limit: Limit{Rate: 4000, Burst: 8000}, IsWithinLimit: true,
		ShortRate: 5, ShortTokens: 32, StreamRate: 2, StreamTokens: 500, PaymentRate: 12,
	},
	{Customer: HalfRateCustomer, Limit: Limit{Rate: 1000, Burst: 2000}, IsWithinLimit: true, ShortRate: 6, ShortTokens: 40},
	{Customer: OverLimitCustomer, Limit: Limit{Rate: 200, Burst: 1000}, ShortRate: 12, ShortTokens: 40},
}

// CreateCustomers creates the customers of the load.
func (f *Deployment) CreateCustomers(ctx context.Context) error {
	for _, p := range CustomerProfiles {
		spec := map[string]any{"name": p.Customer, "rate": p.Limit.Rate, "burst": p.Limit.Burst}
		if err := f.call(ctx, http.MethodPut, f.OperatorsURLs[0]+"/v1/customers/"+p.Customer, spec, nil); err != nil {
			return err
		}
	}
	return nil
}

// keys issues a key for each customer of the load and waits until every VM accepts it.
func (f *Deployment) keys(ctx context.Context, client *http.Client) (map[string]string, error) {
	out := make(map[string]string)
	for _, p := range CustomerProfiles {
		secret, err := f.issue(ctx, f.OperatorsURLs[0], fmt.Sprintf("%s-%x", p.Customer, time.Now().UnixNano()), p.Customer)
		if err != nil {
			return nil, err
		}
		out[p.Customer] = secret
		for vm, base := range f.CallersURLs {
			for f.rejects(ctx, client, base, secret) {
				select {
				case <-ctx.Done():
					return nil, fmt.Errorf("VM %d does not accept the key of %s", vm+1, p.Customer)
				case <-time.After(probeInterval):
				}
			}
		}
	}
	return out, nil
}

// rejects reports whether the VM does not accept the key.
func (f *Deployment) rejects(ctx context.Context, client *http.Client, base, secret string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/models", nil)
	if err != nil {
		return true
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	res, err := client.Do(req)
	if err != nil {
		return true
	}
	_ = res.Body.Close()
	return res.StatusCode != http.StatusOK
}
