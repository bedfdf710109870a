package afoperator

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afsheet"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

type sheetBody struct {
	Version int64                        `json:"version"`
	Rows    []arbutusfork.DemandSheetRow `json:"rows"`
	// Source is "vm" if the platform could not be asked. The version is then unknown.
	Source string `json:"source,omitempty"`
}

type checkBody struct {
	Rows   int             `json:"rows"`
	Faults []afsheet.Fault `json:"faults"`
}

type diffBody struct {
	// Version is that of the accepted sheet. An accept names it to replace just that sheet.
	Version int64               `json:"version"`
	Changes []afsheet.RowChange `json:"changes"`
}

type adjustBody struct {
	Model    string `json:"model"`
	Customer string `json:"customer"`
	// From is the start of the row as HH:MM.
	From string `json:"from"`
	afsheet.RowAdjustment
}

// accepted reads the accepted sheet from the platform. Version zero means that there is none yet.
func (s *Server) accepted(ctx context.Context) (arbutusfork.DemandSheet, int64, error) {
	var v arbutusfork.DemandSheet
	o, err := s.GetObject(ctx, afobject.KindSheets, afconfig.SingletonName)
	if afobject.IsKind(err, afobject.ObjectNotFound) {
		return v, 0, nil
	}
	if err != nil {
		return v, 0, translate("read sheet", err)
	}
	if err := json.Unmarshal(o.Spec, &v); err != nil {
		return v, 0, &Error{Op: "read sheet", Kind: InternalError, Err: err}
	}
	return v, o.Version, nil
}

func (s *Server) showSheet(r *http.Request) (answer, error) {
	v, version, err := s.accepted(r.Context())
	b := sheetBody{Version: version, Rows: v.Rows}
	if IsKind(err, PlatformUnavailable) {
		b, err = sheetBody{Rows: s.Snapshot().Sheet().Rows, Source: "vm"}, nil
	}
	if b.Rows == nil {
		b.Rows = []arbutusfork.DemandSheetRow{}
	}
	return answer{status: http.StatusOK, body: b}, err
}

// parseSheet checks the request's sheet against the names that exist.
func (s *Server) parseSheet(r *http.Request) (arbutusfork.DemandSheet, []afsheet.Fault, error) {
	b, err := body(r)
	if err != nil {
		return arbutusfork.DemandSheet{}, nil, err
	}
	var failure error
	known := func(kind string) func(string) bool {
		seen := make(map[string]bool)
		return func(name string) bool {
			ok, asked := seen[name]
			if asked || failure != nil {
				return ok
			}
			ok, failure = s.exists(r.Context(), kind, name)
			seen[name] = ok
			return ok
		}
	}
	v, faults := afsheet.ParseCSV(b, afsheet.Catalogue{ModelExists: known(afobject.KindModels), CustomerExists: known(afobject.KindCustomers)})
	if failure != nil {
		return v, nil, translate("check sheet", failure)
	}
	return v, faults, nil
}

func (s *Server) checkSheet(r *http.Request) (answer, error) {
	v, faults, err := s.parseSheet(r)
	if err != nil {
		return answer{}, err
	}
	if faults == nil {
		faults = []afsheet.Fault{}
	}
	return answer{status: http.StatusOK, body: checkBody{Rows: len(v.Rows), Faults: faults}}, nil
}

// soundSheet returns an error with the faults if there are any.
func (s *Server) soundSheet(r *http.Request) (arbutusfork.DemandSheet, error) {
	v, faults, err := s.parseSheet(r)
	if err != nil {
		return v, err
	}
	if len(faults) > 0 {
		e := fail("read sheet", InvalidSheet, "the sheet has %d faults", len(faults))
		e.detail = map[string]any{"faults": faults}
		return v, e
	}
	return v, nil
}

func (s *Server) diffSheet(r *http.Request) (answer, error) {
	next, err := s.soundSheet(r)
	if err != nil {
		return answer{}, err
	}
	v, version, err := s.accepted(r.Context())
	if err != nil {
		return answer{}, err
	}
	return answer{status: http.StatusOK, body: diffBody{Version: version, Changes: afsheet.DiffSheets(v, next)}}, nil
}

