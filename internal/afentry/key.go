package afentry

import (
	"context"
	"strings"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
)

// active is a request in progress that can be ended from outside.
type active struct {
	digest string
	cancel context.CancelCauseFunc
}

// bearer returns the key in the Authorization header.
func bearer(header string) (secret string, present bool) {
	if header == "" {
		return "", false
	}
	scheme, secret, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return "", true
	}
	return strings.TrimSpace(secret), true
}

// authenticate finds the customer of the request's key. Without a key, customer and digest stay empty.
func (s *Server) authenticate(x *exchange) *arbutusfork.Refusal {
	secret, present := bearer(x.r.Header.Get("Authorization"))
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
	x.digest, x.customer = digest, c
	return nil
}

// admit checks that the customer may use the route. Open routes ignore a key that cannot be used.
func (x *exchange) admit(keyed *arbutusfork.Refusal) *arbutusfork.Refusal {
	switch {
	case x.route.IsPublic:
		return nil
	case keyed != nil:
		return keyed
	case x.digest == "":
		return arbutusfork.NewRefusal(arbutusfork.CodeMissingKey, "a key is needed")
	case !x.route.AdmitsCustomer(x.customer.Name):
		return arbutusfork.NewRefusal(arbutusfork.CodeNotAllowed, "the customer may not use this route")
	}
	return nil
}

// enter adds a request in progress, and leave removes it.
func (s *Server) enter(a *active) {
	s.mu.Lock()
	s.active[a] = struct{}{}
	s.mu.Unlock()
	s.metrics.running.Inc()
}

func (s *Server) leave(a *active) {
	s.mu.Lock()
	delete(s.active, a)
	s.mu.Unlock()
	s.metrics.running.Dec()
}

// RecheckKeys ends the requests whose key the snapshot no longer admits, open streams included.
func (s *Server) RecheckKeys(snapshot *afconfig.Snapshot) {
	s.init()
	s.end(KeyWithdrawn, func(a *active) bool {
		k, ok := snapshot.Key(a.digest)
		if !ok || k.IsWithdrawn {
			return true
		}
		_, ok = snapshot.Customer(k.Customer)
		return !ok
	})
}

// checkStale ends keyed requests after the configuration has been stale for too long: their keys may have been
// withdrawn without this VM knowing it.
func (s *Server) checkStale(now time.Time) {
	fresh := s.IsConfigFresh()
	s.mu.Lock()
	if fresh {
		s.stale = time.Time{}
	} else if s.stale.IsZero() {
		s.stale = now
	}
	due := !s.stale.IsZero() && now.Sub(s.stale) >= s.StaleConfigTimeout
	s.mu.Unlock()
	if due {
		s.end(StaleConfig, func(*active) bool { return true })
	}
}

// end cancels the keyed requests for which test is true.
func (s *Server) end(kind ErrorKind, test func(*active) bool) {
	s.mu.Lock()
	var out []*active
	for a := range s.active {
		if a.digest != "" && test(a) {
			out = append(out, a)
		}
	}
	s.mu.Unlock()
	for _, a := range out {
		a.cancel(&Error{Op: "serve", Kind: kind})
	}
}
