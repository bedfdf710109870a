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
	// Source is "vm" if the rows come from the VM's snapshot because the platform is unreachable. Version is then zero.
	Source string `json:"source,omitempty"`
}

type sheetCheckBody struct {
	Rows   int             `json:"rows"`
	Faults []afsheet.Fault `json:"faults"`
}

type sheetDiffBody struct {
	// Version is the version of the stored sheet. An accept request names it as the version to replace.
	Version int64               `json:"version"`
	Changes []afsheet.RowChange `json:"changes"`
}

type adjustSheetBody struct {
	Model    string `json:"model"`
	Customer string `json:"customer"`
	// From is the start time of the row as HH:MM in UTC.
	From string `json:"from"`
	afsheet.RowAdjustment
}

// readAcceptedSheet reads the stored sheet and its version from the platform. Version zero means that none is stored.
func (s *Server) readAcceptedSheet(ctx context.Context) (arbutusfork.DemandSheet, int64, error) {
	var v arbutusfork.DemandSheet
	o, err := s.GetObject(ctx, afobject.KindSheets, afconfig.SingletonName)
	if afobject.IsKind(err, afobject.ObjectNotFound) {
		return v, 0, nil
	}
	if err != nil {
		return v, 0, translateError("read sheet", err)
	}
	if err := json.Unmarshal(o.Spec, &v); err != nil {
		return v, 0, &Error{Op: "read sheet", Kind: InternalError, Err: err}
	}
	return v, o.Version, nil
}

func (s *Server) handleShowSheet(r *http.Request) (response, error) {
	v, version, err := s.readAcceptedSheet(r.Context())
	b := sheetBody{Version: version, Rows: v.Rows}
	if IsKind(err, PlatformUnavailable) {
		b, err = sheetBody{Rows: s.Snapshot().Sheet().Rows, Source: "vm"}, nil
	}
	if b.Rows == nil {
		b.Rows = []arbutusfork.DemandSheetRow{}
	}
	return response{status: http.StatusOK, body: b}, err
}

// parseSheet parses the CSV sheet in the request body and checks that its models and customers exist.
func (s *Server) parseSheet(r *http.Request) (arbutusfork.DemandSheet, []afsheet.Fault, error) {
	b, err := readBody(r)
	if err != nil {
		return arbutusfork.DemandSheet{}, nil, err
	}
	var lookupErr error
	newExistsFunc := func(kind string) func(string) bool {
		found := make(map[string]bool)
		return func(name string) bool {
			ok, isLookedUp := found[name]
			if isLookedUp || lookupErr != nil {
				return ok
			}
			ok, lookupErr = s.objectExists(r.Context(), kind, name)
			found[name] = ok
			return ok
		}
	}
	v, faults := afsheet.ParseCSV(b, afsheet.Catalogue{ModelExists: newExistsFunc(afobject.KindModels), CustomerExists: newExistsFunc(afobject.KindCustomers)})
	if lookupErr != nil {
		return v, nil, translateError("check sheet", lookupErr)
	}
	return v, faults, nil
}

func (s *Server) handleCheckSheet(r *http.Request) (response, error) {
	v, faults, err := s.parseSheet(r)
	if err != nil {
		return response{}, err
	}
	if faults == nil {
		faults = []afsheet.Fault{}
	}
	return response{status: http.StatusOK, body: sheetCheckBody{Rows: len(v.Rows), Faults: faults}}, nil
}

// parseValidSheet parses the sheet in the request body. If the sheet has faults, the error lists them.
func (s *Server) parseValidSheet(r *http.Request) (arbutusfork.DemandSheet, error) {
	v, faults, err := s.parseSheet(r)
	if err != nil {
		return v, err
	}
	if len(faults) > 0 {
		e := newError("read sheet", InvalidSheet, "the sheet has %d faults", len(faults))
		e.detail = map[string]any{"faults": faults}
		return v, e
	}
	return v, nil
}

