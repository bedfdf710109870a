package afnode

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"

	"arbutusfork.example/arbutusfork/pkg/afnotice"
)

// noticeStatus is one thing that an endpoint said about itself, as operators see it.
type noticeStatus struct {
	Kind     string `json:"kind"`
	Endpoint string `json:"endpoint"`
	// Born is the start of the endpoint that said it, in Unix milliseconds.
	Born int64 `json:"born"`
	// HeardBy is the VM that got the answer, AgeMs ago.
	HeardBy string `json:"heard_by"`
	AgeMs   int64  `json:"age_ms"`
	// LeftMs is the time until a pause ends. It is left out for endpoints that leave, which do so until they have restarted.
	LeftMs int64 `json:"left_ms,omitempty"`
	// Listed reports whether the endpoint is listed.
	Listed bool `json:"listed"`
}

// serveNotices answers with what endpoints said about themselves and is in force, sorted by endpoint.
func (n *Node) serveNotices(w http.ResponseWriter, _ *http.Request) {
	now := n.timer.Now()
	out := []noticeStatus{}
	for k, notice := range n.facts.View().Notices() {
		status := noticeStatus{
			Kind: k.Kind.String(), Endpoint: k.Endpoint, Born: k.StartUnixMs, HeardBy: notice.HeardBy, AgeMs: now.Sub(notice.HeardAt).Milliseconds(),
			Listed: n.roster.IsListed(k.EndpointStart),
		}
		if k.Kind == afnotice.Pause {
			if status.LeftMs = notice.Until.Sub(now).Milliseconds(); status.LeftMs <= 0 {
				continue
			}
		}
		out = append(out, status)
	}
	slices.SortFunc(out, func(a, b noticeStatus) int {
		return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Born, b.Born), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.HeardBy, b.HeardBy))
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // The caller may have left.
}
