package afoperator

import (
	"context"
	"encoding/json"
	"net/http"
	"reflect"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afversion"
)

const (
	// maxWriteAttempts bounds the attempts of one write. All attempts expect the same stored version, so at most one
	// of them takes effect.
	maxWriteAttempts = 3
	// maxSpecBytes is the largest value that the platform stores.
	maxSpecBytes = 1_000_000
	// deletionPollInterval may be short, since each poll only loads the pointer to the current snapshot.
	deletionPollInterval = 20 * time.Millisecond
)

const (
	stateAccepted  = "accepted"
	stateCommitted = "committed, confirmation outstanding"
)

type objectBody struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version int64           `json:"version"`
	Spec    json.RawMessage `json:"spec,omitempty"`
	// Source is "vm" if the spec comes from the VM's snapshot because the platform is unreachable. Version is then zero.
	Source string `json:"source,omitempty"`
}

func newObjectBody(o afobject.Object) objectBody {
	return objectBody{Kind: o.Kind, Name: o.Name, Version: o.Version, Spec: o.Spec}
}

type changeBody struct {
	State   string     `json:"state"`
	Object  objectBody `json:"object"`
	Deleted bool       `json:"deleted,omitempty"`
	// Secret is the clear text of a newly issued API key.
	Secret string `json:"secret,omitempty"`
}

// writeObject creates o if its version is zero and updates it otherwise. After a lost response, it reads the object to
// find out whether the write took effect.
func (s *Server) writeObject(ctx context.Context, o afobject.Object) (afobject.Object, error) {
	op := "write " + o.Kind + "/" + o.Name
	if len(o.Spec) > maxSpecBytes {
		return afobject.Object{}, newError(op, InvalidRequest, "the object is %d bytes; the platform stores at most %d", len(o.Spec), maxSpecBytes)
	}
	isResponseLost := false
	for range maxWriteAttempts {
		written, err := s.sendWrite(ctx, o)
		switch {
		case err == nil:
			return written, nil
		case afobject.IsKind(err, afobject.OutcomeUnknown):
			isResponseLost = true
		case afobject.IsKind(err, afobject.VersionConflict):
			return s.resolveConflict(ctx, o, isResponseLost)
		case isResponseLost:
			return afobject.Object{}, newOutcomeUnknown(op, err)
		default:
			return afobject.Object{}, translateError(op, err)
		}
		current, err := s.GetObject(ctx, o.Kind, o.Name)
		if err != nil && !afobject.IsKind(err, afobject.ObjectNotFound) {
			return afobject.Object{}, newOutcomeUnknown(op, err)
		}
		if err == nil && current.Version != o.Version {
			return s.resolveConflict(ctx, o, isResponseLost)
		}
		// The write has not taken effect yet but may still do so. The next attempt expects the same version, so it
		// either succeeds or fails with a conflict if the earlier write took effect in between.
	}
	return afobject.Object{}, newError(op, OutcomeUnknown, "the platform's answers were lost; read the object before a retry")
}

func (s *Server) sendWrite(ctx context.Context, o afobject.Object) (afobject.Object, error) {
	if o.Version == 0 {
		return s.CreateObject(ctx, o)
	}
	return s.UpdateObject(ctx, o)
}

// resolveConflict handles a version conflict of a write. After a lost response the stored object may be the result of
// this very write, which then counts as successful.
func (s *Server) resolveConflict(ctx context.Context, o afobject.Object, isResponseLost bool) (afobject.Object, error) {
	op := "write " + o.Kind + "/" + o.Name
	current, err := s.GetObject(ctx, o.Kind, o.Name)
	if err != nil && !afobject.IsKind(err, afobject.ObjectNotFound) {
		if isResponseLost {
			return afobject.Object{}, newOutcomeUnknown(op, err)
		}
		return afobject.Object{}, translateError(op, err)
	}
	if err == nil && isResponseLost && equalJSON(current.Spec, o.Spec) {
		return current, nil
	}
	return afobject.Object{}, newConflict(op, o, current, isResponseLost)
}

func newOutcomeUnknown(op string, err error) *Error {
	return &Error{Op: op, Kind: OutcomeUnknown, Err: err}
}

