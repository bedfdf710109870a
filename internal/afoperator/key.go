package afoperator

import (
	"encoding/json"
	"net/http"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

type issueKeyBody struct {
	Name     string `json:"name"`
	Customer string `json:"customer"`
}

// handleIssueKey creates an API key and returns its secret in clear text. Only the digest is stored.
func (s *Server) handleIssueKey(r *http.Request) (response, error) {
	b, err := readBody(r)
	if err != nil {
		return response{}, err
	}
	q, err := decodeStrict[issueKeyBody](b)
	if err != nil {
		return response{}, translateCheckError("issue key", err)
	}
	secret := s.newKeySecret()
	k := arbutusfork.APIKey{Name: q.Name, Customer: q.Customer, Digest: arbutusfork.DigestSecret(secret)}
	if _, err := checkKey(r.Context(), s, q.Name, k); err != nil {
		return response{}, translateCheckError("issue keys/"+q.Name, err)
	}
	spec, err := json.Marshal(k)
	if err != nil {
		return response{}, &Error{Op: "issue keys/" + q.Name, Kind: InternalError, Err: err}
	}
	written, err := s.writeObject(r.Context(), afobject.Object{Kind: afobject.KindKeys, Name: q.Name, Spec: spec})
	if err != nil {
		return response{}, err
	}
	return s.confirmWrite(r, written, secret), nil
}

// handleWithdrawKey withdraws an API key. The request names no version: a withdrawal is safe on top of any concurrent
// change, so it is retried after a version conflict.
func (s *Server) handleWithdrawKey(r *http.Request) (response, error) {
	name := r.PathValue("name")
	op := "withdraw keys/" + name
	for range maxWriteAttempts {
		o, err := s.GetObject(r.Context(), afobject.KindKeys, name)
		if err != nil {
			return response{}, translateError(op, err)
		}
		var k arbutusfork.APIKey
		if err := json.Unmarshal(o.Spec, &k); err != nil {
			return response{}, &Error{Op: op, Kind: InternalError, Err: err}
		}
		if k.IsWithdrawn {
			return s.confirmWrite(r, o, ""), nil
		}
		if o.Spec, err = json.Marshal(k.WithWithdrawn()); err != nil {
			return response{}, &Error{Op: op, Kind: InternalError, Err: err}
		}
		written, err := s.writeObject(r.Context(), o)
		if err == nil {
			return s.confirmWrite(r, written, ""), nil
		}
		if !IsKind(err, VersionConflict) {
			return response{}, err
		}
	}
	return response{}, newError(op, VersionConflict, "the key keeps changing; try again")
}