func (s *Server) handleDiffSheet(r *http.Request) (response, error) {
	next, err := s.parseValidSheet(r)
	if err != nil {
		return response{}, err
	}
	v, version, err := s.readAcceptedSheet(r.Context())
	if err != nil {
		return response{}, err
	}
	return response{status: http.StatusOK, body: sheetDiffBody{Version: version, Changes: afsheet.DiffSheets(v, next)}}, nil
}

func (s *Server) handleAcceptSheet(r *http.Request) (response, error) {
	next, err := s.parseValidSheet(r)
	if err != nil {
		return response{}, err
	}
	return s.replaceSheet(r, func(arbutusfork.DemandSheet) (arbutusfork.DemandSheet, error) { return next, nil })
}

func (s *Server) handleAdjustSheet(r *http.Request) (response, error) {
	b, err := readBody(r)
	if err != nil {
		return response{}, err
	}
	q, err := decodeStrict[adjustSheetBody](b)
	if err != nil {
		return response{}, translateCheckError("adjust sheet", err)
	}
	from, ok := afsheet.ParseTimeOfDay(q.From)
	if !ok {
		return response{}, newError("adjust sheet", InvalidRequest, "from %q is not a time as HH:MM", q.From)
	}
	if q.RequestsPerHour == nil && q.TokensPerRequest == nil {
		return response{}, newError("adjust sheet", InvalidRequest, "name requests, tokens or both")
	}
	key := afsheet.RowKey{Model: q.Model, Customer: q.Customer, StartMinute: from}
	return s.replaceSheet(r, func(v arbutusfork.DemandSheet) (arbutusfork.DemandSheet, error) {
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

// replaceSheet stores the sheet that change returns for the stored one. If the stored version is not the one named in
// the request, the response is a conflict with the differences.
func (s *Server) replaceSheet(r *http.Request, change func(arbutusfork.DemandSheet) (arbutusfork.DemandSheet, error)) (response, error) {
	expectedVersion, hasVersion, err := readExpectedVersion(r)
	if err != nil {
		return response{}, err
	}
	v, version, err := s.readAcceptedSheet(r.Context())
	if err != nil {
		return response{}, err
	}
	if !hasVersion {
		return response{}, newError("store sheet", VersionRequired, "the sheet is at version %d; send the version that you saw as If-Match", version)
	}
	next, err := change(v)
	if expectedVersion != version {
		return response{}, newSheetConflict(expectedVersion, version, v, next)
	}
	if err != nil {
		return response{}, err
	}
	spec, err := json.Marshal(next)
	if err != nil {
		return response{}, &Error{Op: "store sheet", Kind: InternalError, Err: err}
	}
	o := afobject.Object{Kind: afobject.KindSheets, Name: afconfig.SingletonName, Version: version, Spec: spec}
	written, err := s.writeObject(r.Context(), o)
	if IsKind(err, VersionConflict) {
		// Whole sheets are too long to compare by eye, so the response holds their differences.
		v, version, readErr := s.readAcceptedSheet(r.Context())
		if readErr != nil {
			return response{}, err
		}
		e := newSheetConflict(expectedVersion, version, v, next)
		e.Err = errors.Unwrap(err) // The cause says whether the change may have taken effect before the conflict.
		return response{}, e
	}
	if err != nil {
		return response{}, err
	}
	resp := s.confirmWrite(r, written, "")
	if b, ok := resp.body.(changeBody); ok {
		b.Object.Spec = nil
		resp.body = b
	}
	return resp, nil
}

func newSheetConflict(expectedVersion, version int64, current, rejected arbutusfork.DemandSheet) *Error {
	e := newError("store sheet", VersionConflict, "the sheet is at version %d, not %d; another operator changed it", version, expectedVersion)
	e.detail = map[string]any{
		"yours":   sheetVersionBody{Version: expectedVersion, Rows: len(rejected.Rows)},
		"current": sheetVersionBody{Version: version, Rows: len(current.Rows)},
		"changes": afsheet.DiffSheets(current, rejected),
	}
	return e
}

type sheetVersionBody struct {
	Version int64 `json:"version"`
	Rows    int   `json:"rows"`
}
