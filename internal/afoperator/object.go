package afoperator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork/pkg/afobject"
)

type listBody struct {
	Version int64 `json:"version"`
	Items   any   `json:"items"`
}

func (s *Server) handleList(kind string) handlerFunc {
	return func(*http.Request) (response, error) {
		c := s.Snapshot()
		return response{status: http.StatusOK, body: listBody{Version: c.Version, Items: objectKinds[kind].listAll(c)}}, nil
	}
}

// handleGet returns an object from the platform or, while the platform is unreachable, from the VM's snapshot.
func (s *Server) handleGet(kind string) handlerFunc {
	return func(r *http.Request) (response, error) {
		name := r.PathValue("name")
		o, err := s.GetObject(r.Context(), kind, name)
		if err == nil {
			return response{status: http.StatusOK, body: newObjectBody(o)}, nil
		}
		v, ok := findInSnapshot[kind](s.Snapshot(), name)
		if !ok || afobject.IsKind(err, afobject.ObjectNotFound) {
			return response{}, translateError("get "+kind+"/"+name, err)
		}
		spec, err := json.Marshal(v)
		if err != nil {
			return response{}, &Error{Op: "get " + kind + "/" + name, Kind: InternalError, Err: err}
		}
		return response{status: http.StatusOK, body: objectBody{Kind: kind, Name: name, Spec: spec, Source: "vm"}}, nil
	}
}

// handlePut creates an object, or updates it if the request names the current version.
func (s *Server) handlePut(kind string) handlerFunc {
	return func(r *http.Request) (response, error) {
		name := r.PathValue("name")
		op := "put " + kind + "/" + name
		b, err := readBody(r)
		if err != nil {
			return response{}, err
		}
		version, hasVersion, err := readExpectedVersion(r)
		if err != nil {
			return response{}, err
		}
		next, err := objectKinds[kind].checkSpec(r.Context(), s, name, b)
		if err != nil {
			return response{}, translateCheckError(op, err)
		}
		spec, err := json.Marshal(next)
		if err != nil {
			return response{}, &Error{Op: op, Kind: InternalError, Err: err}
		}
		o := afobject.Object{Kind: kind, Name: name, Version: version, Spec: spec}
		current, err := s.GetObject(r.Context(), kind, name)
		switch {
		case afobject.IsKind(err, afobject.ObjectNotFound):
			if version != 0 {
				return response{}, newConflict(op, o, afobject.Object{}, false)
			}
		case err != nil:
			return response{}, translateError(op, err)
		case !hasVersion:
			e := newError(op, VersionRequired, "the object exists at version %d; send the version that you saw as If-Match", current.Version)
			e.detail = map[string]any{"current": newObjectBody(current)}
			return response{}, e
		case current.Version != version:
			return response{}, newConflict(op, o, current, false)
		default:
			if replace := objectKinds[kind].checkReplacement; replace != nil {
				if err := replace(current.Spec, next); err != nil {
					return response{}, translateCheckError(op, err)
				}
			}
		}
		written, err := s.writeObject(r.Context(), o)
		if err != nil {
			return response{}, err
		}
		return s.confirmWrite(r, written, ""), nil
	}
}

// handleDelete deletes an object that no other object refers to. It finds references in the VM's snapshot, so it can
// miss a reference that is added concurrently through another VM. Readers treat such a missing object as unknown.
func (s *Server) handleDelete(kind string) handlerFunc {
	return func(r *http.Request) (response, error) {
		name := r.PathValue("name")
		op := "delete " + kind + "/" + name
		version, hasVersion, err := readExpectedVersion(r)
		if err != nil {
			return response{}, err
		}
		current, err := s.GetObject(r.Context(), kind, name)
		if err != nil {
			return response{}, translateError(op, err)
		}
		objKind := objectKinds[kind]
		if objKind.findReferrers != nil {
			if referrers := objKind.findReferrers(s.Snapshot(), name); len(referrers) > 0 {
				e := newError(op, ObjectInUse, "%s/%s is in use by %s", kind, name, strings.Join(referrers, ", "))
				e.detail = map[string]any{"users": referrers}
				return response{}, e
			}
		}
		if objKind.checkDeletion != nil {
			if err := objKind.checkDeletion(current.Spec); err != nil {
				return response{}, &Error{Op: op, Kind: ObjectInUse, Err: err}
			}
		}
		if hasVersion && version != current.Version {
			return response{}, newConflict(op, afobject.Object{Kind: kind, Name: name, Version: version}, current, false)
		}
		if !hasVersion {
			e := newError(op, VersionRequired, "the object is at version %d; send the version that you saw as If-Match", current.Version)
			e.detail = map[string]any{"current": newObjectBody(current)}
			return response{}, e
		}
		if err := s.deleteObject(r.Context(), current); err != nil {
			return response{}, err
		}
		return s.confirmDeletion(r, current), nil
	}
}

// readExpectedVersion returns the version in the If-Match header or the version query parameter. Version zero means
// that the object must not exist.
func readExpectedVersion(r *http.Request) (version int64, isPresent bool, err error) {
	text := strings.Trim(r.Header.Get("If-Match"), `"`)
	if text == "" {
		text = r.URL.Query().Get("version")
	}
	if text == "" {
		return 0, false, nil
	}
	version, err = strconv.ParseInt(text, 10, 64)
	if err != nil || version < 0 {
		return 0, false, newError("read version", InvalidRequest, "If-Match %q is not a version", text)
	}
	return version, true, nil
}

// translateCheckError converts an error of a check. An error of the platform client keeps its kind; any other error
// means that the request is invalid.
func translateCheckError(op string, err error) *Error {
	if e, ok := errors.Into[*afobject.Error](err); ok {
		return translateError(op, e)
	}
	return &Error{Op: op, Kind: InvalidRequest, Err: err}
}
