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

func (s *Server) list(kind string) handler {
	return func(*http.Request) (answer, error) {
		c := s.Snapshot()
		return answer{status: http.StatusOK, body: listBody{Version: c.Version, Items: kinds[kind].list(c)}}, nil
	}
}

// get reads the platform and, while it is down, the VM's snapshot.
func (s *Server) get(kind string) handler {
	return func(r *http.Request) (answer, error) {
		name := r.PathValue("name")
		o, err := s.GetObject(r.Context(), kind, name)
		if err == nil {
			return answer{status: http.StatusOK, body: wire(o)}, nil
		}
		v, ok := find[kind](s.Snapshot(), name)
		if !ok || afobject.IsKind(err, afobject.ObjectNotFound) {
			return answer{}, translate("get "+kind+"/"+name, err)
		}
		spec, err := json.Marshal(v)
		if err != nil {
			return answer{}, &Error{Op: "get " + kind + "/" + name, Kind: InternalError, Err: err}
		}
		return answer{status: http.StatusOK, body: objectBody{Kind: kind, Name: name, Spec: spec, Source: "vm"}}, nil
	}
}

// put creates an object, or updates it if the request names the version that the operator saw.
func (s *Server) put(kind string) handler {
	return func(r *http.Request) (answer, error) {
		name := r.PathValue("name")
		op := "put " + kind + "/" + name
		b, err := body(r)
		if err != nil {
			return answer{}, err
		}
		version, named, err := seenVersion(r)
		if err != nil {
			return answer{}, err
		}
		next, err := kinds[kind].check(r.Context(), s, name, b)
		if err != nil {
			return answer{}, refused(op, err)
		}
		spec, err := json.Marshal(next)
		if err != nil {
			return answer{}, &Error{Op: op, Kind: InternalError, Err: err}
		}
		o := afobject.Object{Kind: kind, Name: name, Version: version, Spec: spec}
		current, err := s.GetObject(r.Context(), kind, name)
		switch {
		case afobject.IsKind(err, afobject.ObjectNotFound):
			if version != 0 {
				return answer{}, conflict(op, o, afobject.Object{}, false)
			}
		case err != nil:
			return answer{}, translate(op, err)
		case !named:
			e := fail(op, VersionRequired, "the object exists at version %d; send the version that you saw as If-Match", current.Version)
			e.detail = map[string]any{"current": wire(current)}
			return answer{}, e
		case current.Version != version:
			return answer{}, conflict(op, o, current, false)
		default:
			if replace := kinds[kind].replace; replace != nil {
				if err := replace(current.Spec, next); err != nil {
					return answer{}, refused(op, err)
				}
			}
		}
		written, err := s.commit(r.Context(), o)
		if err != nil {
			return answer{}, err
		}
		return s.confirmed(r, written, ""), nil
	}
}

// remove deletes an object that nothing refers to. References are looked up in the VM's snapshot, so a reference
// that is added at the same moment through another VM can be missed; readers treat a missing object as unknown.
func (s *Server) remove(kind string) handler {
	return func(r *http.Request) (answer, error) {
		name := r.PathValue("name")
		op := "delete " + kind + "/" + name
		version, named, err := seenVersion(r)
		if err != nil {
			return answer{}, err
		}
		current, err := s.GetObject(r.Context(), kind, name)
		if err != nil {
			return answer{}, translate(op, err)
		}
		k := kinds[kind]
		if k.users != nil {
			if users := k.users(s.Snapshot(), name); len(users) > 0 {
				e := fail(op, ObjectInUse, "%s/%s is in use by %s", kind, name, strings.Join(users, ", "))
				e.detail = map[string]any{"users": users}
				return answer{}, e
			}
		}
		if k.release != nil {
			if err := k.release(current.Spec); err != nil {
				return answer{}, &Error{Op: op, Kind: ObjectInUse, Err: err}
			}
		}
		if named && version != current.Version {
			return answer{}, conflict(op, afobject.Object{Kind: kind, Name: name, Version: version}, current, false)
		}
		if !named {
			e := fail(op, VersionRequired, "the object is at version %d; send the version that you saw as If-Match", current.Version)
			e.detail = map[string]any{"current": wire(current)}
			return answer{}, e
		}
		if err := s.erase(r.Context(), current); err != nil {
			return answer{}, err
		}
		return s.erased(r, current), nil
	}
}

// seenVersion returns the version of If-Match or of the version parameter. Zero means that the object must not exist.
func seenVersion(r *http.Request) (version int64, named bool, err error) {
	text := strings.Trim(r.Header.Get("If-Match"), `"`)
	if text == "" {
		text = r.URL.Query().Get("version")
	}
	if text == "" {
		return 0, false, nil
	}
	version, err = strconv.ParseInt(text, 10, 64)
	if err != nil || version < 0 {
		return 0, false, fail("read version", InvalidRequest, "If-Match %q is not a version", text)
	}
	return version, true, nil
}

// refused keeps errors of the platform apart from broken rules.
func refused(op string, err error) *Error {
	if e, ok := errors.Into[*afobject.Error](err); ok {
		return translate(op, e)
	}
	return &Error{Op: op, Kind: InvalidRequest, Err: err}
}