// newConflict returns a VersionConflict error with the rejected and the current object. A current version with revision zero
// means that the object does not exist.
func newConflict(op string, rejected, current afobject.Object, isResponseLost bool) *Error {
	name := rejected.Kind + "/" + rejected.Name
	e := newError(op, VersionConflict, "%s is at version %d, not %d; another operator changed it", name, current.Version, rejected.Version)
	switch {
	case isResponseLost:
		e = newError(op, VersionConflict, "%s is at version %d; your change may have taken effect before that", name, current.Version)
	case afversion.Revision(current.Version) == 0:
		e = newError(op, VersionConflict, "%s does not exist, although you saw version %d; another operator deleted it", name, rejected.Version)
	case rejected.Version == 0:
		e = newError(op, VersionConflict, "%s exists already, at version %d", name, current.Version)
	}
	e.detail = map[string]any{"yours": newObjectBody(rejected), "current": nil}
	if afversion.Revision(current.Version) > 0 {
		e.detail["current"] = newObjectBody(current)
	}
	return e
}

// deleteObject deletes o if its stored version is o.Version. After a lost response, a missing object counts as deleted.
func (s *Server) deleteObject(ctx context.Context, o afobject.Object) error {
	op := "delete " + o.Kind + "/" + o.Name
	isResponseLost := false
	for range maxWriteAttempts {
		err := s.DeleteObject(ctx, o.Kind, o.Name, o.Version)
		switch {
		case err == nil, isResponseLost && afobject.IsKind(err, afobject.ObjectNotFound):
			return nil
		case afobject.IsKind(err, afobject.OutcomeUnknown):
			isResponseLost = true
			continue
		case afobject.IsKind(err, afobject.VersionConflict):
			current, err := s.GetObject(ctx, o.Kind, o.Name)
			if err != nil && !afobject.IsKind(err, afobject.ObjectNotFound) {
				return translateError(op, err)
			}
			return newConflict(op, o, current, isResponseLost)
		case isResponseLost:
			return newOutcomeUnknown(op, err)
		default:
			return translateError(op, err)
		}
	}
	return newError(op, OutcomeUnknown, "the platform's answers were lost; read the object before a retry")
}

// confirmWrite waits until a majority of the witnesses holds a committed write, or ConfirmTimeout has passed, and
// returns the response.
func (s *Server) confirmWrite(r *http.Request, o afobject.Object, secret string) response {
	ctx, cancel := context.WithTimeout(r.Context(), durationOrDefault(s.ConfirmTimeout, defaultConfirmTimeout))
	defer cancel()
	resp := response{status: http.StatusOK, body: changeBody{State: stateAccepted, Object: newObjectBody(o), Secret: secret}}
	err := s.ConfirmVersion(ctx, o.Version)
	if err != nil {
		resp = response{status: http.StatusAccepted, body: changeBody{State: stateCommitted, Object: newObjectBody(o), Secret: secret}}
	}
	s.Log.Info("configuration changed", "method", r.Method, "kind", o.Kind, "name", o.Name,
		"version", o.Version, "confirmed", err == nil, "remote", r.RemoteAddr)
	return resp
}

// confirmDeletion waits for the confirmation of a committed deletion and returns the response. The platform does not
// return the version of a deletion, so the VM waits until its own snapshot lacks the object and confirms the version of
// that snapshot.
func (s *Server) confirmDeletion(r *http.Request, o afobject.Object) response {
	ctx, cancel := context.WithTimeout(r.Context(), durationOrDefault(s.ConfirmTimeout, defaultConfirmTimeout))
	defer cancel()
	o.Spec = nil
	o.Version = s.awaitDeletion(ctx, o)
	state, status := stateCommitted, http.StatusAccepted
	if o.Version > 0 && s.ConfirmVersion(ctx, o.Version) == nil {
		state, status = stateAccepted, http.StatusOK
	}
	s.Log.Info("configuration changed", "method", r.Method, "kind", o.Kind, "name", o.Name,
		"version", o.Version, "confirmed", status == http.StatusOK, "remote", r.RemoteAddr)
	return response{status: status, body: changeBody{State: state, Object: newObjectBody(o), Deleted: true}}
}

// awaitDeletion returns the version of the first snapshot that reflects the deletion of o, or zero if ctx ends.
func (s *Server) awaitDeletion(ctx context.Context, o afobject.Object) int64 {
	t := time.NewTicker(deletionPollInterval)
	defer t.Stop()
	for {
		snapshot := s.Snapshot()
		// A snapshot older than the last change of the object may lack the object because it precedes its creation.
		if _, ok := findInSnapshot[o.Kind](snapshot, o.Name); !ok && snapshot.Version > o.Version {
			return snapshot.Version
		}
		select {
		case <-ctx.Done():
			return 0
		case <-t.C:
		}
	}
}

// equalJSON compares decoded values, since the platform may store the JSON in another encoding.
func equalJSON(a, b json.RawMessage) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	return reflect.DeepEqual(x, y)
}
