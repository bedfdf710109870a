package afentry

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afdispatch"
	"arbutusfork.example/arbutusfork/internal/afstandin"
	"arbutusfork.example/arbutusfork/pkg/afclaim"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// goodKey and secondKey are two valid keys of the same customer.
const goodKey, secondKey = "af-good", "af-second"

// fixture is a server in front of a simulated inference engine and a simulated plain service.
type fixture struct {
	*Server
	t             *testing.T
	engine        *afstandin.Engine
	plainService  *afstandin.PlainService
	isConfigFresh atomic.Bool
	// isLimited makes ReserveTokens refuse every request.
	isLimited atomic.Bool
	config    atomic.Pointer[afconfig.Snapshot]

	mu             sync.Mutex
	settledTokens  []int64
	reservedTokens []int64
	claims         map[string]afclaim.Result
	replicas       []afplacement.Replica
}

// newObject returns a stored object with version 1.
func newObject(t *testing.T, kind, name string, v any) afobject.Object {
	b, err := json.Marshal(v)
	require.NoError(t, err)
	return afobject.Object{Kind: kind, Name: name, Version: 1, Spec: b}
}

// newFixture starts a fixture. change, if it is not nil, adapts the fixture before the start.
func newFixture(t *testing.T, change func(*fixture)) *fixture {
	engineListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	plainListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	timer := &aftimer.Service{}
	f := &fixture{
		t: t, engine: &afstandin.Engine{Listener: engineListener}, plainService: &afstandin.PlainService{Listener: plainListener},
		claims:   make(map[string]afclaim.Result),
		replicas: []afplacement.Replica{{Endpoint: "e1", Address: engineListener.Addr().String(), Slots: 8}},
	}
	f.isConfigFresh.Store(true)
	snapshot, err := (&afconfig.Snapshot{}).WithObjects(
		1,
		newObject(t, afobject.KindCustomers, "acme", arbutusfork.Customer{Name: "acme", RatePerSecond: 1000, Burst: 10000}),
		newObject(t, afobject.KindKeys, "k1", arbutusfork.APIKey{Name: "k1", Customer: "acme", Digest: arbutusfork.DigestSecret(goodKey)}),
		newObject(t, afobject.KindKeys, "k2", arbutusfork.APIKey{Name: "k2", Customer: "acme", Digest: arbutusfork.DigestSecret(secondKey)}),
		newObject(t, afobject.KindServices, "llm", arbutusfork.Service{Name: "llm"}),
		newObject(t, afobject.KindServices, "shop", arbutusfork.Service{Name: "shop", Kind: arbutusfork.ServicePlain}),
		newObject(t, afobject.KindModels, "small", arbutusfork.Model{Name: "small", Service: "llm"}),
		newObject(t, afobject.KindModels, "cold", arbutusfork.Model{Name: "cold", Service: "llm"}),
		newObject(t, afobject.KindModels, "hidden", arbutusfork.Model{Name: "hidden", Service: "llm"}),
		newObject(t, afobject.KindRoutes, "llm", arbutusfork.Route{Name: "llm", Service: "llm", Models: []string{"small", "cold"}}),
		newObject(t, afobject.KindRoutes, "vip", arbutusfork.Route{Name: "vip", Service: "llm", AllowedCustomers: []string{"other"}}),
		newObject(t, afobject.KindRoutes, "pay", arbutusfork.Route{Name: "pay", PathPrefix: "/pay", Service: "shop", RunsAtMostOnce: true}),
		newObject(t, afobject.KindRoutes, "book", arbutusfork.Route{Name: "book", PathPrefix: "/book", Service: "shop", AllowedCustomers: []string{"other"}}),
		newObject(t, afobject.KindRoutes, "stock", arbutusfork.Route{Name: "stock", PathPrefix: "/stock", Service: "shop", IsPublic: true}),
	)
	require.NoError(t, err)
	f.config.Store(snapshot)
	f.engine.AddLoadedModel("small")
	ids := 0
	f.Server = &Server{
		Snapshot: f.config.Load, IsConfigFresh: f.isConfigFresh.Load, ReserveTokens: f.reserve, ClaimCall: f.claim,
		FinishCall: f.finish, CancelClaim: f.cancel, Address: "127.0.0.1:0", Timer: timer, Log: slog.New(slog.DiscardHandler),
		NewRequestID: func() string {
			f.mu.Lock()
			defer f.mu.Unlock()
			ids++
			return "id" + strconv.Itoa(ids)
		},
		Dispatcher: &afdispatch.Service{
			Timer: timer,
			ModelReplicas: func(model string) []afplacement.Replica {
				f.mu.Lock()
				defer f.mu.Unlock()
				if model == "small" {
					return f.replicas
				}
				return nil
			},
			ServiceEndpoints: func(string) []afplacement.Replica {
				return []afplacement.Replica{{Endpoint: "p1", Address: plainListener.Addr().String(), Slots: 8}}
			},
		},
	}
	if change != nil {
		change(f)
	}
	require.NoError(t, f.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, run := range []func(context.Context) error{f.Run, f.Dispatcher.Run, f.engine.Run, f.plainService.Run} {
		wg.Go(func() { _ = run(ctx) })
	}
	wg.Go(func() { timer.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return f
}

// reserve implements Server.ReserveTokens.
func (f *fixture) reserve(_ context.Context, _ string, tokens int64) (func(int64), *arbutusfork.Refusal) {
	if f.isLimited.Load() {
		return nil, arbutusfork.NewRefusal(arbutusfork.CodeRateLimited, "the rate is used up").WithRetryAfter(1500 * 1e6)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reservedTokens = append(f.reservedTokens, tokens)
	return func(actual int64) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.settledTokens = append(f.settledTokens, actual)
	}, nil
}

// claim implements Server.ClaimCall. The idempotency key "down" simulates a claim that cannot be stored.
func (f *fixture) claim(_ context.Context, c afclaim.Call) (afclaim.Result, *arbutusfork.Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.IdempotencyKey == "down" {
		return afclaim.Result{}, arbutusfork.NewRefusal(arbutusfork.CodeClaimUnavailable, "the claim cannot be made durable")
	}
	res, ok := f.claims[c.IdempotencyKey]
	if !ok {
		f.claims[c.IdempotencyKey] = afclaim.Result{Verdict: afclaim.VerdictInProgress}
	}
	return res, nil
}

// finish implements Server.FinishCall.
func (f *fixture) finish(c afclaim.Call, a afclaim.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.claims[c.IdempotencyKey] = afclaim.Result{Verdict: afclaim.VerdictStored, Answer: a}
}

// cancel implements Server.CancelClaim.
func (f *fixture) cancel(c afclaim.Call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.claims, c.IdempotencyKey)
}

// request sends one request on a new connection.
func (f *fixture) request(method, path, body string, headers ...string) *http.Response {
	req, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+f.Addr()+path, strings.NewReader(body))
	require.NoError(f.t, err)
	for _, h := range headers {
		k, v, _ := strings.Cut(h, ": ")
		req.Header.Set(k, v)
	}
	tr := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := tr.RoundTrip(req)
	require.NoError(f.t, err)
	return resp
}

// readBody returns the body, followed by the error in angle brackets if it cannot be read completely.
func readBody(resp *http.Response) string {
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return string(b) + "<" + err.Error() + ">"
	}
	return string(b)
}

// cutAfterTokens returns faults that truncate a response after the given number of tokens.
func cutAfterTokens(tokens int) afstandin.EndpointFaults {
	return afstandin.EndpointFaults{CutAfterTokens: tokens}
}