func (s *Server) acceptSheet(r *http.Request) (answer, error) {
	next, err := s.soundSheet(r)
	if err != nil {
		return answer{}, err
	}
	return s.storeSheet(r, func(arbutusfork.DemandSheet) (arbutusfork.DemandSheet, error) { return next, nil })
}

func (s *Server) adjustSheet(r *http.Request) (answer, error) {
	b, err := body(r)
	if err != nil {
		return answer{}, err
	}
	q, err := decode[adjustBody](b)
	if err != nil {
		return answer{}, refused("adjust sheet", err)
	}
	from, ok := afsheet.ParseTimeOfDay(q.From)
	if !ok {
		return answer{}, fail("adjust sheet", InvalidRequest, "from %q is not a time as HH:MM", q.From)
	}
	if q.RequestsPerHour == nil && q.TokensPerRequest == nil {
		return answer{}, fail("adjust sheet", InvalidRequest, "name requests, tokens or both")
	}
	key := afsheet.RowKey{Model: q.Model, Customer: q.Customer, StartMinute: from}
	return s.storeSheet(r, func(v arbutusfork.DemandSheet) (arbutusfork.DemandSheet, error) {
		next, err := afsheet.AdjustRow(v, key, q.RowAdjustment)
		if afsheet.IsKind(err, afsheet.RowNotFound) {
			return next, &Error{Op: "adjust sheet", Kind: ObjectNotFound, Err: err}
		}
		if err != nil {
			return next, &Error{Op: "adjust sheet", Kind: InvalidRequest, Err: err}
		}
		return next, nil
	})
}

// storeSheet replaces the sheet that the operator saw. Another version is answered with a conflict.
func (s *Server) storeSheet(r *http.Request, change func(arbutusfork.DemandSheet) (arbutusfork.DemandSheet, error)) (answer, error) {
	seen, named, err := seenVersion(r)
	if err != nil {
		return answer{}, err
	}
	v, version, err := s.accepted(r.Context())
	if err != nil {
		return answer{}, err
	}
	if !named {
		return answer{}, fail("store sheet", VersionRequired, "the sheet is at version %d; send the version that you saw as If-Match", version)
	}
	next, err := change(v)
	if seen != version {
		return answer{}, sheetConflict(seen, version, v, next)
	}
	if err != nil {
		return answer{}, err
	}
	spec, err := json.Marshal(next)
	if err != nil {
		return answer{}, &Error{Op: "store sheet", Kind: InternalError, Err: err}
	}
	o := afobject.Object{Kind: afobject.KindSheets, Name: afconfig.SingletonName, Version: version, Spec: spec}
	written, err := s.commit(r.Context(), o)
	if IsKind(err, VersionConflict) {
		// The whole sheets are too long to compare by eye, so the answer holds their difference.
		v, version, errRead := s.accepted(r.Context())
		if errRead != nil {
			return answer{}, err
		}
		e := sheetConflict(seen, version, v, next)
		e.Err = errors.Unwrap(err) // Tells whether the change may have taken effect in between.
		return answer{}, e
	}
	if err != nil {
		return answer{}, err
	}
	a := s.confirmed(r, written, "")
	if b, ok := a.body.(changeBody); ok {
		b.Object.Spec = nil
		a.body = b
	}
	return a, nil
}

func sheetConflict(seen, version int64, current, yours arbutusfork.DemandSheet) *Error {
	e := fail("store sheet", VersionConflict, "the sheet is at version %d, not %d; another operator changed it", version, seen)
	e.detail = map[string]any{
		"yours":   sheetVersion{Version: seen, Rows: len(yours.Rows)},
		"current": sheetVersion{Version: version, Rows: len(current.Rows)},
		"changes": afsheet.DiffSheets(current, yours),
	}
	return e
}

type sheetVersion struct {
	Version int64 `json:"version"`
	Rows    int   `json:"rows"`
}
