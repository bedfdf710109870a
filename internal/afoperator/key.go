package afoperator

import (
	"encoding/json"
	"net/http"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

type issueBody struct {
	Name     string `json:"name"`
	Customer string `json:"customer"`
}

// issue creates a key and returns its clear text, which is kept nowhere.
func (s *Server) issue(r *http.Request) (answer, error) {
	b, err := body(r)
	if err != nil {
		return answer{}, err
	}
	q, err := decode[issueBody](b)
	if err != nil {
		return answer{}, refused("issue key", err)
	}
	secret := s.secret()
	k := arbutusfork.APIKey{Name: q.Name, Customer: q.Customer, Digest: arbutusfork.DigestSecret(secret)}
	if _, err := checkKey(r.Context(), s, q.Name, k); err != nil {
		return answer{}, refused("issue keys/"+q.Name, err)
	}
	spec, err := json.Marshal(k)
	if err != nil {
		return answer{}, &Error{Op: "issue keys/" + q.Name, Kind: InternalError, Err: err}
	}
	written, err := s.commit(r.Context(), afobject.Object{Kind: afobject.KindKeys, Name: q.Name, Spec: spec})
	if err != nil {
		return answer{}, err
	}
	return s.confirmed(r, written, secret), nil
}

// withdraw needs no version: it only ever narrows what the key admits, so it is repeated over other changes.
func (s *Server) withdraw(r *http.Request) (answer, error) {
	name := r.PathValue("name")
	op := "withdraw keys/" + name
	for range writeAttempts {
		o, err := s.GetObject(r.Context(), afobject.KindKeys, name)
		if err != nil {
			return answer{}, translate(op, err)
		}
		var k arbutusfork.APIKey
		if err := json.Unmarshal(o.Spec, &k); err != nil {
			return answer{}, &Error{Op: op, Kind: InternalError, Err: err}
		}
		if k.IsWithdrawn {
			return s.confirmed(r, o, ""), nil
		}
		if o.Spec, err = json.Marshal(k.WithWithdrawn()); err != nil {
			return answer{}, &Error{Op: op, Kind: InternalError, Err: err}
		}
		written, err := s.commit(r.Context(), o)
		if err == nil {
			return s.confirmed(r, written, ""), nil
		}
		if !IsKind(err, VersionConflict) {
			return answer{}, err
		}
	}
	return answer{}, fail(op, VersionConflict, "the key keeps changing; try again")
}
