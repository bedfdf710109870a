package afentry

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"arbutusfork.example/arbutusfork/pkg/afclaim"
)

// authHeader is the header line with a valid key.
const authHeader = "Authorization: Bearer " + goodKey

// TestResponseFormats guards against unintended changes to the responses that callers rely on: streams, whole responses and
// each refusal with its status, headers and body.
func TestResponseFormats(t *testing.T) {
	f := newFixture(t, nil)
	chatBody := `{"model":"small","messages":[{"role":"user","content":"hi"}],"max_tokens":3`
	f.claims["busy"] = afclaim.Result{Verdict: afclaim.VerdictInProgress}
	f.claims["lost"] = afclaim.Result{Verdict: afclaim.VerdictUnknown}
	f.claims["other"] = afclaim.Result{Verdict: afclaim.VerdictKeyReused}
	var out strings.Builder
	recordExchange := func(name, method, path, body string, headers ...string) {
		resp := f.request(method, path, body, headers...)
		text := readBody(resp)
		fmt.Fprintf(&out, "### %s\n%s %s\n%s\n\n%d\n", name, method, path, body, resp.StatusCode)
		for _, k := range []string{"Allow", "Content-Type", "Idempotent-Replayed", "Retry-After", "Www-Authenticate", "X-Request-Id"} {
			if v := resp.Header.Values(k); len(v) > 0 {
				fmt.Fprintf(&out, "%s: %s\n", k, strings.Join(slices.Clone(v), ", "))
			}
		}
		fmt.Fprintf(&out, "\n%s\n", strings.TrimRight(text, "\n"))
	}
	recordExchange("stream", "POST", "/v1/chat/completions", chatBody+`,"stream":true}`, authHeader, "X-Request-Id: caller-1")
	recordExchange("stream with usage", "POST", "/v1/completions", `{"model":"small","prompt":"hi","max_tokens":2,"stream":true,"stream_options":{"include_usage":true}}`, authHeader)
	recordExchange("whole", "POST", "/v1/chat/completions", chatBody+`}`, authHeader, "X-Request-Id: bad id!")
	recordExchange("embedding", "POST", "/v1/embeddings", `{"model":"small","input":"hi"}`, authHeader)
	recordExchange("models", "GET", "/v1/models", "", authHeader)
	recordExchange("open route", "GET", "/stock/items/nut", "")
	recordExchange("payment", "POST", "/pay", `{"id":"p1"}`, authHeader, "Idempotency-Key: p1")
	recordExchange("payment again", "POST", "/pay", `{"id":"p1"}`, authHeader, "Idempotency-Key: p1")
	recordExchange("payment in progress", "POST", "/pay", `{"id":"p2"}`, authHeader, "Idempotency-Key: busy")
	recordExchange("payment unclear", "POST", "/pay", `{"id":"p2"}`, authHeader, "Idempotency-Key: lost")
	recordExchange("payment key reused", "POST", "/pay", `{"id":"p2"}`, authHeader, "Idempotency-Key: other")
	recordExchange("payment not durable", "POST", "/pay", `{"id":"p2"}`, authHeader, "Idempotency-Key: down")
	recordExchange("no key", "POST", "/v1/chat/completions", chatBody+`}`)
	recordExchange("wrong key", "POST", "/v1/chat/completions", chatBody+`}`, "Authorization: Bearer af-wrong")
	recordExchange("wrong scheme", "GET", "/v1/models", "", "Authorization: Basic "+goodKey)
	recordExchange("not allowed", "POST", "/v1/chat/completions", `{"model":"hidden","messages":[]}`, authHeader)
	recordExchange("route not allowed", "GET", "/book/1", "", authHeader)
	recordExchange("unknown model", "POST", "/v1/chat/completions", `{"model":"none","messages":[]}`, authHeader)
	recordExchange("unknown route", "GET", "/none", "", authHeader)
	recordExchange("wrong method", "GET", "/v1/chat/completions", "", authHeader)
	recordExchange("wrong JSON", "POST", "/v1/chat/completions", `{"model":"small",}`, authHeader)
	recordExchange("wrong type", "POST", "/v1/chat/completions", `{"model":3,"messages":[]}`, authHeader)
	recordExchange("no prompt", "POST", "/v1/completions", `{"model":"small"}`, authHeader)
	recordExchange("wrong timeout", "POST", "/v1/chat/completions", chatBody+`}`, authHeader, "X-Request-Timeout: soon")
	recordExchange("dot path", "GET", "/stock/../pay", "")
	recordExchange("too large", "POST", "/v1/chat/completions", strings.Repeat(" ", f.MaxBodyBytes+1), authHeader)
	recordExchange("headers too large", "GET", "/stock/nut", "", "X-Long: "+strings.Repeat("x", defaultMaxHeaderBytes))
	recordExchange("no replica in time", "POST", "/v1/chat/completions", `{"model":"cold","messages":[]}`, authHeader, "X-Request-Timeout: 0.1")
	f.isLimited.Store(true)
	recordExchange("limited", "POST", "/v1/chat/completions", chatBody+`}`, authHeader)
	f.isLimited.Store(false)
	f.isConfigFresh.Store(false)
	recordExchange("stale", "POST", "/v1/chat/completions", chatBody+`}`, authHeader)
	recordExchange("open route while stale", "GET", "/stock/nut", "", authHeader)
	text := strings.ReplaceAll(out.String(), strings.Repeat(" ", f.MaxBodyBytes+1), "<4 MB of spaces>")
	goldie.New(t).Assert(t, "session", []byte(text))
	if n := f.engine.Counts().RequestsWithKey + int64(f.plainService.RequestsWithKey()); n != 0 {
		t.Fatalf("%d requests reached an endpoint with the caller's key", n)
	}
}
