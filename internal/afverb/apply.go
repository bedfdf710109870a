package afverb

import (
	"bytes"
	"context"
	"encoding/json"
	"reflect"
	"slices"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// applyBody is the content of an apply file: the specs of objects, grouped by kind.
type applyBody struct {
	Customers []json.RawMessage `json:"customers"`
	Services  []json.RawMessage `json:"services"`
	Models    []json.RawMessage `json:"models"`
	Endpoints []json.RawMessage `json:"endpoints"`
	Routes    []json.RawMessage `json:"routes"`
	Keys      []json.RawMessage `json:"keys"`
}

// applyResult is the outcome of applying one object.
type applyResult struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	State   string `json:"state"` // State is stateUnchanged or the state that the server reported for the change.
	Version int64  `json:"version"`
}

// stateUnchanged is the state of an object that equals its spec in the file and is not written.
const stateUnchanged = "unchanged"

func (p *Program) addApplyVerb(app *kingpin.Application) {
	cmd := app.Command("apply", "Create or update the objects of a JSON file. Objects that it does not name stay.")
	file := cmd.Arg("file", "JSON file, or - for standard input.").Required().String()
	p.registerVerb(cmd, func(ctx context.Context) error { return p.applyFile(ctx, p.fileName(*file)) })
}

// applyFile applies the objects of a JSON file, one write after the other. Objects that others refer to are written first, since
// the server refuses references to missing objects. The first error ends the run; earlier writes stay in force.
func (p *Program) applyFile(ctx context.Context, file string) error {
	b, err := p.readFile(file)
	if err != nil {
		return &Error{Op: "apply", Kind: UsageError, Err: err}
	}
	var v applyBody
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return &Error{Op: "apply " + file, Kind: MalformedData, Err: err}
	}
	counts := make(map[string]int)
	for _, group := range []struct {
		kind  string
		specs []json.RawMessage
	}{
		{afobject.KindCustomers, v.Customers},
		{afobject.KindServices, v.Services},
		{afobject.KindModels, v.Models},
		{afobject.KindEndpoints, v.Endpoints},
		{afobject.KindRoutes, v.Routes},
		{afobject.KindKeys, v.Keys},
	} {
		specs, err := decodeSpecs(group.kind, group.specs)
		if err != nil {
			return err
		}
		for _, s := range specs {
			result, err := p.applyObject(ctx, group.kind, s)
			if err != nil {
				return err
			}
			counts[result.State]++
			if err := p.printApplyResult(result); err != nil {
				return err
			}
		}
	}
	if !p.printsJSON {
		p.printLine("%d accepted, %d unchanged, %d outstanding", counts["accepted"], counts[stateUnchanged],
			counts["committed, confirmation outstanding"])
	}
	return nil
}

// decodeSpecs decodes the specs of a kind in the file's order, except that base models come before adapters, which refer to
// them.
func decodeSpecs(kind string, rawSpecs []json.RawMessage) ([]spec, error) {
	specs := make([]spec, 0, len(rawSpecs))
	for i, raw := range rawSpecs {
		s, err := decodeSpec(raw)
		if err != nil {
			return nil, err
		}
		if name, _ := s["name"].(string); name == "" {
			return nil, &Error{Op: "apply", Kind: MalformedData, Err: errors.Errorf("%s[%d] has no name", kind, i)}
		}
		specs = append(specs, s)
	}
	if kind == afobject.KindModels {
		slices.SortStableFunc(specs, func(a, b spec) int { return adapterRank(a) - adapterRank(b) })
	}
	return specs, nil
}

// adapterRank returns the sort key of a model spec.
func adapterRank(s spec) int {
	name, _ := s["name"].(string)
	if (arbutusfork.Model{Name: name}).IsAdapter() {
		return 1
	}
	return 0
}

// applyObject writes an object unless its spec is unchanged. The write is conditional on the version that applyObject read.
func (p *Program) applyObject(ctx context.Context, kind string, s spec) (applyResult, error) {
	name, _ := s["name"].(string)
	c := p.newClient()
	o, err := c.getObject(ctx, kind, name)
	if err != nil {
		return applyResult{}, err
	}
	current, err := decodeSpec(o.Spec)
	if err != nil {
		return applyResult{}, err
	}
	if o.Version > 0 && reflect.DeepEqual(dropZeroValues(map[string]any(s)), dropZeroValues(map[string]any(current))) {
		return applyResult{Kind: kind, Name: name, State: stateUnchanged, Version: o.Version}, nil
	}
	b, err := json.Marshal(s)
	if err != nil {
		return applyResult{}, &Error{Op: "apply " + kind + "/" + name, Kind: MalformedData, Err: err}
	}
	change, err := c.putObject(ctx, kind, name, o.Version, b)
	if err != nil {
		return applyResult{}, err
	}
	return applyResult{Kind: kind, Name: name, State: change.State, Version: change.Object.Version}, nil
}

// printApplyResult prints the result as JSON, or as a line of text if the object changed.
func (p *Program) printApplyResult(r applyResult) error {
	if p.printsJSON {
		return p.printJSON(r)
	}
	if r.State != stateUnchanged {
		p.printLine("%s/%s: %s at version %d", r.Kind, r.Name, r.State, r.Version)
	}
	return nil
}
