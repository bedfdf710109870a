package afoperator

import (
	"context"
	"encoding/json"
	"net/http"
	"reflect"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afobject"
)

const (
	// A conditional write is sent again only under the same condition, so at most one of the attempts takes effect.
	writeAttempts = 3
	// The largest value that the platform stores.
	maxSpecBytes = 1_000_000
	// The VM learns of a deletion by its watch. The poll only reads a pointer.
	deletionPoll = 20 * time.Millisecond
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
	// Source is "vm" if the platform could not be asked. The version is then unknown.
	Source string `json:"source,omitempty"`
}

func wire(o afobject.Object) objectBody {
	return objectBody{Kind: o.Kind, Name: o.Name, Version: o.Version, Spec: o.Spec}
}

type changeBody struct {
	State   string     `json:"state"`
	Object  objectBody `json:"object"`
	Deleted bool       `json:"deleted,omitempty"`
	// Secret is the clear text of an issued key.
	Secret string `json:"secret,omitempty"`
}

// commit creates or updates o, depending on its version, and resolves lost answers by reading back.
func (s *Server) commit(ctx context.Context, o afobject.Object) (afobject.Object, error) {
	op := "write " + o.Kind + "/" + o.Name
	if len(o.Spec) > maxSpecBytes {
		return afobject.Object{}, fail(op, InvalidRequest, "the object is %d bytes; the platform stores at most %d", len(o.Spec), maxSpecBytes)
	}
	lost := false
	for range writeAttempts {
		written, err := s.send(ctx, o)
		switch {
		case err == nil:
			return written, nil
		case afobject.IsKind(err, afobject.OutcomeUnknown):
			lost = true
		case afobject.IsKind(err, afobject.VersionConflict):
			return s.settle(ctx, o, lost)
		case lost:
			return afobject.Object{}, unclear(op, err)
		default:
			return afobject.Object{}, translate(op, err)
		}
		current, err := s.GetObject(ctx, o.Kind, o.Name)
		if err != nil && !afobject.IsKind(err, afobject.ObjectNotFound) {
			return afobject.Object{}, unclear(op, err)
		}
		if err == nil && current.Version != o.Version {
			return s.settle(ctx, o, lost)
		}
		// The write has not taken effect so far but may still be under way. The next attempt has the same
		// condition, so that it either succeeds or meets the late write as a conflict.
	}
	return afobject.Object{}, fail(op, OutcomeUnknown, "the platform's answers were lost; read the object before a retry")
}

func (s *Server) send(ctx context.Context, o afobject.Object) (afobject.Object, error) {
	if o.Version == 0 {
		return s.CreateObject(ctx, o)
	}
	return s.UpdateObject(ctx, o)
}

// settle decides a conflict. After a lost answer the current object may be the one that was written.
func (s *Server) settle(ctx context.Context, o afobject.Object, lost bool) (afobject.Object, error) {
	op := "write " + o.Kind + "/" + o.Name
	current, err := s.GetObject(ctx, o.Kind, o.Name)
	if err != nil && !afobject.IsKind(err, afobject.ObjectNotFound) {
		if lost {
			return afobject.Object{}, unclear(op, err)
		}
		return afobject.Object{}, translate(op, err)
	}
	if err == nil && lost && sameJSON(current.Spec, o.Spec) {
		return current, nil
	}
	return afobject.Object{}, conflict(op, o, current, lost)
}

func unclear(op string, err error) *Error {
	return &Error{Op: op, Kind: OutcomeUnknown, Err: err}
}

// conflict shows the operator's version and the current one. A zero current object does not exist.
func conflict(op string, yours, current afobject.Object, lost bool) *Error {
	name := yours.Kind + "/" + yours.Name
	e := fail(op, VersionConflict, "%s is at version %d, not %d; another operator changed it", name, current.Version, yours.Version)
	switch {
	case lost:
		e = fail(op, VersionConflict, "%s is at version %d; your change may have taken effect before that", name, current.Version)
	case current.Version == 0:
		e = fail(op, VersionConflict, "%s does not exist, although you saw version %d; another operator deleted it", name, yours.Version)
	case yours.Version == 0:
		e = fail(op, VersionConflict, "%s exists already, at version %d", name, current.Version)
	}
	e.detail = map[string]any{"yours": wire(yours), "current": nil}
	if current.Version > 0 {
		e.detail["current"] = wire(current)
	}
	return e
}

