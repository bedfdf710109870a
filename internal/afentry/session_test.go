package afentry

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"arbutusfork.example/arbutusfork/pkg/afclaim"
)

const auth = "Authorization: Bearer " + goodKey

// TestSession guards the form of every answer that callers program against: streams, whole answers and each
// refusal with its status, headers and body.
func TestSession(t *testing.T) {
	r := newRig(t, nil)
	chat := `{"model":"small","messages":[{"role":"user","content":"hi"}],"max_tokens":3`
	r.claims["busy"] = afclaim.Result{Verdict: afclaim.VerdictInProgress}
	r.claims["lost"] = afclaim.Result{Verdict: afclaim.VerdictUnknown}
	r.claims["other"] = afclaim.Result{Verdict: afclaim.VerdictKeyReused}
	var out strings.Builder
	step := func(name, method, path, body string, headers ...string) {
		resp := r.request(method, path, body, headers...)
		text := readAll(resp)
		fmt.Fprintf(&out, "### %s\n%s %s\n%s\n\n%d\n", name, method, path, body, resp.StatusCode)
		for _, k := range []string{"Allow", "Content-Type", "Idempotent-Replayed", "Retry-After", "Www-Authenticate", "X-Request-Id"} {
			if v := resp.Header.Values(k); len(v) > 0 {
				fmt.Fprintf(&out, "%s: %s\n", k, strings.Join(slices.Clone(v), ", "))
			}
		}
		fmt.Fprintf(&out, "\n%s\n", strings.TrimRight(text, "\n"))
	}
	step("stream", "POST", "/v1/chat/completions", chat+`,"stream":true}`, auth, "X-Request-Id: caller-1")
	step("stream with usage", "POST", "/v1/completions", `{"model":"small","prompt":"hi","max_tokens":2,"stream":true,"stream_options":{"include_usage":true}}`, auth)
	step("whole", "POST", "/v1/chat/completions", chat+`}`, auth, "X-Request-Id: bad id!")
	step("embedding", "POST", "/v1/embeddings", `{"model":"small","input":"hi"}`, auth)
	step("models", "GET", "/v1/models", "", auth)
	step("open route", "GET", "/stock/items/nut", "")
	step("payment", "POST", "/pay", `{"id":"p1"}`, auth, "Idempotency-Key: p1")
	step("payment again", "POST", "/pay", `{"id":"p1"}`, auth, "Idempotency-Key: p1")
	step("payment in progress", "POST", "/pay", `{"id":"p2"}`, auth, "Idempotency-Key: busy")
	step("payment unclear", "POST", "/pay", `{"id":"p2"}`, auth, "Idempotency-Key: lost")
	step("payment key reused", "POST", "/pay", `{"id":"p2"}`, auth, "Idempotency-Key: other")
	step("payment not durable", "POST", "/pay", `{"id":"p2"}`, auth, "Idempotency-Key: down")
	step("no key", "POST", "/v1/chat/completions", chat+`}`)
	step("wrong key", "POST", "/v1/chat/completions", chat+`}`, "Authorization: Bearer af-wrong")
	step("wrong scheme", "GET", "/v1/models", "", "Authorization: Basic "+goodKey)
	step("not allowed", "POST", "/v1/chat/completions", `{"model":"hidden","messages":[]}`, auth)
	step("route not allowed", "GET", "/book/1", "", auth)
	step("unknown model", "POST", "/v1/chat/completions", `{"model":"none","messages":[]}`, auth)
	step("unknown route", "GET", "/none", "", auth)
	step("wrong method", "GET", "/v1/chat/completions", "", auth)
	step("wrong JSON", "POST", "/v1/chat/completions", `{"model":"small",}`, auth)
	step("wrong type", "POST", "/v1/chat/completions", `{"model":3,"messages":[]}`, auth)
	step("no prompt", "POST", "/v1/completions", `{"model":"small"}`, auth)
	step("wrong timeout", "POST", "/v1/chat/completions", chat+`}`, auth, "X-Request-Timeout: soon")
	step("dot path", "GET", "/stock/../pay", "")
	step("too large", "POST", "/v1/chat/completions", strings.Repeat(" ", r.MaxBodyBytes+1), auth)
	step("headers too large", "GET", "/stock/nut", "", "X-Long: "+strings.Repeat("x", defaultMaxHead))
	step("no replica in time", "POST", "/v1/chat/completions", `{"model":"cold","messages":[]}`, auth, "X-Request-Timeout: 0.1")
	r.limited.Store(true)
	step("limited", "POST", "/v1/chat/completions", chat+`}`, auth)
	r.limited.Store(false)
	r.fresh.Store(false)
	step("stale", "POST", "/v1/chat/completions", chat+`}`, auth)
	step("open route while stale", "GET", "/stock/nut", "", auth)
	text := strings.ReplaceAll(out.String(), strings.Repeat(" ", r.MaxBodyBytes+1), "<4 MB of spaces>")
	goldie.New(t).Assert(t, "session", []byte(text))
	if n := r.engine.Counts().Keys + int64(r.plain.Keys()); n != 0 {
		t.Fatalf("%d requests reached an endpoint with the caller's key", n)
	}
}
