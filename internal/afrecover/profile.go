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
	// Within tells that the load stays within the limit, so that a refusal for the rate is unwarranted.
	Within bool
	// Short and Streams are requests per second, of ShortTokens and StreamTokens.
	Short, Streams            float64
	ShortTokens, StreamTokens int
	// Payments are calls per second that must run at most once.
	Payments float64
}

// Models are kept warm by the load.
var Models = []string{"order-fr-3b", "order-en-3b"}

// Shard holds the placement of the models, which Service runs.
const (
	Service = "fuqaa-llm"
	Shard   = Service + "-0"
)

// Tight is the customer that sends several times its rate, and Even one at a bit more than half of its rate.
const (
	Tight = "recover-tight"
	Even  = "recover-even"
	Other = "recover-steady"
)

// Profiles are the customers of the load. A short request reserves about 50 tokens for its prompt.
var Profiles = []Profile{
	{
		Customer: Other, Limit: Limit{Rate: 4000, Burst: 8000}, Within: true,
		Short: 5, ShortTokens: 32, Streams: 2, StreamTokens: 500, Payments: 12,
	},
	{Customer: Even, Limit: Limit{Rate: 1000, Burst: 2000}, Within: true, Short: 6, ShortTokens: 40},
	{Customer: Tight, Limit: Limit{Rate: 200, Burst: 1000}, Short: 12, ShortTokens: 40},
}

// Install creates the customers of the load.
func (f *Fleet) Install(ctx context.Context) error {
	for _, p := range Profiles {
		spec := map[string]any{"name": p.Customer, "rate": p.Limit.Rate, "burst": p.Limit.Burst}
		if err := f.call(ctx, http.MethodPut, f.OperatorsURLs[0]+"/v1/customers/"+p.Customer, spec, nil); err != nil {
			return err
		}
	}
	return nil
}

// keys issues a key for each customer of the load and waits until every VM accepts it.
func (f *Fleet) keys(ctx context.Context, client *http.Client) (map[string]string, error) {
	out := make(map[string]string)
	for _, p := range Profiles {
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
func (f *Fleet) rejects(ctx context.Context, client *http.Client, base, secret string) bool {
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