// erase deletes o conditionally on its version. After a lost answer an absent object counts as deleted.
func (s *Server) erase(ctx context.Context, o afobject.Object) error {
	op := "delete " + o.Kind + "/" + o.Name
	lost := false
	for range writeAttempts {
		err := s.DeleteObject(ctx, o.Kind, o.Name, o.Version)
		switch {
		case err == nil, lost && afobject.IsKind(err, afobject.ObjectNotFound):
			return nil
		case afobject.IsKind(err, afobject.OutcomeUnknown):
			lost = true
			continue
		case afobject.IsKind(err, afobject.VersionConflict):
			current, err := s.GetObject(ctx, o.Kind, o.Name)
			if err != nil && !afobject.IsKind(err, afobject.ObjectNotFound) {
				return translate(op, err)
			}
			return conflict(op, o, current, lost)
		case lost:
			return unclear(op, err)
		default:
			return translate(op, err)
		}
	}
	return fail(op, OutcomeUnknown, "the platform's answers were lost; read the object before a retry")
}

// confirmed answers a committed write after a majority of the witnesses holds it, or when the wait ends.
func (s *Server) confirmed(r *http.Request, o afobject.Object, secret string) answer {
	ctx, cancel := context.WithTimeout(r.Context(), orDefault(s.ConfirmTimeout, defaultConfirm))
	defer cancel()
	a := answer{status: http.StatusOK, body: changeBody{State: stateAccepted, Object: wire(o), Secret: secret}}
	err := s.ConfirmVersion(ctx, o.Version)
	if err != nil {
		a = answer{status: http.StatusAccepted, body: changeBody{State: stateCommitted, Object: wire(o), Secret: secret}}
	}
	s.Log.Info("configuration changed", "method", r.Method, "kind", o.Kind, "name", o.Name,
		"version", o.Version, "confirmed", err == nil, "remote", r.RemoteAddr)
	return a
}

// erased answers a committed deletion. The platform does not tell its version, so the VM waits until its own
// snapshot has lost the object and confirms that snapshot's version.
func (s *Server) erased(r *http.Request, o afobject.Object) answer {
	ctx, cancel := context.WithTimeout(r.Context(), orDefault(s.ConfirmTimeout, defaultConfirm))
	defer cancel()
	o.Spec = nil
	o.Version = s.awaitAbsence(ctx, o)
	state, status := stateCommitted, http.StatusAccepted
	if o.Version > 0 && s.ConfirmVersion(ctx, o.Version) == nil {
		state, status = stateAccepted, http.StatusOK
	}
	s.Log.Info("configuration changed", "method", r.Method, "kind", o.Kind, "name", o.Name,
		"version", o.Version, "confirmed", status == http.StatusOK, "remote", r.RemoteAddr)
	return answer{status: status, body: changeBody{State: state, Object: wire(o), Deleted: true}}
}

// awaitAbsence returns the version of the first snapshot that reflects the deletion of o, or zero if ctx ends.
func (s *Server) awaitAbsence(ctx context.Context, o afobject.Object) int64 {
	t := time.NewTicker(deletionPoll)
	defer t.Stop()
	for {
		snapshot := s.Snapshot()
		// A snapshot from before the object's last change may not know the object yet.
		if _, ok := find[o.Kind](snapshot, o.Name); !ok && snapshot.Version > o.Version {
			return snapshot.Version
		}
		select {
		case <-ctx.Done():
			return 0
		case <-t.C:
		}
	}
}

// sameJSON compares by value, since the platform may store another spelling.
func sameJSON(a, b json.RawMessage) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	return reflect.DeepEqual(x, y)
}
