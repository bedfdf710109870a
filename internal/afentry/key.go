package afentry

import (
	"context"
	"strings"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
)

// runningRequest is a request in progress that can be cancelled when its key becomes invalid.
type runningRequest struct {
	// keyDigest is the digest of the caller's key. It is empty on public routes, which need no key.
	keyDigest string
	cancel    context.CancelCauseFunc
}

// parseBearer returns the bearer token of an Authorization header. It reports present for any non-empty header.
func parseBearer(header string) (secret string, present bool) {
	if header == "" {
		return "", false
	}
	scheme, secret, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return "", true
	}
	return strings.TrimSpace(secret), true
}

// authenticate sets the customer and the digest of the request's key. Both stay empty if the request has no key.
func (s *Server) authenticate(x *exchange) *arbutusfork.Refusal {
	secret, present := parseBearer(x.r.Header.Get("Authorization"))
	if !present {
		return nil
	}
	if !s.IsConfigFresh() {
		return arbutusfork.NewRefusal(arbutusfork.CodeConfigurationStale, "the keys cannot be checked at the moment").WithRetryAfter(time.Second)
	}
	digest := arbutusfork.DigestSecret(secret)
	k, known := x.snapshot.Key(digest)
	if secret == "" || !known {
		return arbutusfork.NewRefusal(arbutusfork.CodeInvalidKey, "the key is not valid")
	}
	if k.IsWithdrawn {
		return arbutusfork.NewRefusal(arbutusfork.CodeKeyWithdrawn, "the key was withdrawn")
	}
	c, known := x.snapshot.Customer(k.Customer)
	if !known {
		return arbutusfork.NewRefusal(arbutusfork.CodeInvalidKey, "the key is not valid")
	}
	x.keyDigest, x.customer = digest, c
	return nil
}

// checkAdmission returns the refusal if the customer may not use the route. keyRefusal is the result of authenticate; public
// routes ignore it.
func (x *exchange) checkAdmission(keyRefusal *arbutusfork.Refusal) *arbutusfork.Refusal {
	switch {
	case x.route.IsPublic:
		return nil
	case keyRefusal != nil:
		return keyRefusal
	case x.keyDigest == "":
		return arbutusfork.NewRefusal(arbutusfork.CodeMissingKey, "a key is needed")
	case !x.route.AdmitsCustomer(x.customer.Name):
		return arbutusfork.NewRefusal(arbutusfork.CodeNotAllowed, "the customer may not use this route")
	}
	return nil
}

// addRunning registers a request in progress.
func (s *Server) addRunning(r *runningRequest) {
	s.mu.Lock()
	s.runningRequests[r] = struct{}{}
	s.mu.Unlock()
	s.metrics.runningRequests.Inc()
}

// removeRunning removes a request that has ended.
func (s *Server) removeRunning(r *runningRequest) {
	s.mu.Lock()
	delete(s.runningRequests, r)
	s.mu.Unlock()
	s.metrics.runningRequests.Dec()
}

// RecheckKeys cancels the running requests, including open streams, whose key is withdrawn or missing in the snapshot or
// belongs to no customer of it.
func (s *Server) RecheckKeys(snapshot *afconfig.Snapshot) {
	s.applyDefaults()
	s.cancelKeyedRequests(KeyWithdrawn, func(r *runningRequest) bool {
		k, ok := snapshot.Key(r.keyDigest)
		if !ok || k.IsWithdrawn {
			return true
		}
		_, ok = snapshot.Customer(k.Customer)
		return !ok
	})
}

// cancelOnStaleConfig cancels requests with a key when the configuration has been stale for StaleConfigTimeout. A stale
// configuration may lack the withdrawal of their keys.
func (s *Server) cancelOnStaleConfig(now time.Time) {
	isFresh := s.IsConfigFresh()
	s.mu.Lock()
	if isFresh {
		s.staleSince = time.Time{}
	} else if s.staleSince.IsZero() {
		s.staleSince = now
	}
	isTimedOut := !s.staleSince.IsZero() && now.Sub(s.staleSince) >= s.StaleConfigTimeout
	s.mu.Unlock()
	if isTimedOut {
		s.cancelKeyedRequests(StaleConfig, func(*runningRequest) bool { return true })
	}
}

// cancelKeyedRequests cancels the running requests with a key for which shouldCancel returns true.
func (s *Server) cancelKeyedRequests(kind ErrorKind, shouldCancel func(*runningRequest) bool) {
	s.mu.Lock()
	var toCancel []*runningRequest
	for r := range s.runningRequests {
		if r.keyDigest != "" && shouldCancel(r) {
			toCancel = append(toCancel, r)
		}
	}
	s.mu.Unlock()
	for _, r := range toCancel {
		r.cancel(&Error{Op: "serve request", Kind: kind})
	}
}
