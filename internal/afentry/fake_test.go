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

const goodKey, secondKey = "af-good", "af-second"

// rig is a server with an engine and a plain service behind it.
type rig struct {
	*Server
	t       *testing.T
	engine  *afstandin.Engine
	plain   *afstandin.Service
	fresh   atomic.Bool
	limited atomic.Bool
	config  atomic.Pointer[afconfig.Snapshot]

	mu       sync.Mutex
	settled  []int64
	reserved []int64
	claims   map[string]afclaim.Result
	replicas []afplacement.Replica
}

func object(t *testing.T, kind, name string, v any) afobject.Object {
	b, err := json.Marshal(v)
	require.NoError(t, err)
	return afobject.Object{Kind: kind, Name: name, Version: 1, Spec: b}
}

func newRig(t *testing.T, change func(*rig)) *rig {
	el, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	pl, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	timer := &aftimer.Service{}
	r := &rig{
		t: t, engine: &afstandin.Engine{Listener: el}, plain: &afstandin.Service{Listener: pl},
		claims:   make(map[string]afclaim.Result),
		replicas: []afplacement.Replica{{Endpoint: "e1", Address: el.Addr().String(), Slots: 8}},
	}
	r.fresh.Store(true)
	snapshot, err := (&afconfig.Snapshot{}).With(
		1,
		object(t, afobject.Customers, "acme", arbutusfork.Customer{Name: "acme", RatePerSecond: 1000, Burst: 10000}),
		object(t, afobject.Keys, "k1", arbutusfork.APIKey{Name: "k1", Customer: "acme", Digest: arbutusfork.DigestSecret(goodKey)}),
		object(t, afobject.Keys, "k2", arbutusfork.APIKey{Name: "k2", Customer: "acme", Digest: arbutusfork.DigestSecret(secondKey)}),
		object(t, afobject.Services, "llm", arbutusfork.Service{Name: "llm"}),
		object(t, afobject.Services, "shop", arbutusfork.Service{Name: "shop", Kind: arbutusfork.ServicePlain}),
		object(t, afobject.Models, "small", arbutusfork.Model{Name: "small", Service: "llm"}),
		object(t, afobject.Models, "cold", arbutusfork.Model{Name: "cold", Service: "llm"}),
		object(t, afobject.Models, "hidden", arbutusfork.Model{Name: "hidden", Service: "llm"}),
		object(t, afobject.Routes, "llm", arbutusfork.Route{Name: "llm", Service: "llm", Models: []string{"small", "cold"}}),
		object(t, afobject.Routes, "vip", arbutusfork.Route{Name: "vip", Service: "llm", AllowedCustomers: []string{"other"}}),
		object(t, afobject.Routes, "pay", arbutusfork.Route{Name: "pay", PathPrefix: "/pay", Service: "shop", RunsAtMostOnce: true}),
		object(t, afobject.Routes, "book", arbutusfork.Route{Name: "book", PathPrefix: "/book", Service: "shop", AllowedCustomers: []string{"other"}}),
		object(t, afobject.Routes, "stock", arbutusfork.Route{Name: "stock", PathPrefix: "/stock", Service: "shop", IsPublic: true}),
	)
	require.NoError(t, err)
	r.config.Store(snapshot)
	r.engine.Load("small")
	ids := 0
	r.Server = &Server{
		Snapshot: r.config.Load, IsConfigFresh: r.fresh.Load, ReserveTokens: r.reserve, ClaimCall: r.claim,
		FinishCall: r.finish, CancelClaim: r.cancel, Address: "127.0.0.1:0", Timer: timer, Log: slog.New(slog.DiscardHandler),
		NewRequestID: func() string {
			r.mu.Lock()
			defer r.mu.Unlock()
			ids++
			return "id" + strconv.Itoa(ids)
		},
		Dispatcher: &afdispatch.Service{
			Timer: timer,
			ModelReplicas: func(model string) []afplacement.Replica {
				r.mu.Lock()
				defer r.mu.Unlock()
				if model == "small" {
					return r.replicas
				}
				return nil
			},
			ServiceEndpoints: func(string) []afplacement.Replica {
				return []afplacement.Replica{{Endpoint: "p1", Address: pl.Addr().String(), Slots: 8}}
			},
		},
	}
	if change != nil {
		change(r)
	}
	require.NoError(t, r.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, run := range []func(context.Context) error{r.Run, r.Dispatcher.Run, r.engine.Run, r.plain.Run} {
		wg.Go(func() { _ = run(ctx) })
	}
	wg.Go(func() { timer.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return r
}

func (r *rig) reserve(_ context.Context, _ string, tokens int64) (func(int64), *arbutusfork.Refusal) {
	if r.limited.Load() {
		return nil, arbutusfork.NewRefusal(arbutusfork.CodeRateLimited, "the rate is used up").WithRetryAfter(1500 * 1e6)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reserved = append(r.reserved, tokens)
	return func(actual int64) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.settled = append(r.settled, actual)
	}, nil
}

func (r *rig) claim(_ context.Context, c afclaim.Call) (afclaim.Result, *arbutusfork.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.IdempotencyKey == "down" {
		return afclaim.Result{}, arbutusfork.NewRefusal(arbutusfork.CodeClaimUnavailable, "the claim cannot be made durable")
	}
	res, ok := r.claims[c.IdempotencyKey]
	if !ok {
		r.claims[c.IdempotencyKey] = afclaim.Result{Verdict: afclaim.VerdictInProgress}
	}
	return res, nil
}

func (r *rig) finish(c afclaim.Call, a afclaim.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claims[c.IdempotencyKey] = afclaim.Result{Verdict: afclaim.VerdictStored, Answer: a}
}

func (r *rig) cancel(c afclaim.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.claims, c.IdempotencyKey)
}

// request sends one request on a new connection.
func (r *rig) request(method, path, body string, headers ...string) *http.Response {
	req, err := http.NewRequestWithContext(r.t.Context(), method, "http://"+r.Addr()+path, strings.NewReader(body))
	require.NoError(r.t, err)
	for _, h := range headers {
		k, v, _ := strings.Cut(h, ": ")
		req.Header.Set(k, v)
	}
	tr := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := tr.RoundTrip(req)
	require.NoError(r.t, err)
	return resp
}

func readAll(resp *http.Response) string {
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return string(b) + "<" + err.Error() + ">"
	}
	return string(b)
}

func faultCut(tokens int) afstandin.EndpointFaults { return afstandin.EndpointFaults{Cut: tokens} }
