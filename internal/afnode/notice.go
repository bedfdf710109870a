package afnode

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"slices"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork/internal/affact"
	"arbutusfork.example/arbutusfork/pkg/afnotice"
)

// noticeStatus is one thing that an endpoint said about itself, or the lift of one, as operators see it.
type noticeStatus struct {
	Kind     string `json:"kind"`
	Endpoint string `json:"endpoint"`
	// Born is the start of the endpoint that said it, in Unix milliseconds.
	Born int64 `json:"born"`
	// HeardBy is the VM that got the answer, or on which an operator lifted the notice, AgeMs ago.
	HeardBy string `json:"heard_by"`
	AgeMs   int64  `json:"age_ms"`
	// LeftMs is the time until a pause ends. It is left out for other kinds.
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
	writeStatus(w, http.StatusOK, out)
}

// liftStatus is the answer to an operator who lifted a notice.
type liftStatus struct {
	Kind     string `json:"kind"`
	Endpoint string `json:"endpoint"`
	// Born are the starts of the endpoint about which the notice was, in Unix milliseconds.
	Born []int64 `json:"born"`
}

// refusalStatus is the answer to an operator whose request is refused, in the form of the operator interface of the serve command.
type refusalStatus struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// serveLift lifts a notice. The interface has no authentication, so that only processes on this VM may do it.
func (n *Node) serveLift(w http.ResponseWriter, r *http.Request) {
	if !isFromThisVM(r) {
		refuse(w, http.StatusForbidden, "forbidden", "notices are lifted from the VM itself only")
		return
	}
	endpoint, kind := r.PathValue("endpoint"), afnotice.Leaving
	for r.PathValue("kind") != kind.String() {
		if kind++; kind > afnotice.Pause {
			refuse(w, http.StatusBadRequest, "invalid", "the kind of a notice is leaving or pause")
			return
		}
	}
	_, isListed := n.roster.Entry(endpoint)
	lifted, err := n.facts.Lift(endpoint, kind, isListed)
	if err != nil {
		code := "unknown_endpoint"
		if e, ok := errors.Into[*affact.Error](err); ok && e.Kind == affact.NoSuchNotice {
			code = "no_such_notice"
		}
		refuse(w, http.StatusNotFound, code, err.Error())
		return
	}
	out := liftStatus{Kind: kind.String(), Endpoint: endpoint}
	for _, e := range lifted {
		out.Born = append(out.Born, e.StartUnixMs)
	}
	slices.Sort(out.Born)
	writeStatus(w, http.StatusOK, out)
}

// isFromThisVM reports whether a request comes from a process on this VM: from the loopback interface, or from the address at which
// it arrived, which the kernel accepts from no other machine.
func isFromThisVM(r *http.Request) bool {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	remote := net.ParseIP(host)
	local, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	return remote.IsLoopback() || ok && local.IP.Equal(remote)
}

// refuse answers that a request of an operator is refused.
func refuse(w http.ResponseWriter, status int, code, message string) {
	var out refusalStatus
	out.Error.Code, out.Error.Message = code, message
	writeStatus(w, status, out)
}

// writeStatus answers with a value as JSON.
func writeStatus(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // The caller may have left.
}
